package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/filbertrill/filbertrill/test/cluster"
)

const slots = 2

// startTwoZones starts the daemons d1 and d3 in z1, d2 and d4 in z2, and an engine in each
// zone.
func startTwoZones(t *testing.T, network *cluster.Network) (*cluster.Fleet, []*cluster.Process) {
	f := cluster.StartFleet(t, cluster.Options{Zones: []string{"z1", "z2"}, Daemons: 4, Network: network})
	engines := []*cluster.Process{
		f.AddEngine("z1", slots, "--token-interval", tokenInterval),
		f.AddEngine("z2", slots, "--token-interval", tokenInterval),
	}
	f.SubmitNext()
	return f, engines
}

// zonePeer returns the index of the other daemon in the zone of daemon i.
func zonePeer(i int) int { return (i + 2) % 4 }

func TestDispatcherKilled(t *testing.T) {
	t.Parallel()
	f, engines := startTwoZones(t, nil)
	dispatcher := dispatcherOf(f, "z1", 0, 2)
	c := startCallers(f, t, "small", zonePeer(dispatcher), 8)
	c.waitForAnswers(t, 20)
	f.Daemons[dispatcher].Kill()
	before := engineRuns(t, engines[0])
	c.waitForAnswers(t, 60)
	c.requireNoFailures(t)
	require.Greater(t, engineRuns(t, engines[0]), before, "the engine of the killed dispatcher's zone still gets requests")
}

func TestDispatcherPausedAndResumed(t *testing.T) {
	f, engines := startTwoZones(t, nil)
	dispatcher := dispatcherOf(f, "z1", 0, 2)
	c := startCallers(f, t, "small", zonePeer(dispatcher), 8)
	c.waitForAnswers(t, 20)
	f.Daemons[dispatcher].Pause()
	c.waitForAnswers(t, 60)
	f.Daemons[dispatcher].Resume()
	c.waitForAnswers(t, 60)
	c.requireNoFailures(t)
	require.Eventually(t, func() bool {
		return engineRequests(t, engines[0]) <= slots+1
	}, cluster.WaitTimeout, pollInterval, "the engine has at most one request beyond its slots")
	dispatcherCallers := startCallers(f, t, "large", dispatcher, 2)
	dispatcherCallers.waitForAnswers(t, 10)
}

func TestZonePartitionedAndHealed(t *testing.T) {
	network, err := cluster.NewNetwork(4)
	require.NoError(t, err)
	t.Cleanup(network.Close)
	f, engines := startTwoZones(t, network)
	z1Callers := startCallers(f, t, "small", 0, 6)
	z2Callers := startCallers(f, t, "large", 1, 6)
	z1Callers.waitForAnswers(t, 20)
	z2Callers.waitForAnswers(t, 20)
	require.NoError(t, network.Partition(1, 3))
	time.Sleep(pollInterval)
	maxRequests := 0
	target := z1Callers.answered() + 60
	require.Eventually(t, func() bool {
		for _, e := range engines {
			maxRequests = max(maxRequests, engineRequests(t, e))
		}
		return z1Callers.answered()+z2Callers.answered() >= target
	}, 2*cluster.WaitTimeout, pollInterval)
	require.LessOrEqual(t, maxRequests, 2*(slots+1), "two dispatchers of a pool exceed the slots and standby of its engine at most twofold")
	require.NoError(t, network.Heal())
	z1Callers.waitForAnswers(t, 40)
	z2Callers.waitForAnswers(t, 40)
	require.Empty(t, z1Callers.errs)
	require.Empty(t, z2Callers.errs)
	require.Eventually(t, func() bool {
		return engineRequests(t, engines[0]) <= slots+1 && engineRequests(t, engines[1]) <= slots+1
	}, cluster.WaitTimeout, pollInterval)
}

func TestAllDaemonsRestartedCold(t *testing.T) {
	t.Parallel()
	f, _ := startTwoZones(t, nil)
	startCallers(f, t, "small", 0, 4).waitForAnswers(t, 10)
	for _, d := range f.Daemons {
		d.Kill()
	}
	for i := range f.Daemons {
		_, err := f.StartDaemon(i)
		require.NoError(t, err)
	}
	require.NoError(t, f.AwaitReady(cluster.WaitTimeout))
	c := startCallers(f, t, "small", 0, 4)
	c.waitForAnswers(t, 40)
}

func TestFailingServerIsAvoidedUntilItRecovers(t *testing.T) {
	t.Parallel()
	f, engines := startTwoZones(t, nil)
	c := startCallers(f, t, "small", 0, 6)
	c.waitForAnswers(t, 20)
	require.NoError(t, cluster.PostJSON("http://"+engines[0].Address+"/admin/faults", `{"mode":"refuse"}`))
	c.waitForAnswers(t, 60)
	require.NoError(t, cluster.PostJSON("http://"+engines[0].Address+"/admin/faults", `{"mode":"none"}`))
	before := engineRuns(t, engines[0])
	require.Eventually(t, func() bool { return engineRuns(t, engines[0]) > before+20 }, cluster.WaitTimeout, pollInterval)
	require.Empty(t, c.errs)
}

func TestKilledServerIsAvoided(t *testing.T) {
	t.Parallel()
	f, engines := startTwoZones(t, nil)
	c := startCallers(f, t, "small", 0, 6)
	c.waitForAnswers(t, 20)
	engines[0].Kill()
	c.waitForAnswers(t, 100)
}

func TestDispatcherAndServerFailAtOnce(t *testing.T) {
	t.Parallel()
	f, engines := startTwoZones(t, nil)
	dispatcher := dispatcherOf(f, "z1", 0, 2)
	c := startCallers(f, t, "small", zonePeer(dispatcher), 6)
	c.waitForAnswers(t, 20)
	f.Daemons[dispatcher].Kill()
	engines[1].Kill()
	c.waitForAnswers(t, 60)
}
