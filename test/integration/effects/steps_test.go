package effects

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/filbertrill/filbertrill/test/cluster"
)

// failureStep is a failure at one step of an unrepeatable request at daemon 0, after which the
// caller retries at daemon 1. Its fields are a row of the table in docs/design/effects.md.
type failureStep struct {
	name            string
	sendWithFailure func(f *fixture, key string) answer // returns the answer to the first request
	wantFirst       string
	wantRetry       string
	wantRuns        int
}

var failureSteps = []failureStep{
	{"no failure", func(f *fixture, key string) answer {
		return f.send(0, request{key: key})
	}, "201", "201 replayed", 1},
	{"claim's append is refused, log down for appends", func(f *fixture, key string) answer {
		f.setFault(f.LogService, `{"mode":"down",`+claimAppends+`}`)
		return f.send(0, request{key: key})
	}, "1204 not_run", "201", 1},
	{"log down, caller says first attempt", func(f *fixture, key string) answer {
		f.setFault(f.LogService, `{"mode":"down"}`)
		return f.send(0, request{key: key, firstAttempt: true})
	}, "1204 not_run", "201", 1},
	{"log down", func(f *fixture, key string) answer {
		f.setFault(f.LogService, `{"mode":"down"}`)
		return f.send(0, request{key: key})
	}, "3005 unknown", "201", 1},
	{"daemon killed before the claim is appended", func(f *fixture, key string) answer {
		f.setFault(f.LogService, `{"mode":"slow","delay_ms":20000,`+claimAppends+`}`)
		return f.killDaemonWhen(key, func() bool { return f.injectedFaultCount(f.LogService) > 0 })
	}, "connection lost", "201", 1},
	{"claim's append loses its answer", func(f *fixture, key string) answer {
		f.setFault(f.LogService, `{"mode":"lose_answer","count":1,`+claimAppends+`}`)
		return f.send(0, request{key: key})
	}, "201", "201 replayed", 1},
	{"daemon killed after the claim, waiting for a slot", func(f *fixture, key string) answer {
		release := f.occupySlots()
		defer release()
		return f.killDaemonWhen(key, func() bool { return f.hasClaim(key) })
	}, "connection lost", "3003 unknown", 0},
	{"daemon killed during the run", func(f *fixture, key string) answer {
		f.setFault(f.registry, `{"mode":"silent","count":1}`)
		return f.killDaemonWhen(key, func() bool { return len(f.runsForKey(key)) == 1 })
	}, "connection lost", "3003 unknown", 1},
	{"server silent after the run", func(f *fixture, key string) answer {
		f.setFault(f.registry, `{"mode":"silent","count":1}`)
		return f.send(0, request{key: key})
	}, "3002 unknown", "3003 unknown", 1},
	{"server's answer is lost", func(f *fixture, key string) answer {
		f.setFault(f.registry, `{"mode":"lose_answer","count":1}`)
		return f.send(0, request{key: key})
	}, "3001 unknown", "3003 unknown", 1},
	{"server closes after reading", func(f *fixture, key string) answer {
		f.setFault(f.registry, `{"mode":"close_after_read","count":1}`)
		return f.send(0, request{key: key})
	}, "3001 unknown", "3003 unknown", 0},
	{"server closes in the middle of its answer", func(f *fixture, key string) answer {
		f.setFault(f.registry, `{"mode":"close_mid_stream","count":1}`)
		return f.send(0, request{key: key})
	}, "3001 unknown", "3003 unknown", 1},
	{"server refuses", func(f *fixture, key string) answer {
		f.setFault(f.registry, `{"mode":"refuse","count":1}`)
		return f.send(0, request{key: key})
	}, "503", "503 replayed", 0},
	{"daemon killed after the answer, before the outcome is in the log", func(f *fixture, key string) answer {
		f.setFault(f.registry, `{"mode":"slow","delay_ms":500,"count":1}`)
		pending := f.sendAsync(0, request{key: key})
		require.Eventually(f.t, func() bool { return f.hasClaim(key) }, cluster.WaitTimeout, pollInterval)
		f.setFault(f.LogService, `{"mode":"slow","delay_ms":20000,`+claimAppends+`}`)
		first := <-pending
		f.Daemons[0].Kill()
		return first
	}, "201", "3003 unknown", 1},
	{"caller goes away during the run", func(f *fixture, key string) answer {
		f.setFault(f.registry, `{"mode":"slow","delay_ms":700,"count":1}`)
		ctx, cancel := context.WithTimeout(context.Background(), 400*time.Millisecond)
		defer cancel()
		return postStamp(ctx, f.Daemons[0].Address, request{key: key})
	}, "connection lost", "201 replayed", 1},
}

func TestDocsTableMatchesFailureSteps(t *testing.T) {
	page, err := os.ReadFile("../../../docs/design/effects.md")
	require.NoError(t, err)
	for _, step := range failureSteps {
		require.Contains(t, string(page), fmt.Sprintf("| %s | %s | %s | %d |", step.name, step.wantFirst, step.wantRetry, step.wantRuns))
	}
}

func TestFailureAtEveryStep(t *testing.T) {
	f := newFixture(t, defaultLimits)
	for _, step := range failureSteps {
		t.Run(step.name, func(t *testing.T) {
			f.t = t
			t.Cleanup(f.restore)
			key := newKey()
			first := step.sendWithFailure(f, key)
			f.setFault(f.LogService, noFault)
			f.setFault(f.registry, noFault)
			retry := f.retryUntilKnown(1, key)
			t.Logf("| %s | %s | %s | %d |", step.name, first, retry, len(f.runsForKey(key)))
			require.Equal(t, step.wantFirst, first.String(), first.body)
			require.Equal(t, step.wantRetry, retry.String(), retry.body)
			require.Len(t, f.runsForKey(key), step.wantRuns)
			if first.status == http.StatusCreated && retry.status == http.StatusCreated {
				require.Equal(t, first.body, retry.body, "the retry gets the answer of the first run")
			}
		})
	}
}

