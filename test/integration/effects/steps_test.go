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

// step is a failure at one step of an unrepeatable request at daemon 0, after which the
// caller asks again at daemon 1.
type step struct {
	name  string
	fail  func(s *session, key string) answer // returns what the first ask heard
	first string
	again string
	runs  int
}

var steps = []step{
	{"no failure", func(s *session, key string) answer {
		return s.ask(0, request{key: key})
	}, "201", "201 replayed", 1},
	{"claim's append is refused, log down for appends", func(s *session, key string) answer {
		s.fault(s.LogService, `{"mode":"down",`+appends+`}`)
		return s.ask(0, request{key: key})
	}, "1204 not_run", "201", 1},
	{"log down, caller says first attempt", func(s *session, key string) answer {
		s.fault(s.LogService, `{"mode":"down"}`)
		return s.ask(0, request{key: key, first: true})
	}, "1204 not_run", "201", 1},
	{"log down", func(s *session, key string) answer {
		s.fault(s.LogService, `{"mode":"down"}`)
		return s.ask(0, request{key: key})
	}, "3005 unknown", "201", 1},
	{"daemon killed before the claim is appended", func(s *session, key string) answer {
		s.fault(s.LogService, `{"mode":"slow","delay_ms":20000,`+appends+`}`)
		return s.killDuring(key, func() bool { return s.met(s.LogService) > 0 })
	}, "connection lost", "201", 1},
	{"claim's append loses its answer", func(s *session, key string) answer {
		s.fault(s.LogService, `{"mode":"lose_answer","count":1,`+appends+`}`)
		return s.ask(0, request{key: key})
	}, "201", "201 replayed", 1},
	{"daemon killed after the claim, waiting for a slot", func(s *session, key string) answer {
		end := s.occupy()
		defer end()
		return s.killDuring(key, func() bool { return s.claimed(key) })
	}, "connection lost", "3003 unknown", 0},
	{"daemon killed during the run", func(s *session, key string) answer {
		s.fault(s.registry, `{"mode":"silent","count":1}`)
		return s.killDuring(key, func() bool { return len(s.runs(key)) == 1 })
	}, "connection lost", "3003 unknown", 1},
	{"server silent after the run", func(s *session, key string) answer {
		s.fault(s.registry, `{"mode":"silent","count":1}`)
		return s.ask(0, request{key: key})
	}, "3002 unknown", "3003 unknown", 1},
	{"server's answer is lost", func(s *session, key string) answer {
		s.fault(s.registry, `{"mode":"lose_answer","count":1}`)
		return s.ask(0, request{key: key})
	}, "3001 unknown", "3003 unknown", 1},
	{"server closes after reading", func(s *session, key string) answer {
		s.fault(s.registry, `{"mode":"close_after_read","count":1}`)
		return s.ask(0, request{key: key})
	}, "3001 unknown", "3003 unknown", 0},
	{"server closes in the middle of its answer", func(s *session, key string) answer {
		s.fault(s.registry, `{"mode":"close_mid_stream","count":1}`)
		return s.ask(0, request{key: key})
	}, "3001 unknown", "3003 unknown", 1},
	{"server refuses", func(s *session, key string) answer {
		s.fault(s.registry, `{"mode":"refuse","count":1}`)
		return s.ask(0, request{key: key})
	}, "503", "503 replayed", 0},
	{"daemon killed after the answer, before the outcome is in the log", func(s *session, key string) answer {
		s.fault(s.registry, `{"mode":"slow","delay_ms":500,"count":1}`)
		asked := s.begin(0, request{key: key})
		require.Eventually(s.t, func() bool { return s.claimed(key) }, cluster.WaitTimeout, pollEvery)
		s.fault(s.LogService, `{"mode":"slow","delay_ms":20000,`+appends+`}`)
		heard := <-asked
		s.Daemons[0].Kill()
		return heard
	}, "201", "3003 unknown", 1},
	{"caller goes away during the run", func(s *session, key string) answer {
		s.fault(s.registry, `{"mode":"slow","delay_ms":700,"count":1}`)
		ctx, cancel := context.WithTimeout(context.Background(), 400*time.Millisecond)
		defer cancel()
		return post(ctx, s.Daemons[0].Address, request{key: key})
	}, "connection lost", "201 replayed", 1},
}

func TestDocsTableMatchesSteps(t *testing.T) {
	page, err := os.ReadFile("../../../docs/design/effects.md")
	require.NoError(t, err)
	for _, s := range steps {
		require.Contains(t, string(page), fmt.Sprintf("| %s | %s | %s | %d |", s.name, s.first, s.again, s.runs))
	}
}

func TestFailureAtEveryStep(t *testing.T) {
	s := start(t, usual)
	for _, step := range steps {
		t.Run(step.name, func(t *testing.T) {
			s.t = t
			t.Cleanup(s.mend)
			key := newKey()
			first := step.fail(s, key)
			s.fault(s.LogService, noFault)
			s.fault(s.registry, noFault)
			again := s.askUntilKnown(1, key)
			t.Logf("| %s | %s | %s | %d |", step.name, first, again, len(s.runs(key)))
			require.Equal(t, step.first, first.String(), first.body)
			require.Equal(t, step.again, again.String(), again.body)
			require.Len(t, s.runs(key), step.runs)
			if first.status == http.StatusCreated && again.status == http.StatusCreated {
				require.Equal(t, first.body, again.body, "the caller hears the first run's answer")
			}
		})
	}
}

