package daemon

import (
	"bytes"
	"os"
	"reflect"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/filbertrill/filbertrill/internal/result"
)

func validArgs(extra ...string) []string {
	return append([]string{
		"--id=d1", "--zone=z1", "--region=r1", "--listen=127.0.0.1:8080", "--peer=127.0.0.1:8081",
		"--secret=0123456789abcdef", "--log=http://127.0.0.1:8082",
	}, extra...)
}

func TestParseSettings(t *testing.T) {
	cases := []struct {
		name string
		args []string
		env  []string
		code result.Code
		text string
	}{
		{"valid", validArgs(), nil, result.OK, ""},
		{"unknown flag", validArgs("--lsiten=x"), nil, result.SettingUnknown, "--lsiten"},
		{"stray argument", validArgs("stray"), nil, result.SettingUnknown, "stray"},
		{"unknown variable", validArgs(), []string{"FILBERTRILL_ZNOE=z"}, result.SettingUnknown, "FILBERTRILL_ZNOE"},
		{"filbertrillctl variable", validArgs(), []string{"FILBERTRILL_DAEMON=x"}, result.OK, ""},
		{"missing", validArgs()[1:], nil, result.SettingMissing, "--id"},
		{"bad address", validArgs("--listen=host:1"), nil, result.SettingInvalid, "--listen"},
		{"bad seed", validArgs("--seeds=10.0.0.1"), nil, result.SettingInvalid, "--seeds"},
		{"bad route", validArgs("--peer-route=10.0.0.1:1=x"), nil, result.SettingInvalid, "--peer-route"},
		{"short secret", validArgs("--secret=short"), nil, result.SettingInvalid, "--secret"},
		{"bad log", validArgs("--log=ftp://x"), nil, result.SettingInvalid, "--log"},
		{"bad list", validArgs("--instances=x"), nil, result.SettingInvalid, "--instances"},
		{"bad duration", validArgs("--log-timeout=fast"), nil, result.SettingInvalid, "--log-timeout"},
		{"bad level", validArgs("--log-level=loud"), nil, result.SettingInvalid, "--log-level"},
		{"zero body", validArgs("--max-body=0"), nil, result.SettingInvalid, "--max-body"},
		{"zero lifetime", validArgs("--entries-lifetime=0s"), nil, result.SettingInvalid, "--entries-lifetime"},
		{"negative margin", validArgs("--drain-margin=-1s"), nil, result.SettingInvalid, "--drain-margin"},
		{"held below body", validArgs("--max-held=5"), nil, result.SettingContradictory, "--max-held"},
		{"certificate without key", validArgs("--tls-cert=c.pem"), nil, result.SettingContradictory, "--tls-key"},
		{"missing certificate", validArgs("--tls-cert=none.pem", "--tls-key=none.pem"), nil, result.SettingInvalid, "--tls-cert"},
		{"same address", validArgs("--peer=127.0.0.1:8080"), nil, result.SettingContradictory, "--peer"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := ParseSettings(c.args, c.env, &bytes.Buffer{}, nil)
			require.Equal(t, c.code, result.CodeOf(err))
			if err != nil {
				require.Contains(t, err.Error(), c.text)
				require.NotContains(t, err.Error(), "\n")
				require.NotContains(t, err.Error(), "short")
			}
		})
	}
}

func TestHelpShowsUnitsAndDefaults(t *testing.T) {
	var out bytes.Buffer
	exited := false
	_, _ = ParseSettings([]string{"--help"}, nil, &out, func(int) { exited = true })
	require.True(t, exited)
	require.Contains(t, out.String(), "bytes")
	require.Contains(t, out.String(), "--log-timeout=2s")
}

func TestSettingsPageCoversEverySetting(t *testing.T) {
	page, err := os.ReadFile("../../docs/operations/settings.md")
	require.NoError(t, err)
	for field := range reflect.TypeFor[Settings]().Fields() {
		name := field.Tag.Get("env")
		require.Contains(t, string(page), "`"+name+"`", field.Name)
		require.Contains(t, string(page), field.Tag.Get("help"), field.Name)
	}
}