// TestPausedDaemonRunsRequestAtMostOnce pauses daemon 0 while it has a claimed request in its queue.
// No other daemon may run the request meanwhile, and it runs at most once after daemon 0 resumes.
func TestPausedDaemonRunsRequestAtMostOnce(t *testing.T) {
	f := newFixture(t, serviceLimits{slots: 1, deadline: 15 * time.Second, idleLimit: 10 * time.Second}, "--work-time", "500ms")
	for range 8 {
		f.sendAsync(0, request{})
	}
	require.Eventually(t, func() bool { return len(listRuns(t, f.registry)) > 0 }, cluster.WaitTimeout, pollInterval)
	key := newKey()
	first := f.sendAsync(0, request{key: key})
	require.Eventually(t, func() bool { return f.hasClaim(key) }, cluster.WaitTimeout, pollInterval)
	f.Daemons[0].Pause()
	retry := f.sendAsync(1, request{key: key})
	require.Eventually(t, f.registryIdle, cluster.WaitTimeout, pollInterval)
	require.Empty(t, f.runsForKey(key), "no other daemon runs the request while the holder of the claim is paused")
	f.Daemons[0].Resume()
	verifyAtMostOneRun(t, f, key, <-first, <-retry)
}

// verifyAtMostOneRun checks the answers to two requests with one key against the runs of the
// server.
func verifyAtMostOneRun(t *testing.T, f *fixture, key string, first, retry answer) {
	t.Logf("answer at the claim holder: %s, at the other daemon: %s, runs: %d", first, retry, len(f.runsForKey(key)))
	require.LessOrEqual(t, len(f.runsForKey(key)), 1)
	if first.outcome == "not_run" {
		require.False(t, retry.replayed)
		return
	}
	require.Equal(t, "201", first.String(), first.body)
	require.Len(t, f.runsForKey(key), 1)
	require.Contains(t, []string{"201 replayed", "3003 unknown"}, retry.String())
}

func TestConcurrentRequestsWithSameKeyRunOnce(t *testing.T) {
	f := newFixture(t, defaultLimits)
	for range 5 {
		key := newKey()
		var pending []<-chan answer
		for i := range f.Daemons {
			pending = append(pending, f.sendAsync(i, request{key: key}), f.sendAsync(i, request{key: key}))
		}
		bodies := map[string]bool{}
		for _, done := range pending {
			a := <-done
			require.Equal(t, http.StatusCreated, a.status, a.body)
			bodies[a.body] = true
		}
		require.Len(t, bodies, 1, "all requests get the answer of the one run")
		require.Len(t, f.runsForKey(key), 1)
	}
}

func TestKeysAreBoundToTheirContent(t *testing.T) {
	f := newFixture(t, defaultLimits)
	key := newKey()
	require.Equal(t, "201", f.send(0, request{key: key}).String())
	for i := range f.Daemons {
		require.Eventually(t, func() bool {
			return f.send(i, request{key: key, body: `{"lot":2}`}).String() == "1009 not_run"
		}, cluster.WaitTimeout, pollInterval)
	}
	require.Equal(t, "1010 not_run", f.send(0, request{key: "order-17"}).String())
	expiredKey := "01890a5d-ac96-774b-bcce-b302099a8057" // UUIDv7 created in 2023
	require.Equal(t, "3003 unknown", f.send(0, request{key: expiredKey}).String())
	require.Equal(t, "1010 not_run", f.send(0, request{key: expiredKey, firstAttempt: true}).String())
	require.Len(t, f.runsForKey(key), 1)
}

func TestIssuedKeysRunWithoutTheLog(t *testing.T) {
	f := newFixture(t, defaultLimits)
	key, unused := f.issueKey(0), f.issueKey(0)
	f.setFault(f.LogService, `{"mode":"down"}`)
	first := f.send(0, request{key: key})
	require.Equal(t, "201", first.String(), first.body)
	retry := f.send(0, request{key: key})
	require.Equal(t, "201 replayed", retry.String())
	require.Equal(t, first.body, retry.body)
	require.Eventually(t, func() bool {
		elsewhere := f.send(1, request{key: key})
		require.Equal(t, "3005 unknown", elsewhere.String())
		return elsewhere.entry == f.Daemons[0].Address
	}, cluster.WaitTimeout, pollInterval, "the other daemon finds the issuer of the key")
	require.Equal(t, "1010 not_run", f.send(0, request{key: key + "A"}).String())

	f.Daemons[0].Kill()
	f.setFault(f.LogService, noFault)
	f.restartDaemon(0)
	require.Equal(t, "3003 unknown", f.send(0, request{key: key}).String())
	require.Equal(t, "1010 not_run", f.send(0, request{key: unused, firstAttempt: true}).String())
	require.Len(t, f.runsForKey(key), 1)
	require.Empty(t, f.runsForKey(unused))
}

func TestUnreachableServerIsSkipped(t *testing.T) {
	f := newFixture(t, defaultLimits)
	other := f.AddPlainServer("z2", registrySlots)
	f.SubmitNext()
	f.registry.Kill()
	for range 5 {
		key := newKey()
		var last answer
		require.Eventually(t, func() bool {
			last = f.send(0, request{key: key})
			return last.status == http.StatusCreated
		}, cluster.WaitTimeout, pollInterval, "%v", last)
		require.Len(t, runsForKey(t, other, key), 1)
	}
}
