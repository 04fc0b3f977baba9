package member

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/filbertrill/filbertrill/internal/peer/pb"
)

// convergenceTimeout bounds the time until all views agree after the network has recovered.
// It exceeds the longest timeout, the one for members of other regions.
const convergenceTimeout = 60 * time.Second

func TestViewsConvergeAfterRandomFailures(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(rapid.Int64().Draw(t, "seed"))
		sim.startFleet(rapid.IntRange(1, 2).Draw(t, "regions"), rapid.IntRange(1, 3).Draw(t, "zones"), rapid.IntRange(1, 3).Draw(t, "members"))
		sim.waitFor(t, convergenceTimeout, sim.converged)
		for range rapid.IntRange(1, 8).Draw(t, "failures") {
			sim.injectFailure(t)
			sim.run(time.Duration(rapid.IntRange(0, 12000).Draw(t, "pause")) * time.Millisecond)
		}
		sim.lossy = false
		sim.partition = map[string]int{}
		for _, n := range sim.nodes {
			sim.thaw(n)
		}
		sim.waitFor(t, convergenceTimeout, sim.converged)
		sim.checkOffsetsPropagate(t)
		// The last message of a dead daemon may still be in flight when the others agree.
		sim.run(maxDelay + EvictAfter + time.Second)
		for _, n := range sim.nodes {
			require.Len(t, n.view.All(), len(sim.nodes), "dead members are evicted")
		}
	})
}

// injectFailure applies a random failure or recovery.
func (sim *simulation) injectFailure(t *rapid.T) {
	addresses := sim.addresses()
	address := rapid.SampledFrom(addresses).Draw(t, "daemon")
	n := sim.nodes[address]
	switch rapid.IntRange(0, 7).Draw(t, "failure") {
	case 0:
		sim.start(n.self.Id, address, n.self.Zone, n.self.Region) // restarted at once
	case 1:
		sim.start(fmt.Sprintf("new%d", sim.lastIncarnation), address, n.self.Zone, n.self.Region) // replaced
	case 2:
		if len(addresses) > 1 {
			delete(sim.nodes, address)
		}
	case 3:
		n.frozen = true
	case 4:
		sim.thaw(n)
	case 5:
		sim.partition[n.self.Zone] = rapid.IntRange(0, 1).Draw(t, "side")
	case 6:
		sim.lossy = !sim.lossy
	case 7:
		n.view.Update(sim.now, func(self *pb.Member) { self.AppliedOffset++ })
	}
}

// checkOffsetsPropagate lets every daemon apply the same offset and waits until every view
// has it for all members.
func (sim *simulation) checkOffsetsPropagate(t require.TestingT) {
	for _, n := range sim.nodes {
		n.view.Update(sim.now, func(self *pb.Member) { self.AppliedOffset = 100 })
	}
	sim.waitFor(t, 10*time.Second, func() bool {
		for _, n := range sim.nodes {
			for _, m := range n.view.Live(sim.now) {
				if m.AppliedOffset != 100 {
					return false
				}
			}
		}
		return true
	})
}

// newSevenDaemonFleet simulates 7 daemons in 3 data centres of one region.
func newSevenDaemonFleet(seed int64) *simulation {
	sim := newSimulation(seed)
	for i := range 7 {
		zone := fmt.Sprintf("z%d", i%3)
		sim.start(fmt.Sprintf("d%d", i), fmt.Sprintf("a%d", i), zone, "r1")
	}
	return sim
}

func TestDeadDaemonIsSuspectedWithinSeconds(t *testing.T) {
	for victim := range 7 {
		sim := newSevenDaemonFleet(int64(victim))
		sim.waitFor(t, convergenceTimeout, sim.converged)
		sim.run(10 * time.Second)
		delete(sim.nodes, fmt.Sprintf("a%d", victim))
		took := sim.waitFor(t, 6*time.Second, sim.converged)
		t.Logf("d%d: %v", victim, took)
	}
}

// Guards against false suspicion of live members when one daemon dies, in particular while
// another one takes over as delegate.
func TestDeathOfOneDaemonCausesNoFalseSuspicion(t *testing.T) {
	for victim := range 7 {
		sim := newSevenDaemonFleet(int64(victim))
		sim.waitFor(t, convergenceTimeout, sim.converged)
		sim.run(10 * time.Second)
		delete(sim.nodes, fmt.Sprintf("a%d", victim))
		want := sim.runningMembers()
		for range 400 {
			sim.run(50 * time.Millisecond)
			for _, n := range sim.nodes {
				for _, id := range want {
					require.Contains(t, sim.liveMembers(n), id, "%s after the death of d%d", n.self.Id, victim)
				}
			}
		}
	}
}

