package answers

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/filbertrill/filbertrill/internal/ticket"
	"github.com/filbertrill/filbertrill/test/cluster"
)

// TestOutcomeMatchesEngineRuns checks that the reported outcome of a failed request agrees with the runs
// that the engine recorded.
func TestOutcomeMatchesEngineRuns(t *testing.T) {
	t.Parallel()
	f := startFleet(t, 1)
	const deadline = 2 * time.Second
	f.NextTicket.Services[0].Deadline = ticket.Duration(deadline)
	engine := f.AddEngine("z1", 1, "--token-interval", "10ms")
	link, err := cluster.NewLink("engine")
	require.NoError(t, err)
	t.Cleanup(link.Close)
	link.Connect(engine.Address)
	f.NextTicket.Servers[0].Address = link.Address()
	f.SubmitNext()

	cases := []struct {
		name, fault   string
		code, outcome string
	}{
		{"refused", `{"mode":"refuse"}`, "3010", "unknown"},
		{"failed", `{"mode":"http_500"}`, "3010", "unknown"},
		{"closed after the request was read", `{"mode":"close_after_read"}`, "3001", "unknown"},
		{"silent", `{"mode":"silent"}`, "3002", "unknown"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			waitUntilServed(t, f)
			setFault(t, engine, c.fault)
			defer setFault(t, engine, `{}`)
			started := time.Now()
			a := sendChat(t, f, 0, 5, true)
			require.Equal(t, c.outcome, a.outcome, "%+v", a)
			codes := []string{c.code, "3001"}
			if time.Since(started) >= deadline {
				codes = append(codes, "3002")
			}
			require.Contains(t, codes, a.code, "the result code is that of the last attempt")
		})
	}
	t.Run("invalid request", func(t *testing.T) {
		waitUntilServed(t, f)
		status, header, body := f.Call(0, "key-small", http.MethodPost, chatPath, `{"model":"drafter","max_tokens":-0,"messages":[]}`)
		require.Equal(t, http.StatusBadRequest, status, body)
		require.Equal(t, "false", header.Get("X-Should-Retry"))
		require.Contains(t, body, "messages are missing")
	})
	t.Run("unreachable", func(t *testing.T) {
		waitUntilServed(t, f)
		before := len(listRuns(t, engine))
		link.Cut()
		// The first request may use an idle connection that is still open; it then counts as sent.
		first := sendChat(t, f, 0, 5, true)
		require.False(t, first.complete, "%+v", first)
		a := sendChat(t, f, 0, 5, true)
		require.NoError(t, link.Heal())
		require.Equal(t, "not_run", a.outcome, "%+v", a)
		require.Len(t, listRuns(t, engine), before)
	})
	t.Run("queue deadline", func(t *testing.T) { testQueueDeadline(t, f, engine) })
}

// waitUntilServed waits until a request succeeds. Earlier cases may have made the server unhealthy.
func waitUntilServed(t *testing.T, f *cluster.Fleet) {
	t.Helper()
	require.Eventually(t, func() bool { return sendChat(t, f, 0, 1, true).complete }, cluster.WaitTimeout, 100*time.Millisecond)
}

// testQueueDeadline sends a request while the only slot is in use. The request must be rejected after its
// deadline without reaching the engine.
func testQueueDeadline(t *testing.T, f *cluster.Fleet, engine *cluster.Process) {
	waitUntilServed(t, f)
	before := len(listRuns(t, engine))
	var running sync.WaitGroup
	running.Go(func() { _, _ = send(newChatRequest(t, f.Daemons[0].Address, chatBody(500, true))) })
	require.Eventually(t, func() bool { return len(listRuns(t, engine)) == before+1 }, cluster.WaitTimeout, 10*time.Millisecond)
	started := time.Now()
	status, header, body := f.Call(0, "key-small", http.MethodPost, chatPath, chatBody(5, true))
	require.Less(t, time.Since(started), cluster.WaitTimeout)
	require.Equal(t, http.StatusServiceUnavailable, status, body)
	require.Equal(t, "1103", header.Get("X-Result-Code"))
	require.NotEmpty(t, header.Get("Retry-After"))
	require.Len(t, listRuns(t, engine), before+1)
	running.Wait()
}

// TestHalfOfServersFail kills one of four servers and lets another reject every request with status 503.
// Every request must still get a complete answer and run once.
func TestHalfOfServersFail(t *testing.T) {
	f := startFleet(t, 2)
	var engines []*cluster.Process
	for range 4 {
		engines = append(engines, f.AddEngine("z1", 4, "--token-interval", "2ms"))
	}
	f.SubmitNext()
	engines[0].Kill()
	setFault(t, engines[1], `{"mode":"refuse"}`)
	const requests = 200
	answers := make([]answer, requests)
	var callers sync.WaitGroup
	for i := range requests {
		callers.Go(func() { answers[i], _ = send(newChatRequest(t, f.Daemons[i%2].Address, chatBody(10, true))) })
		time.Sleep(5 * time.Millisecond)
	}
	callers.Wait()
	complete := 0
	for _, a := range answers {
		if a.mismatch(10) == "" {
			complete++
			continue
		}
		require.Contains(t, []string{"not_run", "unknown"}, a.outcome, "%+v", a)
		require.Empty(t, a.text)
	}
	t.Logf("complete_answers=%d of %d", complete, requests)
	require.Equal(t, requests, complete)
	require.Len(t, listRuns(t, engines[1], engines[2], engines[3]), requests, "each request must run once")
}
