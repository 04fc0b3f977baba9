package exchange

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/filbertrill/filbertrill/internal/exchange/pb"
)

// startLargeZone starts a zone of more than maxDirectZone daemons that know the first one, and two daemons of another zone.
func startLargeZone(t *testing.T) (zone, others []*node) {
	t.Helper()
	for i := range maxDirectZone + 10 {
		zone = append(zone, newNode(t, fmt.Sprintf("a%02d", i), "a"))
	}
	others = []*node{newNode(t, "b0", "b"), newNode(t, "b1", "b")}
	for _, n := range append(zone[1:], others...) {
		n.AddAddress(zone[0].member.ControlAddress, "")
	}
	for _, n := range append(zone, others...) {
		n.start(t)
	}
	return zone, others
}

// requireSums waits until each daemon of the zone knows the demand of all other ones of it, each 10, and no more.
func requireSums(t *testing.T, zone []*node, timeout time.Duration) {
	t.Helper()
	want := uint64(10 * (len(zone) - 1))
	sound := func() bool {
		return !slices.ContainsFunc(demandsOf(zone), func(demand uint64) bool { return demand != want })
	}
	for end := time.Now().Add(timeout); time.Now().Before(end) && !sound(); {
		time.Sleep(20 * time.Millisecond)
	}
	require.True(t, sound(), "demands %v, %d wanted\n%s", demandsOf(zone), want, knowledge(zone))
}

func demandsOf(zone []*node) (demands []uint64) {
	for _, n := range zone {
		demands = append(demands, n.ownZoneDemand())
	}
	return demands
}

// ownZoneDemand returns the demand of the other daemons of the zone as the node knows it: from a summary, or as an aggregator
// from the states of those that live.
func (n *node) ownZoneDemand() (sum uint64) {
	n.Exchange.mu.Lock()
	self := n.options.Self()
	direct := n.isAggregator(time.Now()) && n.takesDirectViews(self, time.Now())
	live := map[string]bool{}
	for id, p := range n.peers {
		live[id] = p.live && p.state.Member.Zone == self.Zone
	}
	n.Exchange.mu.Unlock()
	if !direct {
		return n.demandFrom(ownZone)
	}
	for id, isLive := range live {
		if isLive {
			sum += n.demandFrom(id)
		}
	}
	return sum
}

// Daemons of a large zone know the load of all others without a state of each, also after the loss of an aggregator, and of
// both at once.
func TestLargeZoneIsSummarized(t *testing.T) {
	zone, others := startLargeZone(t)
	requireSums(t, zone, 60*time.Second)
	last := zone[len(zone)-1]
	last.Exchange.mu.Lock()
	assert.Less(t, len(last.peers), 15, "states are sent to aggregators only")
	last.Exchange.mu.Unlock()
	require.Eventually(t, func() bool { return len(last.Members()) == len(zone)+len(others)-1 }, 60*time.Second, 20*time.Millisecond)
	require.Eventually(t, func() bool { return others[0].demandFrom(ZonePrefix+"a") == uint64(10*len(zone)) }, 60*time.Second, 20*time.Millisecond)
	require.Eventually(t, func() bool { return last.demandFrom(ZonePrefix+"b") == 20 }, 60*time.Second, 20*time.Millisecond)

	zone[0].cancel()
	zone = zone[1:]
	requireSums(t, zone, 60*time.Second)
	zone[0].cancel()
	zone[1].cancel()
	zone = zone[2:]
	requireSums(t, zone, 60*time.Second)
	require.Eventually(t, func() bool { return len(zone[len(zone)-1].Members()) == len(zone)+len(others)-1 }, 60*time.Second, 20*time.Millisecond)
	require.Eventually(t, func() bool { return others[0].demandFrom(ZonePrefix+"a") == uint64(10*len(zone)) }, 60*time.Second, 20*time.Millisecond)
}

// newLargeZoneNode returns a node of the large zone "a" that is not run and has received a summary of the zone from a00.
func newLargeZoneNode(t *testing.T, id string, now time.Time) *node {
	t.Helper()
	n := newNode(t, id, "a")
	t.Cleanup(func() {
		assert.NoError(t, n.conn.Close())
		assert.NoError(t, n.listener.Close())
	})
	n.handleOwnZone(ownZoneSummaryOf("a00", maxDirectZone+10, 1), now)
	require.EqualValues(t, 10*(maxDirectZone+10), n.ownZoneDemand())
	return n
}

// ownZoneSummaryOf returns a summary of the zone "a" by the delegate that includes so many daemons, each with a demand of 10.
func ownZoneSummaryOf(delegate string, daemons int, sequence uint64) *pb.Zone {
	z := &pb.Zone{
		Zone: "a", Delegate: largeZoneMember(delegate), Sequence: sequence,
		View: &pb.View{Accounts: []*pb.AccountUse{{Account: 1, Asked: uint64(10 * daemons)}}},
	}
	for i := range daemons {
		m := largeZoneMember(fmt.Sprintf("a%02d", i))
		z.Members = append(z.Members, m)
		z.Included = append(z.Included, &pb.Included{Member: memberHash(m.Id), Incarnation: 1, Sequence: sequence})
	}
	return z
}

func largeZoneMember(id string) *pb.Member {
	return &pb.Member{Id: id, Zone: "a", ControlAddress: "127.0.1.1:1" + id[1:]}
}