func TestPausedHolderRunsOnceAfterItWakes(t *testing.T) {
	s := start(t, limits{slots: 1, deadline: 15 * time.Second, idle: 10 * time.Second}, "--work-time", "500ms")
	for range 8 {
		s.begin(0, request{})
	}
	require.Eventually(t, func() bool { return len(allRuns(t, s.registry)) > 0 }, cluster.WaitTimeout, pollEvery)
	key := newKey()
	first := s.begin(0, request{key: key})
	require.Eventually(t, func() bool { return s.claimed(key) }, cluster.WaitTimeout, pollEvery)
	s.Daemons[0].Pause()
	again := s.begin(1, request{key: key})
	require.Eventually(t, s.idle, cluster.WaitTimeout, pollEvery)
	require.Empty(t, s.runs(key), "nobody runs the request in the place of the holder")
	s.Daemons[0].Resume()
	checkPair(t, s, key, <-first, <-again)
}

// checkPair checks what two asks of one key heard against the runs of the server.
func checkPair(t *testing.T, s *session, key string, first, again answer) {
	t.Logf("the holder's caller heard %s, the other %s, runs %d", first, again, len(s.runs(key)))
	require.LessOrEqual(t, len(s.runs(key)), 1)
	if first.outcome == "not_run" {
		require.False(t, again.replayed)
		return
	}
	require.Equal(t, "201", first.String(), first.body)
	require.Len(t, s.runs(key), 1)
	require.Contains(t, []string{"201 replayed", "3003 unknown"}, again.String())
}

func TestSameKeyAtEveryDaemonAtOnce(t *testing.T) {
	s := start(t, usual)
	for range 5 {
		key := newKey()
		var asked []<-chan answer
		for i := range s.Daemons {
			asked = append(asked, s.begin(i, request{key: key}), s.begin(i, request{key: key}))
		}
		bodies := map[string]bool{}
		for _, done := range asked {
			heard := <-done
			require.Equal(t, http.StatusCreated, heard.status, heard.body)
			bodies[heard.body] = true
		}
		require.Len(t, bodies, 1, "all hear the one run's answer")
		require.Len(t, s.runs(key), 1)
	}
}

func TestKeysAreBoundToTheirContent(t *testing.T) {
	s := start(t, usual)
	key := newKey()
	require.Equal(t, "201", s.ask(0, request{key: key}).String())
	for i := range s.Daemons {
		require.Eventually(t, func() bool {
			return s.ask(i, request{key: key, body: `{"lot":2}`}).String() == "1009 not_run"
		}, cluster.WaitTimeout, pollEvery)
	}
	require.Equal(t, "1010 not_run", s.ask(0, request{key: "order-17"}).String())
	old := "01890a5d-ac96-774b-bcce-b302099a8057" // of 2023
	require.Equal(t, "3003 unknown", s.ask(0, request{key: old}).String())
	require.Equal(t, "1010 not_run", s.ask(0, request{key: old, first: true}).String())
	require.Len(t, s.runs(key), 1)
}

func TestIssuedKeysRunWithoutTheLog(t *testing.T) {
	s := start(t, usual)
	key, unused := s.issueKey(0), s.issueKey(0)
	s.fault(s.LogService, `{"mode":"down"}`)
	first := s.ask(0, request{key: key})
	require.Equal(t, "201", first.String(), first.body)
	again := s.ask(0, request{key: key})
	require.Equal(t, "201 replayed", again.String())
	require.Equal(t, first.body, again.body)
	require.Eventually(t, func() bool {
		elsewhere := s.ask(1, request{key: key})
		require.Equal(t, "3005 unknown", elsewhere.String())
		return elsewhere.entry == s.Daemons[0].Address
	}, cluster.WaitTimeout, pollEvery, "the other daemon learns of the issuer")
	require.Equal(t, "1010 not_run", s.ask(0, request{key: key + "A"}).String())

	s.Daemons[0].Kill()
	s.fault(s.LogService, noFault)
	s.restart(0)
	require.Equal(t, "3003 unknown", s.ask(0, request{key: key}).String())
	require.Equal(t, "1010 not_run", s.ask(0, request{key: unused, first: true}).String())
	require.Len(t, s.runs(key), 1)
	require.Empty(t, s.runs(unused))
}

func TestUnreachableServerIsPassedOver(t *testing.T) {
	s := start(t, usual)
	other := s.AddPlainServer("z2", slots)
	s.SubmitNext()
	s.registry.Kill()
	for range 5 {
		key := newKey()
		var heard answer
		require.Eventually(t, func() bool {
			heard = s.ask(0, request{key: key})
			return heard.status == http.StatusCreated
		}, cluster.WaitTimeout, pollEvery, "%v", heard)
		require.Len(t, runsOf(t, other, key), 1)
	}
}
