package effects

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/filbertrill/filbertrill/test/cluster"
)

const (
	soakCallers    = 6
	requestTimeout = 1500 * time.Millisecond // per request of a caller
	maxAttempts    = 4                       // per key
)

// logFaults and serverFaults are the faults that the soak test chooses from at random.
var (
	logFaults = []string{
		noFault, noFault,
		`{"mode":"down"}`,
		`{"mode":"slow","delay_ms":200}`,
		`{"mode":"lose_answer","every":3,` + claimAppends + `}`,
		`{"mode":"flap"}`,
	}
	serverFaults = []string{
		noFault, noFault,
		`{"mode":"lose_answer","every":4}`,
		`{"mode":"close_after_read","every":4}`,
		`{"mode":"silent","every":6}`,
		`{"mode":"slow","delay_ms":300,"every":2}`,
	}
)

// timedAnswer is an answer with the time of its arrival.
type timedAnswer struct {
	answer
	receivedAt time.Time
}

// soakTest records the answers of callers while faults are injected.
type soakTest struct {
	*fixture
	addresses  []string
	mu         sync.Mutex
	answers    map[string][]timedAnswer // by key
	faultCount int
}

// TestStampsUnderMixedFaults runs a short soak with a fixed seed.
func TestStampsUnderMixedFaults(t *testing.T) { runSoak(t, 1, 10*time.Second) }

func runSoak(t *testing.T, seed uint64, duration time.Duration) {
	s := &soakTest{fixture: newFixture(t, defaultLimits), answers: map[string][]timedAnswer{}}
	for _, d := range s.Daemons {
		s.addresses = append(s.addresses, d.Address)
	}
	ctx, cancel := context.WithTimeout(t.Context(), duration)
	defer cancel()
	var callers sync.WaitGroup
	for i := range soakCallers {
		random := rand.New(rand.NewPCG(seed, uint64(i)))
		callers.Go(func() { s.runCaller(ctx, random) })
	}
	s.injectFaults(ctx, rand.New(rand.NewPCG(seed, soakCallers)))
	callers.Wait()
	s.verify(seed)
}

// runCaller requests one stamp after another. Each request is retried at random daemons, and
// sometimes repeated after a success.
func (s *soakTest) runCaller(ctx context.Context, random *rand.Rand) {
	for ctx.Err() == nil {
		key := newKey()
		for range maxAttempts {
			a := s.sendToRandomDaemon(random, key)
			s.mu.Lock()
			s.answers[key] = append(s.answers[key], timedAnswer{answer: a, receivedAt: time.Now()})
			s.mu.Unlock()
			if a.status == http.StatusCreated && random.IntN(4) > 0 {
				break
			}
			sleep(ctx, pollInterval)
		}
	}
}

func (s *soakTest) sendToRandomDaemon(random *rand.Rand, key string) answer {
	s.mu.Lock()
	address := s.addresses[random.IntN(len(s.addresses))]
	s.mu.Unlock()
	timeout := requestTimeout
	if random.IntN(5) == 0 {
		timeout = time.Duration(random.IntN(60)) * time.Millisecond
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	return postStamp(ctx, address, request{key: key})
}

// injectFaults injects random faults until the context ends, then clears them.
func (s *soakTest) injectFaults(ctx context.Context, random *rand.Rand) {
	for ctx.Err() == nil {
		s.faultCount++
		i := random.IntN(len(s.Daemons))
		switch random.IntN(4) {
		case 0:
			s.setFault(s.LogService, logFaults[random.IntN(len(logFaults))])
		case 1:
			s.setFault(s.registry, serverFaults[random.IntN(len(serverFaults))])
		case 2:
			s.Daemons[i].Pause()
			sleep(ctx, time.Duration(200+random.IntN(1500))*time.Millisecond)
			s.Daemons[i].Resume()
		case 3:
			s.replaceDaemon(i)
		}
		sleep(ctx, time.Duration(100+random.IntN(500))*time.Millisecond)
	}
	s.setFault(s.LogService, noFault)
	s.setFault(s.registry, noFault)
}

func (s *soakTest) replaceDaemon(i int) {
	s.Daemons[i].Kill()
	p, err := s.StartDaemon(i)
	require.NoError(s.t, err)
	s.mu.Lock()
	s.addresses[i] = p.Address
	s.mu.Unlock()
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// verify compares the answers of the callers with the runs of the server. It requires that no key
// ran twice, that no key ran before a "not_run" answer to it, and that all successful answers to
// a key are those of one run.
func (s *soakTest) verify(seed uint64) {
	require.NoError(s.t, s.AwaitReady(cluster.WaitTimeout))
	started := map[string][]time.Time{}
	for _, run := range listRuns(s.t, s.registry) {
		started[run.Key] = append(started[run.Key], run.Started)
	}
	counts := map[string]int{}
	doubleRuns, falseRefusals, conflictingAnswers, requests := 0, 0, 0, 0
	for key, answers := range s.answers {
		if len(started[key]) > 1 {
			doubleRuns++
		}
		bodies := map[string]bool{}
		for _, a := range answers {
			requests++
			counts[a.String()]++
			if a.status == http.StatusCreated {
				bodies[a.body] = true
			}
			if a.outcome == "not_run" && len(started[key]) > 0 && started[key][0].Before(a.receivedAt) {
				falseRefusals++
				s.t.Logf("key %s: answered %s at %v, but run at %v", key, a, a.receivedAt, started[key][0])
			}
		}
		if len(bodies) > 1 || (len(bodies) == 1 && len(started[key]) == 0) {
			conflictingAnswers++
		}
	}
	s.t.Logf("seed=%d keys=%d requests=%d faults=%d runs=%d answers=%v", seed, len(s.answers), requests, s.faultCount, len(started), counts)
	s.t.Logf("double_runs=%d false_refusals=%d conflicting_answers=%d", doubleRuns, falseRefusals, conflictingAnswers)
	require.Equal(s.t, "0 0 0", fmt.Sprint(doubleRuns, falseRefusals, conflictingAnswers))
	require.Positive(s.t, counts["201"], "some stamps were issued")
}
