package attempt

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/filbertrill/filbertrill/internal/answer"
	"github.com/filbertrill/filbertrill/internal/backend"
	"github.com/filbertrill/filbertrill/internal/filter"
	"github.com/filbertrill/filbertrill/internal/result"
	"github.com/filbertrill/filbertrill/internal/ticket"
)

// fakeEngine answers the request that starts an attempt by post, and knows the attempt for resumptions once known is set.
type fakeEngine struct {
	post    http.HandlerFunc
	known   atomic.Bool
	resumes atomic.Int64
	cancels atomic.Int64
}

func (e *fakeEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.Method {
	case http.MethodPost:
		_, _ = io.Copy(io.Discard, r.Body) // shows the handler when the connection is closed
		e.post(w, r)
	case http.MethodDelete:
		e.cancels.Add(1)
	default:
		e.resumes.Add(1)
		if !e.known.Load() {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		writeAnswer(w)
	}
}

// writeAnswer writes a whole answer of two events.
func writeAnswer(w http.ResponseWriter) {
	_, _ = fmt.Fprint(w, "id: a:0\ndata: {\"choices\":[]}\n\nid: a:1\ndata: {\"choices\":[{\"finish_reason\":\"stop\"}]}\n\ndata: [DONE]\n\n")
}

// discardSink is a sink that keeps the number of events.
type discardSink struct{ events int }

func (s *discardSink) forward(int, string) error { s.events++; return nil }
func (s *discardSink) flush() error              { return nil }
func (s *discardSink) finish() error             { return nil }

// runAgainst runs an attempt with an idle limit of 50 ms at the engine.
func runAgainst(t *testing.T, e *fakeEngine, deadline time.Duration) (answer.Action, *discardSink) {
	server := httptest.NewServer(e)
	t.Cleanup(server.Close)
	sink := &discardSink{}
	until := time.Now().Add(deadline)
	a := &chatAttempt{
		engine:    backend.NewEngineClient(backend.NewTransport()),
		logger:    slog.New(slog.DiscardHandler),
		server:    ticket.Server{ID: "s", Address: strings.TrimPrefix(server.URL, "http://")},
		attemptID: "a",
		body:      []byte(`{}`),
		machine:   answer.New(answer.Options{AttemptID: "a", Deadline: until}),
		sink:      sink,
		watchdog:  &watchdog{idleLimit: 50 * time.Millisecond, deadline: until, flush: sink.flush},
		meter:     &meter{request: &filter.Request{Account: ticket.Account{ID: "c"}, Service: ticket.Service{ID: "m"}}, metrics: noMetrics{}},
	}
	return a.run(t.Context()), sink
}

type noMetrics struct{}

func (noMetrics) ObserveTokenGap(string, string, time.Duration) {}
func (noMetrics) ObserveResumePause(string, time.Duration)      {}
func (noMetrics) CountRetry(string)                             {}

// Guards against a request that is closed before a silent engine has read it, or that is given up because the engine says once
// that it doesn't know it.
func TestRequestStaysOpenWhileEngineIsSilent(t *testing.T) {
	var aborted atomic.Bool
	e := &fakeEngine{}
	e.post = func(w http.ResponseWriter, r *http.Request) {
		for e.resumes.Load() == 0 {
			time.Sleep(time.Millisecond)
		}
		aborted.Store(r.Context().Err() != nil)
		writeAnswer(w)
	}
	action, sink := runAgainst(t, e, time.Minute)
	require.Equal(t, answer.Finish, action.Kind, "%+v", action)
	require.Equal(t, 2, sink.events)
	require.False(t, aborted.Load())
}

// Guards against a request that is waited for on a connection that no longer carries data.
func TestAnswerIsResumedBesideSilentConnection(t *testing.T) {
	e := &fakeEngine{post: func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }}
	e.known.Store(true)
	action, sink := runAgainst(t, e, time.Minute)
	require.Equal(t, answer.Finish, action.Kind, "%+v", action)
	require.Equal(t, 2, sink.events)
}

// Guards against a request that waits until its deadline though it was lost on its way, and against its late run.
func TestRequestThatEngineDoesNotKnowIsGivenUpAndCancelled(t *testing.T) {
	e := &fakeEngine{post: func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }}
	action, _ := runAgainst(t, e, time.Minute)
	require.Equal(t, answer.Action{Kind: answer.Fail, Code: result.AnswerLost, Cancel: true}, action)
	require.EqualValues(t, maxUnknown, e.resumes.Load())
	require.Eventually(t, func() bool { return e.cancels.Load() > 0 }, 10*time.Second, time.Millisecond)
}

// Guards against a request that is waited for beyond its deadline.
func TestSilentEngineIsGivenUpAtTheDeadline(t *testing.T) {
	silent := func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }
	e := &fakeEngine{post: silent}
	action, _ := runAgainst(t, e, 80*time.Millisecond)
	require.Equal(t, answer.Action{Kind: answer.Fail, Code: result.ServerSilent, Cancel: true}, action)
}

// Guards against a goroutine that stays behind a search, and a search that goes on behind its attempt.
func TestSeekerEndsWithItsAttempt(t *testing.T) {
	searches := 0
	s := &seeker{ctx: t.Context(), replace: func() {}, seek: func(ctx context.Context) *alternative {
		searches++
		<-ctx.Done()
		return nil
	}}
	require.True(t, s.stop())
	s.start()
	s.start()
	require.True(t, s.stop())
	require.Equal(t, 1, searches)

	found := &alternative{}
	replaced := make(chan struct{})
	s.replace = func() { close(replaced) }
	s.seek = func(context.Context) *alternative { return found }
	s.start()
	<-replaced
	require.False(t, s.stop(), "an attempt that was replaced must not go on")
	require.Same(t, found, s.found)
}
