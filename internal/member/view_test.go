package member

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/filbertrill/filbertrill/internal/peer/pb"
)

// agreeLimit is how soon views agree once the network works: the suspicion of a far
// data centre is the longest wait.
const agreeLimit = 60 * time.Second

func TestViewsConvergeAfterAnyFailures(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.Int64().Draw(t, "seed"))
		w.startFleet(rapid.IntRange(1, 2).Draw(t, "regions"), rapid.IntRange(1, 3).Draw(t, "zones"), rapid.IntRange(1, 3).Draw(t, "members"))
		w.await(t, agreeLimit, w.agreed)
		for range rapid.IntRange(1, 8).Draw(t, "failures") {
			w.fail(t)
			w.run(time.Duration(rapid.IntRange(0, 12000).Draw(t, "pause")) * time.Millisecond)
		}
		w.lossy = false
		w.side = map[string]int{}
		for _, n := range w.nodes {
			w.thaw(n)
		}
		w.await(t, agreeLimit, w.agreed)
		w.checkOffsets(t)
		// The last message of a dead daemon may still be on its way when the others agree.
		w.run(longestDelay + EvictAfter + time.Second)
		for _, n := range w.nodes {
			require.Len(t, n.view.All(), len(w.nodes), "the dead are forgotten")
		}
	})
}

func (w *world) fail(t *rapid.T) {
	addresses := w.addresses()
	address := rapid.SampledFrom(addresses).Draw(t, "daemon")
	n := w.nodes[address]
	switch rapid.IntRange(0, 7).Draw(t, "failure") {
	case 0:
		w.start(n.self.Id, address, n.self.Zone, n.self.Region) // restarted at once
	case 1:
		w.start(fmt.Sprintf("new%d", w.started), address, n.self.Zone, n.self.Region) // replaced
	case 2:
		if len(addresses) > 1 {
			delete(w.nodes, address)
		}
	case 3:
		n.frozen = true
	case 4:
		w.thaw(n)
	case 5:
		w.side[n.self.Zone] = rapid.IntRange(0, 1).Draw(t, "side")
	case 6:
		w.lossy = !w.lossy
	case 7:
		n.view.Update(w.now, func(self *pb.Member) { self.AppliedOffset++ })
	}
}

// checkOffsets has every daemon apply an offset, which all have to see.
func (w *world) checkOffsets(t require.TestingT) {
	for _, n := range w.nodes {
		n.view.Update(w.now, func(self *pb.Member) { self.AppliedOffset = 100 })
	}
	w.await(t, 10*time.Second, func() bool {
		for _, n := range w.nodes {
			for _, m := range n.view.Live(w.now) {
				if m.AppliedOffset != 100 {
					return false
				}
			}
		}
		return true
	})
}

// Today's fleets have 7 daemons in 3 data centres.
func todaysFleet(seed int64) *world {
	w := newWorld(seed)
	for i := range 7 {
		zone := fmt.Sprintf("z%d", i%3)
		w.start(fmt.Sprintf("d%d", i), fmt.Sprintf("a%d", i), zone, "r1")
	}
	return w
}

func TestDeadDaemonIsFoundInSeconds(t *testing.T) {
	for victim := range 7 {
		w := todaysFleet(int64(victim))
		w.await(t, agreeLimit, w.agreed)
		w.run(10 * time.Second)
		delete(w.nodes, fmt.Sprintf("a%d", victim))
		took := w.await(t, 6*time.Second, w.agreed)
		t.Logf("d%d: %v", victim, took)
	}
}

// No single death makes a daemon suspect another one that lives.
func TestDeathOfADelegateRaisesNoFalseSuspicion(t *testing.T) {
	for victim := range 7 {
		w := todaysFleet(int64(victim))
		w.await(t, agreeLimit, w.agreed)
		w.run(10 * time.Second)
		delete(w.nodes, fmt.Sprintf("a%d", victim))
		want := w.running()
		for range 400 {
			w.run(50 * time.Millisecond)
			for _, n := range w.nodes {
				for _, id := range want {
					require.Contains(t, w.seen(n), id, "%s after the death of d%d", n.self.Id, victim)
				}
			}
		}
	}
}

