package forward

import (
	"bytes"
	"context"
	"io"
	"log"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/filbertrill/filbertrill/internal/result"
	"github.com/filbertrill/filbertrill/internal/routing"
	"github.com/filbertrill/filbertrill/internal/telemetry"
)

// panickingProtocol panics in the named step of each request.
type panickingProtocol struct {
	idServerProtocol
	step string
}

func (p panickingProtocol) panicIn(step string) {
	if p.step == step {
		panic("in " + step)
	}
}

func (p panickingProtocol) DecodeRequest(r *http.Request) (*Envelope, error) {
	p.panicIn("request")
	return p.idServerProtocol.DecodeRequest(r)
}

func (p panickingProtocol) EncodeRequestHeader(r ServerRequest) []byte {
	p.panicIn("send")
	return p.idServerProtocol.EncodeRequestHeader(r)
}

func (p panickingProtocol) DecodeAnswer(h http.Header) AnswerInfo {
	p.panicIn("answer")
	return p.idServerProtocol.DecodeAnswer(h)
}

// syncBuffer is a buffer for the log of several goroutines.
type syncBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

func (b *syncBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.Write(p)
}

func (b *syncBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.String()
}

// recordPanics makes the gateway log into the returned buffer and count in the returned metrics.
func recordPanics(t *testing.T, gateway *httptest.Server) (logged *syncBuffer, scrape func() string) {
	t.Helper()
	h, logged := gateway.Config.Handler.(*Handler), &syncBuffer{}
	h.Logger = slog.New(slog.NewTextHandler(logged, nil))
	metrics, handler, closer := telemetry.New(telemetry.Options{Interval: time.Millisecond})
	t.Cleanup(func() { require.NoError(t, closer.Close()) })
	metrics.SetConfigured(nil, []string{"llm"})
	h.Metrics = metrics
	gateway.Config.ErrorLog = log.New(io.Discard, "", 0)
	return logged, func() string {
		recorder := httptest.NewRecorder()
		handler.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/", nil))
		return recorder.Body.String()
	}
}

// Guards against panics that close the caller's connection without an answer, a log line or a count.
func TestPanicIsAnsweredLoggedAndCounted(t *testing.T) {
	for _, step := range []string{"request", "send", "answer"} {
		t.Run(step, func(t *testing.T) {
			gateway := startGateway(t, routing.Route{Kind: routing.Unrepeatable}, (&strayServer{
				stray: func(int) string { return "" }, answer: func(int) string { return soundAnswer },
			}).serve)
			h := gateway.Config.Handler.(*Handler)
			h.Protocol = panickingProtocol{step: step}
			logged, scrape := recordPanics(t, gateway)
			request, err := http.NewRequest(http.MethodGet, gateway.URL, nil)
			require.NoError(t, err)
			request.Host = "h"
			response, err := http.DefaultTransport.RoundTrip(request)
			require.NoError(t, err)
			defer response.Body.Close()
			body, err := io.ReadAll(response.Body)
			require.NoError(t, err)
			assert.Equal(t, http.StatusInternalServerError, response.StatusCode)
			assert.Equal(t, string(errorBody(result.Internal)), string(body))
			assert.Empty(t, response.Header.Get("Retry-After"), "the request may have run")
			assert.True(t, response.Close)
			text := logged.String()
			assert.Contains(t, text, "level=ERROR")
			assert.Contains(t, text, `panic="in `+step+`"`)
			assert.Contains(t, text, "begun=false")
			assert.Contains(t, text, "panic_test.go", "the stack")
			assert.Contains(t, text, `msg="Request ended."`)
			assert.Contains(t, text, "code=3004")
			if step != "request" {
				assert.Contains(t, text, "request=id route=r account=")
			}
			assert.Eventually(t, func() bool {
				metrics := scrape()
				return bytes.Contains([]byte(metrics), []byte(`filbertrill_panics_total{interface="callers"} 1`)) &&
					bytes.Contains([]byte(metrics), []byte(`filbertrill_results_total{code="3004"`))
			}, time.Second, 10*time.Millisecond)
			assert.Zero(t, h.ActiveRequests())
			assert.Zero(t, h.bodyMemory.used)
		})
	}
}

// Guards against answers that look complete although the daemon failed within them.
func TestPanicBreaksAnswerThatHasBegun(t *testing.T) {
	s := &scriptedServers{scripts: [][]string{streamAnswer(events(1, 1), events(2, 2), events(3, lastEvent))}}
	gateway := startGateway(t, routing.Route{Kind: routing.Stream}, func(_ net.Listener, conn net.Conn) { s.serve(conn) })
	logged, _ := recordPanics(t, gateway)
	gateway.Config.Handler.(*Handler).Overloaded = func() bool { panic("after the first events") }
	request, err := http.NewRequest(http.MethodGet, gateway.URL, nil)
	require.NoError(t, err)
	request.Host = "h"
	response, err := http.DefaultTransport.RoundTrip(request)
	require.NoError(t, err)
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
	assert.Equal(t, events(1, 1), string(body))
	assert.Contains(t, logged.String(), "begun=true")
	assert.Contains(t, logged.String(), "code=3004")
}

