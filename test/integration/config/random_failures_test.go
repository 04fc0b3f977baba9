package config

import (
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/filbertrill/filbertrill/internal/result"
	"github.com/filbertrill/filbertrill/test/cluster"
)

// Settings of the tests with random failures.
const (
	defaultSeed  = 1
	randomSteps  = 6
	seedVariable = "TEST_SEED" // environment variable that overrides the seed
)

// TestRandomFailures causes random pairs of failures while tickets are submitted. After each
// pair it checks that no accepted ticket is lost, and at the end that all daemons have the
// same state.
func TestRandomFailures(t *testing.T) { testRandomFailures(t, randomSteps) }

func testRandomFailures(t *testing.T, steps int) {
	seed := uint64(defaultSeed)
	if text := os.Getenv(seedVariable); text != "" {
		var err error
		seed, err = strconv.ParseUint(text, 10, 64)
		require.NoError(t, err)
	}
	t.Logf("seed %d", seed)
	f := startFleet(t, cluster.Options{LogServiceArgs: []string{"--max-records", "64"}})
	f.addEngineAndSubmit()
	r := &randomFailures{fleet: f, rand: rand.New(rand.NewPCG(seed, 0)), number: 2, weight: 1, applied: make([]int64, 3)}
	for range steps {
		r.step()
	}
	r.requireConverged()
}

// randomFailures is the state of a test with random failures.
type randomFailures struct {
	*fleet
	rand    *rand.Rand
	number  uint64  // of the next ticket
	weight  float64 // of the last ticket that was accepted
	applied []int64 // highest offset that each daemon has reported since its start
}

func (r *randomFailures) step() {
	r.t.Helper()
	victim := r.rand.IntN(3)
	undo := []func(){r.randomFault(victim), r.randomFault(r.rand.IntN(3))}
	for range 2 {
		r.submit()
	}
	for _, undoFault := range undo {
		undoFault()
	}
	require.NoError(r.t, r.network.Heal())
	r.setLogFault(logRecovered)
	for i := range r.Daemons {
		r.requireAccepted(i)
	}
}

// randomFault causes a random failure and returns a function that ends it, apart from failures
// of the log and the network, which step ends itself.
func (r *randomFailures) randomFault(victim int) func() {
	r.t.Helper()
	switch r.rand.IntN(8) {
	case 0:
		r.setLogFault(logDown)
	case 1:
		r.setLogFault(logFlapping)
	case 2:
		r.setLogFault(logLosesAnswers)
	case 3:
		r.setLogFault(logSlow)
	case 4:
		r.network.LogServiceLink(victim).Cut()
	case 5:
		require.NoError(r.t, r.network.Partition(victim))
	case 6:
		d := r.Daemons[victim]
		d.Pause()
		return d.Resume
	case 7:
		r.Daemons[victim].Kill()
		_, err := r.StartDaemon(victim)
		require.NoError(r.t, err)
		r.applied[victim] = 0
	}
	return func() {}
}

// submit submits a ticket to a random daemon. Only an accepted one has to be kept.
func (r *randomFailures) submit() {
	r.t.Helper()
	weight := float64(r.number)
	_, err := r.SubmitAt(r.rand.IntN(3), accountTicket(r.number, "small", weight), "--timeout", "3s")
	if exitCode(err) == result.ExitOK {
		r.weight = weight
	}
	r.number++
}

// requireAccepted waits until daemon i has the last accepted ticket, and requires that its
// applied offset has not decreased.
func (r *randomFailures) requireAccepted(i int) {
	r.t.Helper()
	require.Eventually(r.t, func() bool { return r.fleet.weight(i, "small") >= r.weight }, cluster.WaitTimeout, pollInterval)
	applied := r.status(i).AppliedOffset
	require.GreaterOrEqual(r.t, applied, r.applied[i])
	r.applied[i] = applied
}

// requireConverged requires that one more ticket comes into force and that all daemons reach
// the same state.
func (r *randomFailures) requireConverged() {
	r.t.Helper()
	require.Eventually(r.t, func() bool {
		_, err := r.SubmitAt(0, accountTicket(r.number, "small", float64(r.number)), "--wait", "in-force", "--timeout", "5s")
		return exitCode(err) == result.ExitOK
	}, 2*cluster.WaitTimeout, time.Second)
	for i := range r.Daemons {
		r.requireWeight(i, "small", float64(r.number))
	}
	require.Eventually(r.t, func() bool {
		digests := map[string]bool{}
		for i := range r.Daemons {
			digests[r.status(i).digest()] = true
		}
		return len(digests) == 1
	}, cluster.WaitTimeout, pollInterval)
}
