package members

import (
	"math/rand"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/filbertrill/filbertrill/test/cluster"
)

// twoFailuresSeed determines the failures of TestTwoSimultaneousFailures.
const twoFailuresSeed = 3

// TestTwoSimultaneousFailures makes two of five daemons fail at the same time, each with a random kind
// of failure. The others must suspect both and serve requests, and all must be live after the recovery.
func TestTwoSimultaneousFailures(t *testing.T) {
	t.Parallel()
	const daemons = 5
	network, err := cluster.NewNetwork(daemons)
	require.NoError(t, err)
	defer network.Close()
	f := startFleet(t, cluster.Options{Daemons: daemons, Network: network})
	all := []string{"d1", "d2", "d3", "d4", "d5"}
	waitForLive(t, f, []int{0, 1, 2, 3, 4}, all...)
	random := rand.New(rand.NewSource(twoFailuresSeed))
	for range 3 {
		order := random.Perm(daemons)
		victims, rest := order[:2], order[2:]
		var reverts []func()
		for _, i := range victims {
			reverts = append(reverts, injectFailure(t, f, network, random.Intn(4), i))
		}
		slices.Sort(rest)
		want := []string{all[rest[0]], all[rest[1]], all[rest[2]]}
		waitForLive(t, f, rest, want...)
		for _, i := range rest {
			status, _, body := f.Call(i, "key-small", "POST", "/v1/chat/completions",
				`{"model":"drafter","messages":[{"role":"user","content":"hello"}],"max_tokens":2}`)
			require.Equal(t, 200, status, body)
		}
		for _, revert := range reverts {
			revert()
		}
		require.NoError(t, network.Heal())
		waitForLive(t, f, []int{0, 1, 2, 3, 4}, all...)
	}
}

// injectFailure makes daemon i fail. The returned function reverts the failure, except for
// network failures, which network.Heal reverts.
func injectFailure(t *testing.T, f *cluster.Fleet, n *cluster.Network, kind, i int) func() {
	t.Logf("%v: failure %d of d%d", time.Now().Format(time.TimeOnly), kind, i+1)
	switch kind {
	case 0:
		f.Daemons[i].Pause()
		return f.Daemons[i].Resume
	case 1:
		require.NoError(t, n.Partition(i))
	case 2:
		require.NoError(t, n.Blackhole(i))
	case 3:
		f.Daemons[i].Kill()
		return func() {
			_, err := f.StartDaemon(i)
			require.NoError(t, err)
		}
	}
	return func() {}
}
