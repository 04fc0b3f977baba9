package entry

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/filbertrill/filbertrill/internal/filter"
	"github.com/filbertrill/filbertrill/internal/filter/record"
	"github.com/filbertrill/filbertrill/internal/result"
	"github.com/filbertrill/filbertrill/internal/ticket"
)

// countingMetrics counts panics and results.
type countingMetrics struct {
	record.Metrics
	panics  int
	results []result.Code
}

func (m *countingMetrics) CountPanic(string) { m.panics++ }

func (m *countingMetrics) CountResult(code result.Code, _ string) {
	m.results = append(m.results, code)
}

// Guards against panics that close the caller's connection without an answer, a log line or a count.
func TestPanicIsAnsweredLoggedAndCounted(t *testing.T) {
	steps := map[string]func(r *filter.Request){
		"before the answer": func(*filter.Request) {},
		"header set":        func(r *filter.Request) { r.Writer.Header().Set("X-Left", "1") },
		"invalid status":    func(r *filter.Request) { r.Writer.WriteHeader(99) }, // panics
		"within the stream": func(r *filter.Request) {
			_ = r.Writer.StartEventStream()
			_, _ = r.Writer.Write([]byte("data: par"))
			_ = r.Writer.Flush()
		},
	}
	for name, step := range steps {
		t.Run(name, func(t *testing.T) {
			var logged bytes.Buffer
			metrics, ended := &countingMetrics{}, make(chan struct{})
			logger := slog.New(slog.NewTextHandler(&logged, nil))
			chain := filter.Chain(filter.HandlerFunc(func(_ context.Context, r *filter.Request) error {
				step(r)
				panic("broken")
			}), record.New(metrics, logger))
			s, err := NewServer(Options{
				Host: "127.0.0.1", Metrics: http.NotFoundHandler(), Logger: logger, Config: func() *ticket.Config { return &ticket.Config{} },
				Chain: filter.HandlerFunc(func(ctx context.Context, r *filter.Request) error {
					defer close(ended)
					return chain.Handle(ctx, r)
				}),
			})
			require.NoError(t, err)
			address, err := s.Start()
			require.NoError(t, err)
			t.Cleanup(func() { _ = s.Shutdown(t.Context()) })
			response, err := http.Post("http://"+address.String()+"/v1/chat/completions", "", nil)
			require.NoError(t, err)
			defer response.Body.Close()
			_, err = io.ReadAll(response.Body)
			<-ended
			assert.Equal(t, 1, metrics.panics)
			assert.Equal(t, []result.Code{result.Internal}, metrics.results)
			assert.Contains(t, logged.String(), "level=ERROR")
			assert.Contains(t, logged.String(), "panic_test.go", "the stack")
			if name == "within the stream" {
				assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
				return
			}
			assert.NoError(t, err)
			assert.Equal(t, http.StatusInternalServerError, response.StatusCode)
			assert.Equal(t, "3004", response.Header.Get(result.HeaderResultCode))
			assert.Empty(t, response.Header.Get("X-Left"))
		})
	}
}

// Guards against panics outside of the chains that close connections without an answer, a log line or a count.
func TestPanicOfOtherHandlersIsAnsweredLoggedAndCounted(t *testing.T) {
	var logged bytes.Buffer
	panics := 0
	s, err := NewServer(Options{
		Host: "127.0.0.1", Logger: slog.New(slog.NewTextHandler(&logged, nil)), CountPanic: func() { panics++ },
		Metrics: http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic("broken") }),
	})
	require.NoError(t, err)
	address, err := s.Start()
	require.NoError(t, err)
	t.Cleanup(func() { _ = s.Shutdown(t.Context()) })
	client := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{}}
	t.Cleanup(client.CloseIdleConnections)
	response, err := client.Get("http://" + address.String() + "/metrics")
	require.NoError(t, err)
	defer response.Body.Close()
	_, err = io.ReadAll(response.Body)
	require.NoError(t, err)
	assert.Equal(t, http.StatusInternalServerError, response.StatusCode)
	assert.Equal(t, "3004", response.Header.Get(result.HeaderResultCode))
	assert.Equal(t, 1, panics)
	assert.Contains(t, logged.String(), "panic=broken")
}