func TestAppliedOffsetReachesAllMembers(t *testing.T) {
	sim := newSevenDaemonFleet(1)
	sim.waitFor(t, convergenceTimeout, sim.converged)
	sim.run(10 * time.Second)
	for i := int64(1); i <= 20; i++ {
		sim.nodes["a3"].view.Update(sim.now, func(self *pb.Member) { self.AppliedOffset = i })
		sim.waitFor(t, time.Second, func() bool {
			for _, n := range sim.nodes {
				if n.view.Get("d3").Member.AppliedOffset != i {
					return false
				}
			}
			return true
		})
	}
}

func TestPausedDaemonIsNotReadyBeforePeersAnswer(t *testing.T) {
	for victim := range 7 {
		sim := newSevenDaemonFleet(int64(victim))
		sim.waitFor(t, convergenceTimeout, sim.converged)
		sim.run(10 * time.Second)
		n := sim.nodes[fmt.Sprintf("a%d", victim)]
		n.frozen = true
		sim.run(20 * time.Second)
		require.False(t, n.view.Ready(sim.now), "ready before any of its timers ran")
		require.Len(t, n.view.Live(sim.now), 7, "suspected peers because of its own pause")
		thawed := sim.now
		sim.thaw(n)
		require.False(t, n.view.Ready(sim.now), "took messages queued during the pause for echoes")
		sim.waitFor(t, resyncGracePeriod, sim.converged)
		require.Less(t, sim.now.Sub(thawed), resyncGracePeriod, "ready only after the grace period, not by its peers' echoes")
	}
}

func TestRestartsDoNotLeakState(t *testing.T) {
	sim := newSevenDaemonFleet(1)
	for i := range 200 {
		address := fmt.Sprintf("a%d", i%7)
		n := sim.nodes[address]
		sim.start(fmt.Sprintf("r%d", i), address, n.self.Zone, n.self.Region)
		sim.run(2 * time.Second)
	}
	sim.waitFor(t, convergenceTimeout, sim.converged)
	sim.run(EvictAfter + time.Second)
	for _, n := range sim.nodes {
		require.Len(t, n.view.members, 7)
		require.LessOrEqual(t, len(n.view.peers), 6)
		require.LessOrEqual(t, len(n.view.reports), 2)
	}
}

func TestClockSetBackBetweenIncarnations(t *testing.T) {
	sim := newSevenDaemonFleet(1)
	sim.waitFor(t, convergenceTimeout, sim.converged)
	sim.lastIncarnation = 0 // the next incarnation is lower than the known ones
	sim.start("d4", "a4", "z1", "r1")
	sim.waitFor(t, convergenceTimeout, sim.converged)
}

func TestLeftStateReachesAllMembers(t *testing.T) {
	for victim := range 7 {
		sim := newSevenDaemonFleet(int64(victim))
		sim.waitFor(t, convergenceTimeout, sim.converged)
		n := sim.nodes[fmt.Sprintf("a%d", victim)]
		n.view.Update(sim.now, func(self *pb.Member) { self.State = pb.MemberState_MEMBER_STATE_LEFT })
		sim.send(n, n.view.Flush(sim.now))
		delete(sim.nodes, n.self.PeerAddress)
		sim.waitFor(t, 2*time.Second, sim.converged)
		for _, other := range sim.nodes {
			require.Equal(t, pb.MemberState_MEMBER_STATE_LEFT, other.view.Get(n.self.Id).Member.State)
		}
		sim.run(LeftRetention + 10*time.Second)
		for _, other := range sim.nodes {
			require.Nil(t, other.view.Get(n.self.Id))
		}
	}
}

// Other regions have to suspect a dead daemon within 10 s, from the reports of its region,
// instead of after CrossRegionSuspectTimeout.
func TestDeadDaemonIsSuspectedInOtherRegions(t *testing.T) {
	template := newSimulation(1)
	template.startFleet(2, 2, 3)
	for i, address := range template.addresses() {
		sim := newSimulation(int64(i))
		sim.startFleet(2, 2, 3)
		sim.waitFor(t, convergenceTimeout, sim.converged)
		sim.run(20 * time.Second)
		delete(sim.nodes, address)
		t.Logf("%s: %v", address, sim.waitFor(t, 10*time.Second, sim.converged))
	}
}
