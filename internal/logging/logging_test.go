package logging

import (
	"bytes"
	"encoding/json"
	"github.com/cockroachdb/errors"
	"log/slog"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/zeromicro/go-zero/core/logx"
)

func setup(t *testing.T, o Options) *bytes.Buffer {
	t.Helper()
	before := slog.Default()
	t.Cleanup(func() {
		slog.SetDefault(before)
		logx.Reset()
	})
	var out bytes.Buffer
	o.Writer = &out
	Setup(o)
	return &out
}

func record(t *testing.T, out *bytes.Buffer) map[string]any {
	t.Helper()
	var got map[string]any
	require.NoError(t, json.Unmarshal(out.Bytes(), &got), out.String())
	return got
}

func TestPrefixOfEachPart(t *testing.T) {
	for _, part := range []Component{Config, Members, Dispatch, Entry, Backend, Peer, Daemon} {
		out := setup(t, Options{JSON: true})
		For(part).With("a", 1).WithGroup("g").Info("started", "b", 2)
		got := record(t, out)
		assert.Equal(t, string(part)+": started", got["msg"])
		assert.EqualValues(t, 1, got["a"])
		assert.Equal(t, map[string]any{"b": 2.0}, got["g"])
	}
}

func TestTextAndLevel(t *testing.T) {
	out := setup(t, Options{Level: slog.LevelWarn})
	For(Peer).Info("hidden")
	assert.Empty(t, out.String())
	For(Peer).Warn("shown")
	assert.Contains(t, out.String(), `msg="peer: shown"`)
}

func TestGoZeroLog(t *testing.T) {
	out := setup(t, Options{JSON: true})
	logx.Stat("hidden")
	logx.Debug("hidden")
	assert.Empty(t, out.String())
	logx.Errorw("failed", logx.Field("path", "/v1"))
	got := record(t, out)
	assert.Equal(t, "daemon: failed", got["msg"])
	assert.Equal(t, "ERROR", got["level"])
	assert.Equal(t, "/v1", got["path"])
}

func TestGoZeroServersKeepTheLog(t *testing.T) {
	out := setup(t, Options{JSON: true})
	require.NoError(t, logx.SetUp(logx.LogConf{Mode: "console"}))
	logx.Error("[HTTP] GET failed")
	assert.Empty(t, out.String())
	logx.Error("failed")
	assert.Equal(t, "daemon: failed", record(t, out)["msg"])
}

func TestErrorsAreShort(t *testing.T) {
	for _, json := range []bool{false, true} {
		out := setup(t, Options{JSON: json})
		For(Peer).Info("Failed.", "error", errors.Wrap(errors.New("inner"), "outer"))
		assert.Contains(t, out.String(), "outer: inner")
		assert.NotContains(t, out.String(), "stack trace")
	}
}