// Guards against a daemon that no longer knows the load of its zone, because one peer that missed its aggregator for a moment has
// asked it.
func TestDaemonAskedByOnePeerStillTakesSummaries(t *testing.T) {
	now := time.Now()
	n := newLargeZoneNode(t, "a90", now)
	n.handleState(&pb.State{
		Member: largeZoneMember("a40"), View: &pb.View{Accounts: []*pb.AccountUse{{Account: 1, Asked: 10}}}, Sequence: 1, ToAggregator: true, WantsSummary: true,
	}, now)
	n.handleOwnZone(ownZoneSummaryOf("a00", maxDirectZone+12, 2), now)
	assert.EqualValues(t, 10*(maxDirectZone+12), n.ownZoneDemand())
	assert.Zero(t, n.demandFrom("a40"), "part of the summary")
}

// Guards against a daemon that knows the load of few others and takes no others for live, after it has asked a daemon as an
// aggregator that no other has asked.
func TestSummaryOfFewDaemonsDoesNotReplaceThatOfTheZone(t *testing.T) {
	now := time.Now()
	n := newLargeZoneNode(t, "a90", now)
	members := len(n.Members())
	n.handleOwnZone(ownZoneSummaryOf("a05", 2, 1), now)
	assert.EqualValues(t, 10*(maxDirectZone+10), n.ownZoneDemand())
	assert.Len(t, n.Members(), members)
	n.handleOwnZone(ownZoneSummaryOf("a01", maxDirectZone, 1), now)
	assert.EqualValues(t, 10*maxDirectZone, n.ownZoneDemand(), "the next aggregator knows most daemons")
	n.handleOwnZone(ownZoneSummaryOf("a05", 2, 2), now.Add(summaryTTL+time.Millisecond))
	assert.EqualValues(t, 20, n.ownZoneDemand(), "nothing else counts")
}

// Guards against a second aggregator that receives no states while daemons before it that were lost are asked again.
func TestLostAggregatorsDontTakeTheTurnOfTheSecond(t *testing.T) {
	const lost, rounds = 3, 40
	now := time.Now()
	n := newLargeZoneNode(t, "a90", now.Add(-maxAggregatorSilence))
	missed := 0
	for round := range rounds {
		at := now.Add(time.Duration(round) * AggregateInterval)
		summary := ownZoneSummaryOf("a03", maxDirectZone+10, uint64(round+1))
		summary.Members = summary.Members[lost:]
		n.handleOwnZone(summary, at)
		n.Exchange.mu.Lock()
		targets := n.aggregatorTargets(n.member, at)
		n.Exchange.mu.Unlock()
		isSecond := func(target aggregatorTarget) bool { return target.member.Id == "a04" }
		if !slices.ContainsFunc(targets, isSecond) {
			missed++
		}
		assert.LessOrEqual(t, len(targets), aggregators+lost)
	}
	assert.Zero(t, missed, "of %d rounds", rounds)
}

// A daemon that starts later finds its place in a large zone, also if it knows no daemon but one that is no aggregator.
func TestDaemonJoinsLargeZone(t *testing.T) {
	zone, _ := startLargeZone(t)
	requireSums(t, zone, 60*time.Second)
	late := newNode(t, "a99", "a")
	late.AddAddress(zone[20].member.ControlAddress, "")
	late.start(t)
	requireSums(t, append(zone, late), 60*time.Second)
}

// Guards against daemons of a large zone that read the store themselves, as they expect news more often than summaries come.
func TestDaemonsOfLargeZoneExpectNewsAsOftenAsSummariesCome(t *testing.T) {
	n := newNode(t, "a00", "a")
	for i := range maxDirectZone {
		n.AddAddress(fmt.Sprintf("127.0.1.%d:9", i+1), "a")
	}
	assert.Equal(t, n.sendInterval(), n.ReceiveInterval())
	n.AddAddress("127.0.1.200:9", "a")
	assert.Equal(t, MaxSummaryInterval, n.ReceiveInterval())
}

// The part of a daemon is taken out of a summary, whatever that says.
func TestSubtractView(t *testing.T) {
	own := &pb.View{
		Servers:  []*pb.ServerLoad{{Server: 1, Running: 2, PendingTokens: 50}},
		Accounts: []*pb.AccountUse{{Account: 7, Asked: 100, Admitted: 80, Quarters: []uint64{20, 60}}},
		Demands:  []*pb.ServiceDemand{{Service: 3, PerSecond: 4}}, Daemons: 1,
	}
	other := &pb.View{
		Servers:  []*pb.ServerLoad{{Server: 1, Running: 5}, {Server: 2, Running: 1}},
		Accounts: []*pb.AccountUse{{Account: 7, Asked: 10, Admitted: 5, Quarters: []uint64{1, 2}}, {Account: 8, Asked: 3}},
		Demands:  []*pb.ServiceDemand{{Service: 3, PerSecond: 2}}, Daemons: 1, ConfigVersion: 9,
	}
	rest := subtractView(MergeViews([]*pb.View{own, other}), own)
	for _, l := range rest.Servers {
		assert.Equal(t, map[uint64]uint32{1: 5, 2: 1}[l.Server], l.Running)
		assert.Zero(t, l.PendingTokens)
	}
	for _, usage := range rest.Accounts {
		if usage.Account == 7 {
			assert.Equal(t, []uint64{10, 5, 1, 2}, append([]uint64{usage.Asked, usage.Admitted}, usage.Quarters...))
		}
	}
	assert.InDelta(t, 2, rest.Demands[0].PerSecond, 1e-6)
	assert.EqualValues(t, 9, rest.ConfigVersion)
	assert.EqualValues(t, 1, rest.Daemons)
	assert.Zero(t, subtractView(own, MergeViews([]*pb.View{own, other})).Servers[0].Running, "never below 0")
}
