package gateway

import (
	"bytes"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/filbertrill/filbertrill/internal/forward"
	"github.com/filbertrill/filbertrill/internal/telemetry"
)

// lockedBuffer is a buffer for the log of several goroutines.
type lockedBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.String()
}

// freeAddress returns a loopback address at which nothing listens.
func freeAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, listener.Close())
	return listener.Addr().String()
}

// Guards against panics of the other HTTP handlers that close connections without an answer, a log line or a count.
func TestPanicOfOtherHandlersIsAnsweredLoggedAndCounted(t *testing.T) {
	var logged lockedBuffer
	logger := slog.New(slog.NewTextHandler(&logged, nil))
	metrics, scrapes, closer := telemetry.New(telemetry.Options{Interval: time.Millisecond})
	t.Cleanup(func() { require.NoError(t, closer.Close()) })
	panics := func(name string) http.Handler {
		return http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic("in " + name) })
	}
	g := &Gateway{
		settings: Settings{
			EntryAddress: freeAddress(t), DirectoryAddress: freeAddress(t), ReadinessAddress: freeAddress(t), MetricsAddress: freeAddress(t),
		},
		platform: Platform{
			Directory: func(func(string, string, string) Entries) http.Handler { return panics("directory") },
			Readiness: func(func() bool) http.Handler { return panics("readiness") },
		},
		logger: logger, metrics: metrics, metricsHandler: panics("metrics"), handler: &forward.Handler{},
		connLimiter: &connLimiter{limit: 10, logger: logger},
	}
	require.NoError(t, g.listen())
	t.Cleanup(func() { _ = g.callerListener.Close() })
	addresses := map[string]string{
		"directory": g.settings.DirectoryAddress, "readiness": g.settings.ReadinessAddress, "metrics": g.settings.MetricsAddress,
	}
	for name, address := range addresses {
		response, err := http.Get("http://" + address + "/")
		require.NoError(t, err, name)
		_, err = io.Copy(io.Discard, response.Body)
		require.NoError(t, err)
		require.NoError(t, response.Body.Close())
		assert.Equal(t, http.StatusInternalServerError, response.StatusCode, name)
		assert.Contains(t, logged.String(), `panic="in `+name+`"`)
		assert.Eventually(t, func() bool {
			recorder := httptest.NewRecorder()
			scrapes.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/", nil))
			return strings.Contains(recorder.Body.String(), `filbertrill_panics_total{interface="`+name+`"} 1`)
		}, time.Second, 10*time.Millisecond, name)
	}
}