func TestOffsetsAreFresh(t *testing.T) {
	w := todaysFleet(1)
	w.await(t, agreeLimit, w.agreed)
	w.run(10 * time.Second)
	for i := int64(1); i <= 20; i++ {
		w.nodes["a3"].view.Update(w.now, func(self *pb.Member) { self.AppliedOffset = i })
		w.await(t, time.Second, func() bool {
			for _, n := range w.nodes {
				if n.view.Get("d3").Member.AppliedOffset != i {
					return false
				}
			}
			return true
		})
	}
}

func TestPausedDaemonTakesNoRoleBeforeItsPeersAnswer(t *testing.T) {
	for victim := range 7 {
		w := todaysFleet(int64(victim))
		w.await(t, agreeLimit, w.agreed)
		w.run(10 * time.Second)
		n := w.nodes[fmt.Sprintf("a%d", victim)]
		n.frozen = true
		w.run(20 * time.Second)
		require.False(t, n.view.Ready(w.now), "before any of its timers ran")
		require.Len(t, n.view.Live(w.now), 7, "a pause is no evidence against peers")
		thawed := w.now
		w.thaw(n)
		require.False(t, n.view.Ready(w.now), "messages that waited for it are no answer")
		w.await(t, resyncGrace, w.agreed)
		require.Less(t, w.now.Sub(thawed), resyncGrace, "its peers answered before the time of grace was over")
	}
}

func TestRestartsLeaveNothingBehind(t *testing.T) {
	w := todaysFleet(1)
	for i := range 200 {
		address := fmt.Sprintf("a%d", i%7)
		n := w.nodes[address]
		w.start(fmt.Sprintf("r%d", i), address, n.self.Zone, n.self.Region)
		w.run(2 * time.Second)
	}
	w.await(t, agreeLimit, w.agreed)
	w.run(EvictAfter + time.Second)
	for _, n := range w.nodes {
		require.Len(t, n.view.members, 7)
		require.LessOrEqual(t, len(n.view.peers), 6)
		require.LessOrEqual(t, len(n.view.reports), 2)
	}
}

func TestClockSetBackBetweenIncarnations(t *testing.T) {
	w := todaysFleet(1)
	w.await(t, agreeLimit, w.agreed)
	w.started = 0 // the next incarnation is below those known
	w.start("d4", "a4", "z1", "r1")
	w.await(t, agreeLimit, w.agreed)
}

func TestLeftMemberIsKnownAsLeft(t *testing.T) {
	for victim := range 7 {
		w := todaysFleet(int64(victim))
		w.await(t, agreeLimit, w.agreed)
		n := w.nodes[fmt.Sprintf("a%d", victim)]
		n.view.Update(w.now, func(self *pb.Member) { self.State = pb.MemberState_MEMBER_STATE_LEFT })
		w.send(n, n.view.Flush(w.now))
		delete(w.nodes, n.self.PeerAddress)
		w.await(t, 2*time.Second, w.agreed)
		for _, other := range w.nodes {
			require.Equal(t, pb.MemberState_MEMBER_STATE_LEFT, other.view.Get(n.self.Id).Member.State)
		}
		w.run(LeftRetention + 10*time.Second)
		for _, other := range w.nodes {
			require.Nil(t, other.view.Get(n.self.Id))
		}
	}
}

// News of a death crosses regions without waiting for the silence of a whole region.
func TestDeadDaemonIsFoundInOtherRegions(t *testing.T) {
	probe := newWorld(1)
	probe.startFleet(2, 2, 3)
	for i, address := range probe.addresses() {
		w := newWorld(int64(i))
		w.startFleet(2, 2, 3)
		w.await(t, agreeLimit, w.agreed)
		w.run(20 * time.Second)
		delete(w.nodes, address)
		t.Logf("%s: %v", address, w.await(t, 10*time.Second, w.agreed))
	}
}
