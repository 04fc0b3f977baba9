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

// setupForTest calls Setup with a buffer as writer, which it returns. It restores the default
// logger at the end of the test.
func setupForTest(t *testing.T, o Options) *bytes.Buffer {
	t.Helper()
	previous := slog.Default()
	t.Cleanup(func() {
		slog.SetDefault(previous)
		logx.Reset()
	})
	var out bytes.Buffer
	o.Writer = &out
	Setup(o)
	return &out
}

// decodeRecord decodes the only record in a JSON log.
func decodeRecord(t *testing.T, out *bytes.Buffer) map[string]any {
	t.Helper()
	var got map[string]any
	require.NoError(t, json.Unmarshal(out.Bytes(), &got), out.String())
	return got
}

func TestComponentPrefix(t *testing.T) {
	for _, component := range []Component{Config, Members, Dispatch, Entry, Backend, Peer, Daemon} {
		out := setupForTest(t, Options{JSON: true})
		For(component).With("a", 1).WithGroup("g").Info("started", "b", 2)
		got := decodeRecord(t, out)
		assert.Equal(t, string(component)+": started", got["msg"])
		assert.EqualValues(t, 1, got["a"])
		assert.Equal(t, map[string]any{"b": 2.0}, got["g"])
	}
}

func TestTextAndLevel(t *testing.T) {
	out := setupForTest(t, Options{Level: slog.LevelWarn})
	For(Peer).Info("hidden")
	assert.Empty(t, out.String())
	For(Peer).Warn("shown")
	assert.Contains(t, out.String(), `msg="peer: shown"`)
}

func TestGoZeroLogRoutedToSlog(t *testing.T) {
	out := setupForTest(t, Options{JSON: true})
	logx.Stat("hidden")
	logx.Debug("hidden")
	assert.Empty(t, out.String())
	logx.Errorw("failed", logx.Field("path", "/v1"))
	got := decodeRecord(t, out)
	assert.Equal(t, "daemon: failed", got["msg"])
	assert.Equal(t, "ERROR", got["level"])
	assert.Equal(t, "/v1", got["path"])
}

// The SetUp call of go-zero's servers must not replace the writer that Setup installed. Lines of
// go-zero's HTTP client must not appear above debug level.
func TestGoZeroSetUpKeepsWriter(t *testing.T) {
	out := setupForTest(t, Options{JSON: true})
	require.NoError(t, logx.SetUp(logx.LogConf{Mode: "console"}))
	logx.Error("[HTTP] GET failed")
	assert.Empty(t, out.String())
	logx.Error("failed")
	assert.Equal(t, "daemon: failed", decodeRecord(t, out)["msg"])
}

// slog prints the stack trace of errors from cockroachdb/errors unless they are replaced.
func TestErrorsWithoutStackTrace(t *testing.T) {
	for _, json := range []bool{false, true} {
		out := setupForTest(t, Options{JSON: json})
		For(Peer).Info("Failed.", "error", errors.Wrap(errors.New("inner"), "outer"))
		assert.Contains(t, out.String(), "outer: inner")
		assert.NotContains(t, out.String(), "stack trace")
	}
}
