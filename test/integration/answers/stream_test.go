package answers

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/filbertrill/filbertrill/test/cluster"
)

// TestAnswersStayWhole meets one engine with each failure that an answer survives there.
func TestAnswersStayWhole(t *testing.T) {
	f := startFleet(t, 1)
	engine := f.AddEngine("z1", 4, "--token-interval", "5ms")
	f.SubmitNext()
	cases := []struct {
		name, fault string
		runs        int
	}{
		{"none", `{}`, 1},
		{"repeated events", `{"count":1,"duplicate_events":true}`, 1},
		{"event of another attempt", `{"count":1,"foreign_id":"other"}`, 1},
		{"breaks before the first event", `{"mode":"close_mid_stream","count":1}`, 1},
		{"breaks again and again", `{"mode":"close_mid_stream","count":6,"after_tokens":3}`, 1},
		{"silent", `{"mode":"silent","count":1}`, 1},
		{"silent twice", `{"mode":"silent","count":2}`, 1},
		{"answer lost", `{"mode":"lose_answer","count":1}`, 1},
		{"closed after the request was read", `{"mode":"close_after_read","count":1}`, 1},
		{"refused", `{"mode":"refuse","count":2}`, 1},
		{"failed", `{"mode":"http_500","count":1}`, 1},
	}
	for _, c := range cases {
		for _, stream := range []bool{true, false} {
			name := c.name + ", whole"
			if stream {
				name = c.name + ", stream"
			}
			t.Run(name, func(t *testing.T) {
				before := len(ledger(t, engine))
				fault(t, engine, c.fault)
				defer fault(t, engine, `{}`)
				a := ask(t, f, 0, 40, stream)
				require.Empty(t, a.wrong(40))
				require.Equal(t, before+c.runs, len(ledger(t, engine)))
			})
		}
	}
}

// TestSilentAndBrokenLinks breaks the path to an engine in mid-answer.
func TestSilentAndBrokenLinks(t *testing.T) {
	t.Parallel()
	f := startFleet(t, 1)
	engine := f.AddEngine("z1", 4, "--token-interval", "20ms")
	link, err := cluster.NewLink("engine")
	require.NoError(t, err)
	t.Cleanup(link.Close)
	link.Connect(engine.Address)
	f.NextTicket.Servers[0].Address = link.Address()
	f.SubmitNext()

	cases := map[string]func() error{
		"silent": link.Blackhole,
		"cut":    func() error { link.Cut(); return nil },
	}
	for name, harm := range cases {
		t.Run(name, func(t *testing.T) {
			resp, err := http.DefaultClient.Do(chatRequest(t, f.Daemons[0].Address, chatBody(60, true)))
			require.NoError(t, err)
			defer func() { _ = resp.Body.Close() }()
			a := answer{last: -1}
			require.NoError(t, a.read(resp, 5))
			require.NoError(t, harm())
			heal := time.AfterFunc(idleLimit+200*time.Millisecond, func() { _ = link.Heal() })
			defer heal.Stop()
			require.NoError(t, a.read(resp, -1))
			require.Empty(t, a.wrong(60))
		})
	}
	require.Len(t, ledger(t, engine), len(cases))
}

// TestAnswersThatCannotBeWhole end with an error event and without the end marker.
func TestAnswersThatCannotBeWhole(t *testing.T) {
	t.Parallel()
	f := startFleet(t, 1)
	first := f.AddEngine("z1", 4, "--token-interval", "20ms")
	link, err := cluster.NewLink("engine")
	require.NoError(t, err)
	t.Cleanup(link.Close)
	link.Connect(first.Address)
	f.NextTicket.Servers[0].Address = link.Address()
	f.SubmitNext()

	cases := []struct {
		name, code string
		harm       func()
	}{
		{"silent for good", "2003", func() { require.NoError(t, link.Blackhole()) }},
		{"forgotten by a new engine", "2002", func() {
			second, err := f.StartServer("second", "engine", "--model", "drafter")
			require.NoError(t, err)
			link.Connect(second.Address)
			link.Cut()
			require.NoError(t, link.Heal())
		}},
		{"down", "2001", link.Cut},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			resp, err := http.DefaultClient.Do(chatRequest(t, f.Daemons[0].Address, chatBody(100_000, true)))
			require.NoError(t, err)
			defer func() { _ = resp.Body.Close() }()
			a := answer{last: -1}
			require.NoError(t, a.read(resp, 5))
			c.harm()
			require.NoError(t, a.read(resp, -1))
			require.Equal(t, c.code, a.code)
			require.Equal(t, "partial", a.outcome)
			require.False(t, a.done)
			require.Equal(t, text(a.attempt, a.last+1), a.text)
			require.NoError(t, link.Heal())
		})
	}
}
