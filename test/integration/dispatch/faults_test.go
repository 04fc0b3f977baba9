package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/filbertrill/filbertrill/test/cluster"
)

const slots = 2

// twoZones starts d1 and d3 in z1, d2 and d4 in z2, and an engine in each zone.
func twoZones(t *testing.T, network *cluster.Network) (*cluster.Fleet, []*cluster.Process) {
	f := cluster.StartFleet(t, cluster.Options{Zones: []string{"z1", "z2"}, Daemons: 4, Network: network})
	engines := []*cluster.Process{
		f.AddEngine("z1", slots, "--token-interval", tokenTime),
		f.AddEngine("z2", slots, "--token-interval", tokenTime),
	}
	f.SubmitNext()
	return f, engines
}

// otherOfZone returns the other daemon of the zone of daemon i.
func otherOfZone(i int) int { return (i + 2) % 4 }

func TestDispatcherKilled(t *testing.T) {
	t.Parallel()
	f, engines := twoZones(t, nil)
	owner := dispatcherOf(f, "z1", 0, 2)
	c := startCallers(f, t, "small", otherOfZone(owner), 8)
	c.awaitMore(t, 20)
	f.Daemons[owner].Kill()
	before := engineRuns(t, engines[0])
	c.awaitMore(t, 60)
	c.requireWhole(t)
	require.Greater(t, engineRuns(t, engines[0]), before, "the killed dispatcher's engine is used")
}

func TestDispatcherFrozenAndThawed(t *testing.T) {
	f, engines := twoZones(t, nil)
	owner := dispatcherOf(f, "z1", 0, 2)
	c := startCallers(f, t, "small", otherOfZone(owner), 8)
	c.awaitMore(t, 20)
	f.Daemons[owner].Freeze()
	c.awaitMore(t, 60)
	f.Daemons[owner].Thaw()
	c.awaitMore(t, 60)
	c.requireWhole(t)
	require.Eventually(t, func() bool {
		return engineLoad(t, engines[0]) <= slots+1
	}, cluster.Patience, pollTime, "the engine has no more than its slots and one in wait")
	again := startCallers(f, t, "large", owner, 2)
	again.awaitMore(t, 10)
}

func TestZoneCutOffAndRejoined(t *testing.T) {
	network, err := cluster.NewNetwork(4)
	require.NoError(t, err)
	t.Cleanup(network.Close)
	f, engines := twoZones(t, network)
	near := startCallers(f, t, "small", 0, 6)
	far := startCallers(f, t, "large", 1, 6)
	near.awaitMore(t, 20)
	far.awaitMore(t, 20)
	require.NoError(t, network.Part(1, 3))
	time.Sleep(pollTime)
	most := 0
	target := near.answered() + 60
	require.Eventually(t, func() bool {
		for _, e := range engines {
			most = max(most, engineLoad(t, e))
		}
		return near.answered()+far.answered() >= target
	}, 2*cluster.Patience, pollTime)
	require.LessOrEqual(t, most, 2*(slots+1), "two dispatchers grant at most their windows")
	require.NoError(t, network.Heal())
	near.awaitMore(t, 40)
	far.awaitMore(t, 40)
	require.Empty(t, near.errors)
	require.Empty(t, far.errors)
	require.Eventually(t, func() bool {
		return engineLoad(t, engines[0]) <= slots+1 && engineLoad(t, engines[1]) <= slots+1
	}, cluster.Patience, pollTime)
}

func TestAllDaemonsRestartedCold(t *testing.T) {
	t.Parallel()
	f, _ := twoZones(t, nil)
	startCallers(f, t, "small", 0, 4).awaitMore(t, 10)
	for _, d := range f.Daemons {
		d.Kill()
	}
	for i := range f.Daemons {
		_, err := f.StartDaemon(i)
		require.NoError(t, err)
	}
	require.NoError(t, f.AwaitReady(cluster.Patience))
	c := startCallers(f, t, "small", 0, 4)
	c.awaitMore(t, 40)
}

func TestFailingServerIsLeftAloneAndComesBack(t *testing.T) {
	t.Parallel()
	f, engines := twoZones(t, nil)
	c := startCallers(f, t, "small", 0, 6)
	c.awaitMore(t, 20)
	require.NoError(t, cluster.PostJSON("http://"+engines[0].Address+"/admin/faults", `{"mode":"refuse"}`))
	c.awaitMore(t, 60)
	require.NoError(t, cluster.PostJSON("http://"+engines[0].Address+"/admin/faults", `{"mode":"none"}`))
	before := engineRuns(t, engines[0])
	require.Eventually(t, func() bool { return engineRuns(t, engines[0]) > before+20 }, cluster.Patience, pollTime)
	require.Empty(t, c.errors)
}

func TestDeadServerIsLeftAlone(t *testing.T) {
	t.Parallel()
	f, engines := twoZones(t, nil)
	c := startCallers(f, t, "small", 0, 6)
	c.awaitMore(t, 20)
	engines[0].Kill()
	c.awaitMore(t, 100)
}

func TestDispatcherAndServerFailAtOnce(t *testing.T) {
	t.Parallel()
	f, engines := twoZones(t, nil)
	owner := dispatcherOf(f, "z1", 0, 2)
	c := startCallers(f, t, "small", otherOfZone(owner), 6)
	c.awaitMore(t, 20)
	f.Daemons[owner].Kill()
	engines[1].Kill()
	c.awaitMore(t, 60)
}
