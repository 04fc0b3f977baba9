package answers

import (
	"net/http"
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/filbertrill/filbertrill/test/cluster"
)

// newResumeRequest returns a request to resume an answer after the event with the id lastEventID, or from
// the start if that is negative.
func newResumeRequest(t testing.TB, address, key, token string, lastEventID int) *http.Request {
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+address+"/v1/resume", nil)
	require.NoError(t, err)
	req.Header.Set("Authorization", "Bearer "+key)
	req.Header.Set("X-Resume-Token", token)
	if lastEventID >= 0 {
		req.Header.Set("Last-Event-ID", strconv.Itoa(lastEventID))
	}
	return req
}

// TestResumeAfterDaemonIsKilled kills the daemon that serves an answer and resumes the answer at each
// other daemon.
func TestResumeAfterDaemonIsKilled(t *testing.T) {
	t.Parallel()
	f := startFleet(t, 3)
	engine := f.AddEngine("z1", 4, "--token-interval", "20ms")
	f.SubmitNext()

	resp, err := http.DefaultClient.Do(newChatRequest(t, f.Daemons[0].Address, chatBody(50, true)))
	require.NoError(t, err)
	defer func() { _ = resp.Body.Close() }()
	first := answer{lastEventID: -1}
	require.NoError(t, first.read(resp, 5))
	require.NotEmpty(t, first.resumeToken)
	f.Daemons[0].Kill()

	refusals := []struct {
		name, key, token string
		last             string
		code             string
	}{
		{"another account", "key-large", first.resumeToken, "5", "1003"},
		{"no key", "", first.resumeToken, "5", "1001"},
		{"no token", "key-small", "", "5", "1008"},
		{"changed token", "key-small", "v1.f" + first.resumeToken[4:], "5", "1008"},
		{"malformed event id", "key-small", first.resumeToken, "x", "1008"},
	}
	for _, c := range refusals {
		t.Run(c.name, func(t *testing.T) {
			req := newResumeRequest(t, f.Daemons[1].Address, c.key, c.token, -1)
			req.Header.Set("Last-Event-ID", c.last)
			a, err := send(req)
			require.NoError(t, err)
			require.Equal(t, c.code, a.code)
			require.Empty(t, a.text)
		})
	}
	for _, d := range f.Daemons[1:] {
		a := answer{lastEventID: first.lastEventID, text: first.text, attemptID: first.attemptID}
		resp, err := http.DefaultClient.Do(newResumeRequest(t, d.Address, "key-small", first.resumeToken, first.lastEventID))
		require.NoError(t, err)
		require.NoError(t, a.read(resp, -1))
		require.NoError(t, resp.Body.Close())
		require.Empty(t, a.mismatch(50))
		require.Equal(t, first.resumeToken, a.resumeToken)
	}
	// Resume from the start.
	a, err := send(newResumeRequest(t, f.Daemons[2].Address, "key-small", first.resumeToken, -1))
	require.NoError(t, err)
	require.Empty(t, a.mismatch(50))
	require.Len(t, listRuns(t, engine), 1)

	engine.Kill()
	a, err = send(newResumeRequest(t, f.Daemons[2].Address, "key-small", first.resumeToken, first.lastEventID))
	require.NoError(t, err)
	require.Equal(t, "2001", a.code)
	require.Equal(t, "partial", a.outcome)
}

// TestResumedStreamSurvivesInterruptions interrupts the engine's stream of an answer that was resumed at
// another daemon.
func TestResumedStreamSurvivesInterruptions(t *testing.T) {
	f := cluster.StartFleet(t, cluster.Options{Daemons: 2})
	engine := f.AddEngine("z1", 4, "--token-interval", "10ms")
	f.SubmitNext()
	resp, err := http.DefaultClient.Do(newChatRequest(t, f.Daemons[0].Address, chatBody(60, true)))
	require.NoError(t, err)
	defer func() { _ = resp.Body.Close() }()
	first := answer{lastEventID: -1}
	require.NoError(t, first.read(resp, 3))
	f.Daemons[0].Kill()
	setFault(t, engine, `{"mode":"close_mid_stream","count":5,"after_tokens":4,"duplicate_events":true}`)
	a := answer{lastEventID: first.lastEventID, text: first.text, attemptID: first.attemptID}
	resumed, err := http.DefaultClient.Do(newResumeRequest(t, f.Daemons[1].Address, "key-small", first.resumeToken, first.lastEventID))
	require.NoError(t, err)
	defer func() { _ = resumed.Body.Close() }()
	require.NoError(t, a.read(resumed, -1))
	require.Empty(t, a.mismatch(60))
}