// An answer that the server or the handler aborts is no panic.
func TestAbortIsNoPanic(t *testing.T) {
	s := &scriptedServers{scripts: [][]string{brokenAnswer(events(1, 1))}}
	gateway := startGateway(t, routing.Route{Kind: routing.Stream}, func(_ net.Listener, conn net.Conn) { s.serve(conn) })
	logged, scrape := recordPanics(t, gateway)
	request, err := http.NewRequestWithContext(context.Background(), http.MethodGet, gateway.URL, nil)
	require.NoError(t, err)
	request.Host = "h"
	response, err := http.DefaultTransport.RoundTrip(request)
	require.NoError(t, err)
	defer response.Body.Close()
	_, err = io.ReadAll(response.Body)
	assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
	assert.NotContains(t, logged.String(), "level=ERROR")
	time.Sleep(50 * time.Millisecond)
	assert.NotContains(t, scrape(), "panics_total")
}

// Guards against complete answers that are lost to a failure of their log line.
func TestPanicInLogLineDoesNotChangeResult(t *testing.T) {
	gateway := startGateway(t, routing.Route{Kind: routing.Unrepeatable}, (&strayServer{
		stray: func(int) string { return "" }, answer: func(int) string { return soundAnswer },
	}).serve)
	logged, _ := recordPanics(t, gateway)
	h := gateway.Config.Handler.(*Handler)
	h.Logger = slog.New(failingHandler{h.Logger.Handler()})
	status, _ := statusOf(t, gateway.URL)
	assert.Equal(t, http.StatusOK, status)
	assert.Contains(t, logged.String(), "panic=log")
}

// failingHandler panics for messages about ended requests.
type failingHandler struct{ slog.Handler }

func (f failingHandler) Handle(ctx context.Context, r slog.Record) error {
	if r.Message == "Request ended." {
		panic("log")
	}
	return f.Handler.Handle(ctx, r)
}

// Guards against loads, connections and memory that requests keep when they end by a panic.
func TestPanicReleasesWhatTheRequestHeld(t *testing.T) {
	for _, step := range []string{"send", "answer"} {
		t.Run(step, func(t *testing.T) {
			gateway := startGateway(t, routing.Route{Kind: routing.Unrepeatable}, (&strayServer{
				stray: func(int) string { return "" }, answer: func(int) string { return soundAnswer },
			}).serve)
			h := gateway.Config.Handler.(*Handler)
			config := *h.Config()
			config.Services = []routing.Service{{Name: "llm", EngineSlots: 12, MemoryTokens: 372_402, MaxConnections: 5}}
			limited, err := routing.Build(config)
			require.NoError(t, err)
			h.Config = func() *routing.Config { return limited }
			recordPanics(t, gateway)
			h.Protocol = panickingProtocol{step: step}
			for range 20 {
				status, _ := statusOf(t, gateway.URL)
				assert.Equal(t, http.StatusInternalServerError, status)
			}
			for _, load := range h.Scheduler.View(0, time.Now()).Loads {
				assert.Zero(t, load.Running)
			}
			assert.Zero(t, h.answerMemory.used.Load())
			h.Protocol = panickingProtocol{}
			for range 20 {
				status, _ := statusOf(t, gateway.URL)
				assert.Equal(t, http.StatusOK, status)
			}
		})
	}
}

// secondPanics panics in the second attempt of each request.
type secondPanics struct {
	idServerProtocol
	attempts *atomic.Int64
}

func (p secondPanics) EncodeRequestHeader(r ServerRequest) []byte {
	if p.attempts.Add(1) == 2 {
		panic("in the second attempt")
	}
	return p.idServerProtocol.EncodeRequestHeader(r)
}

// Guards against a process that ends by a panic in an attempt beside the one that waits, which has a goroutine of its own.
func TestPanicInAttemptBesideAnotherLeavesTheOther(t *testing.T) {
	s := &pausingServers{steps: [][]any{{700 * time.Millisecond, soundAnswer}}}
	gateway := startGateway(t, routing.Route{Kind: routing.Idempotent}, s.serve)
	h := gateway.Config.Handler.(*Handler)
	h.Config().Match("h", "/").Objective = 100 * time.Millisecond
	logged, _ := recordPanics(t, gateway)
	h.Protocol = secondPanics{attempts: &atomic.Int64{}}
	status, _ := statusOf(t, gateway.URL)
	assert.Equal(t, http.StatusOK, status)
	assert.Contains(t, logged.String(), "in the second attempt")
	assert.Eventually(t, func() bool { // the attempt ends behind its answer
		for _, load := range h.Scheduler.View(0, time.Now()).Loads {
			if load.Running > 0 {
				return false
			}
		}
		return h.answerMemory.used.Load() == 0
	}, 5*time.Second, 10*time.Millisecond)
}
