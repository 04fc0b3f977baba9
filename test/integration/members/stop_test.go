package members

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/filbertrill/filbertrill/internal/ticket"
	"github.com/filbertrill/filbertrill/test/cluster"
	"github.com/filbertrill/filbertrill/test/load"
	"github.com/filbertrill/filbertrill/test/standin/runs"
)

// TestRollingReplacementLosesNoRequest drains and replaces one daemon after the other. No request of
// callers that use /v1/entries may fail, nor a long answer in progress at the stopping daemon.
func TestRollingReplacementLosesNoRequest(t *testing.T) {
	t.Parallel()
	f := startFleet(t, cluster.Options{})
	f.AddEngine("z2", 16, "--token-interval", "5ms")
	f.SubmitNext()
	waitForLive(t, f, []int{0, 1, 2}, "d1", "d2", "d3")
	callers := startCallers(t.Context(), f, 8, 20)
	for i := range 3 {
		longOutcome := startLongRequest(t, f.Daemons[i].Address)
		_, err := f.StartDaemon(i + 3)
		require.NoError(t, err)
		require.NoError(t, f.AwaitDaemonReady(i+3, cluster.WaitTimeout))
		if i == 0 {
			output, err := f.Ctl("drain", "d1")
			require.NoError(t, err, output)
		} else {
			f.Daemons[i].Signal(syscall.SIGTERM)
		}
		time.Sleep(time.Second)
		f.Daemons[i].Signal(syscall.SIGTERM) // a second signal must not cut off requests
		require.True(t, f.Daemons[i].Wait(cluster.WaitTimeout))
		require.NoError(t, f.Daemons[i].ExitError())
		outcome := <-longOutcome
		require.True(t, outcome.Completed(), "long answer through %s: %v %s", f.Daemons[i].Name, outcome.Err, outcome.ResultCode)
	}
	waitForLive(t, f, []int{3, 4, 5}, "d4", "d5", "d6")
	completed := callers.stopAndVerify(t)
	require.Greater(t, completed, 50)
	t.Logf("%d answers, all complete", completed)
}

// startLongRequest sends a request whose answer takes longer than a stopping daemon listens.
func startLongRequest(t *testing.T, address string) <-chan *load.Outcome {
	done := make(chan *load.Outcome, 1)
	call := load.Call{Address: address, APIKey: "key-small", Model: "drafter", PromptWords: 10, AnswerTokens: 500, MaxTokens: 500}
	go func() { done <- call.Do(context.Background(), load.NewClient()) }()
	return done
}

// TestStoppingDaemonServesWhileEntriesNameIt checks that a stopping daemon disappears from responses of
// /v1/entries at once, and serves new connections until the last response that names it expires.
func TestStoppingDaemonServesWhileEntriesNameIt(t *testing.T) {
	t.Parallel()
	f := startFleet(t, cluster.Options{DaemonArgs: []string{"--entries-lifetime", "4s"}})
	f.Daemons[0].Signal(syscall.SIGTERM)
	signalled := time.Now()
	lastNamed := time.Time{}
	for _, i := range []int{1, 2} {
		require.Eventually(t, func() bool {
			entries, err := fetchEntries(http.DefaultClient, f.Daemons[i].Address, "key-small")
			if err != nil {
				return false
			}
			for _, e := range entries.Entries {
				if e.Address == f.Daemons[0].Address {
					lastNamed = time.Now()
					return false
				}
			}
			return true
		}, cluster.WaitTimeout, 10*time.Millisecond)
	}
	serveFrom := signalled
	if lastNamed.After(signalled) {
		serveFrom = lastNamed
	}
	for time.Since(serveFrom) < time.Second {
		outcome := (load.Call{Address: f.Daemons[0].Address, APIKey: "key-small", Model: "drafter", PromptWords: 5, AnswerTokens: 2, MaxTokens: 2}).
			Do(t.Context(), load.NewClient())
		require.True(t, outcome.Completed(), "%v %s, %v after the signal", outcome.Err, outcome.ResultCode, time.Since(signalled))
	}
	require.True(t, f.Daemons[0].Wait(cluster.WaitTimeout))
}

// TestResumedDaemonDoesNotServeStaleEntries guards against a daemon that returns entries from its stale
// view after a pause, including a daemon that was killed meanwhile.
func TestResumedDaemonDoesNotServeStaleEntries(t *testing.T) {
	t.Parallel()
	f := startFleet(t, cluster.Options{})
	waitForLive(t, f, []int{0, 1, 2}, "d1", "d2", "d3")
	f.Daemons[0].Pause()
	f.Daemons[1].Kill()
	waitForLive(t, f, []int{2}, "d3")
	f.Daemons[0].Resume()
	require.Eventually(t, func() bool {
		entries, err := fetchEntries(http.DefaultClient, f.Daemons[0].Address, "key-small")
		if err != nil {
			return false // not ready until its peers have answered
		}
		require.NotContains(t, entryAddresses(entries), f.Daemons[1].Address, "returned an entry of the stale view")
		return true
	}, cluster.WaitTimeout, pollInterval)
}

func entryAddresses(entries *entriesResponse) []string {
	var out []string
	for _, e := range entries.Entries {
		out = append(out, e.Address)
	}
	return out
}

// maxLeaveDelay is how long a server may still get new requests after the submission of the ticket
// that sets its state to leaving.
const maxLeaveDelay = 3 * time.Second

func TestLeavingServerGetsNoNewWork(t *testing.T) {
	t.Parallel()
	f := startFleet(t, cluster.Options{})
	leaving := f.AddEngine("z2", 16, "--token-interval", "5ms")
	f.SubmitNext()
	callers := startCallers(t.Context(), f, 8, 60)
	if !assert.Eventually(t, func() bool { return len(listRuns(t, leaving)) > 4 }, cluster.WaitTimeout, pollInterval) {
		require.FailNow(t, "the server got too little work", "%d runs\n%s", len(listRuns(t, leaving)), callers.failureSummary())
	}
	f.NextTicket.Servers[1].State = ticket.ServerLeaving
	submitted := time.Now()
	f.SubmitNext()
	require.Eventually(t, func() bool { return time.Since(submitted) > maxLeaveDelay+2*time.Second }, cluster.WaitTimeout, pollInterval)
	completed := callers.stopAndVerify(t)
	require.Greater(t, completed, 20)
	for _, run := range listRuns(t, leaving) {
		require.Less(t, run.Started.Sub(submitted), maxLeaveDelay, "got new work after the leave")
		require.Equal(t, runs.Finished, run.Outcome)
	}
}

func listRuns(t *testing.T, server *cluster.Process) []runs.Run {
	resp, err := http.Get("http://" + server.Address + "/admin/runs")
	require.NoError(t, err)
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	var list []runs.Run
	require.NoError(t, json.Unmarshal(data, &list), string(data))
	return list
}
