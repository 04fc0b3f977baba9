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

// TestRefusalsAreTrue compares each class with what the engine saw.
func TestRefusalsAreTrue(t *testing.T) {
	t.Parallel()
	f := startFleet(t, 1)
	f.NextTicket.Services[0].Deadline = ticket.Duration(2 * time.Second)
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
			awaitServed(t, f)
			fault(t, engine, c.fault)
			defer fault(t, engine, `{}`)
			a := ask(t, f, 0, 5, true)
			require.Equal(t, c.outcome, a.outcome, "%+v", a)
			require.Contains(t, []string{c.code, "3001"}, a.code, "the last attempt decides")
		})
	}
	t.Run("wrong request", func(t *testing.T) {
		awaitServed(t, f)
		status, header, body := f.Call(0, "key-small", http.MethodPost, chatPath, `{"model":"drafter","max_tokens":-0,"messages":[]}`)
		require.Equal(t, http.StatusBadRequest, status, body)
		require.Equal(t, "false", header.Get("X-Should-Retry"))
		require.Contains(t, body, "messages are missing")
	})
	t.Run("unreachable", func(t *testing.T) {
		awaitServed(t, f)
		before := len(ledger(t, engine))
		link.Cut()
		// A connection that was open may still be taken: then the request counts as sent.
		first := ask(t, f, 0, 5, true)
		require.False(t, first.done, "%+v", first)
		a := ask(t, f, 0, 5, true)
		require.NoError(t, link.Heal())
		require.Equal(t, "not_run", a.outcome, "%+v", a)
		require.Len(t, ledger(t, engine), before)
	})
	t.Run("waits in vain", func(t *testing.T) { waitsInVain(t, f, engine) })
}

// awaitServed waits until the server, which earlier cases may have put on probation, serves.
func awaitServed(t *testing.T, f *cluster.Fleet) {
	t.Helper()
	require.Eventually(t, func() bool { return ask(t, f, 0, 1, true).done }, cluster.WaitTimeout, 100*time.Millisecond)
}

func waitsInVain(t *testing.T, f *cluster.Fleet, engine *cluster.Process) {
	awaitServed(t, f)
	before := len(ledger(t, engine))
	var running sync.WaitGroup
	running.Go(func() { _, _ = do(chatRequest(t, f.Daemons[0].Address, chatBody(500, true))) })
	require.Eventually(t, func() bool { return len(ledger(t, engine)) == before+1 }, cluster.WaitTimeout, 10*time.Millisecond)
	started := time.Now()
	status, header, body := f.Call(0, "key-small", http.MethodPost, chatPath, chatBody(5, true))
	require.Less(t, time.Since(started), cluster.WaitTimeout)
	require.Equal(t, http.StatusServiceUnavailable, status, body)
	require.Equal(t, "1103", header.Get("X-Result-Code"))
	require.NotEmpty(t, header.Get("Retry-After"))
	require.Len(t, ledger(t, engine), before+1)
	running.Wait()
}

// TestHalfTheServersDie counts what reaches the dead half and what callers hear.
func TestHalfTheServersDie(t *testing.T) {
	f := startFleet(t, 2)
	var engines []*cluster.Process
	for range 4 {
		engines = append(engines, f.AddEngine("z1", 4, "--token-interval", "2ms"))
	}
	f.SubmitNext()
	engines[0].Kill()
	fault(t, engines[1], `{"mode":"refuse"}`)
	const requests = 200
	answers := make([]answer, requests)
	var all sync.WaitGroup
	for i := range requests {
		all.Go(func() { answers[i], _ = do(chatRequest(t, f.Daemons[i%2].Address, chatBody(10, true))) })
		time.Sleep(5 * time.Millisecond)
	}
	all.Wait()
	whole := 0
	for _, a := range answers {
		if a.wrong(10) == "" {
			whole++
			continue
		}
		require.Contains(t, []string{"not_run", "unknown"}, a.outcome, "%+v", a)
		require.Empty(t, a.text)
	}
	t.Logf("whole_answers=%d of %d", whole, requests)
	require.Equal(t, requests, whole)
	require.Len(t, ledger(t, engines[1], engines[2], engines[3]), requests, "no request ran twice")
}
