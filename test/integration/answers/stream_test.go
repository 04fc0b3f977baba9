package answers

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/filbertrill/filbertrill/test/cluster"
)

// TestAnswerSurvivesEngineFaults injects each fault after which the answer can still be completed by the
// same engine.
func TestAnswerSurvivesEngineFaults(t *testing.T) {
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
		{"connection lost before the first event", `{"mode":"close_mid_stream","count":1}`, 1},
		{"connection lost repeatedly", `{"mode":"close_mid_stream","count":6,"after_tokens":3}`, 1},
		{"silent", `{"mode":"silent","count":1}`, 1},
		{"silent twice", `{"mode":"silent","count":2}`, 1},
		{"answer lost", `{"mode":"lose_answer","count":1}`, 1},
		{"closed after the request was read", `{"mode":"close_after_read","count":1}`, 1},
		{"refused", `{"mode":"refuse","count":2}`, 1},
		{"failed", `{"mode":"http_500","count":1}`, 1},
	}
	for _, c := range cases {
		for _, stream := range []bool{true, false} {
			name := c.name + ", buffered"
			if stream {
				name = c.name + ", stream"
			}
			t.Run(name, func(t *testing.T) {
				before := len(listRuns(t, engine))
				setFault(t, engine, c.fault)
				defer setFault(t, engine, `{}`)
				a := sendChat(t, f, 0, 40, stream)
				require.Empty(t, a.mismatch(40))
				require.Equal(t, before+c.runs, len(listRuns(t, engine)))
			})
		}
	}
}

// TestAnswerSurvivesLinkFaults interrupts the connection to the engine in the middle of an answer.
func TestAnswerSurvivesLinkFaults(t *testing.T) {
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
	for name, injectFault := range cases {
		t.Run(name, func(t *testing.T) {
			resp, err := http.DefaultClient.Do(newChatRequest(t, f.Daemons[0].Address, chatBody(60, true)))
			require.NoError(t, err)
			defer func() { _ = resp.Body.Close() }()
			a := answer{lastEventID: -1}
			require.NoError(t, a.read(resp, 5))
			require.NoError(t, injectFault())
			heal := time.AfterFunc(idleLimit+200*time.Millisecond, func() { _ = link.Heal() })
			defer heal.Stop()
			require.NoError(t, a.read(resp, -1))
			require.Empty(t, a.mismatch(60))
		})
	}
	require.Len(t, listRuns(t, engine), len(cases))
}

// TestUnrecoverableAnswerEndsWithError checks that an answer that cannot be completed ends with an error
// event and without the end marker.
func TestUnrecoverableAnswerEndsWithError(t *testing.T) {
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
		name, code  string
		injectFault func()
	}{
		{"link stays silent", "2003", func() { require.NoError(t, link.Blackhole()) }},
		{"engine restarted without the attempt", "2002", func() {
			second, err := f.StartServer("second", "engine", "--model", "drafter")
			require.NoError(t, err)
			link.Connect(second.Address)
			link.Cut()
			require.NoError(t, link.Heal())
		}},
		{"engine unreachable", "2001", link.Cut},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			resp, err := http.DefaultClient.Do(newChatRequest(t, f.Daemons[0].Address, chatBody(100_000, true)))
			require.NoError(t, err)
			defer func() { _ = resp.Body.Close() }()
			a := answer{lastEventID: -1}
			require.NoError(t, a.read(resp, 5))
			c.injectFault()
			require.NoError(t, a.read(resp, -1))
			require.Equal(t, c.code, a.code)
			require.Equal(t, "partial", a.outcome)
			require.False(t, a.complete)
			require.Equal(t, wantText(a.attemptID, a.lastEventID+1), a.text)
			require.NoError(t, link.Heal())
		})
	}
}
