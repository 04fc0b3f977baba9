package exchange

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/filbertrill/filbertrill/internal/exchange/pb"
	"github.com/filbertrill/filbertrill/internal/retry"
	"github.com/filbertrill/filbertrill/internal/serverlimit"
)

// testBudget has the slack and the window of the users' sheet. Its slack bounds the retries of a fleet without requests.
var testBudget = retry.WindowOptions{Ratio: 0.2, Slack: 54, Window: 10 * time.Second}

// budgets are the retry budgets of a fleet, which takes all that it may.
type budgets struct {
	windows map[*node]*retry.Window
	taken   int
}

// take takes what the nodes may at the time.
func (b *budgets) take(nodes []*node, now time.Time) {
	for _, n := range nodes {
		if b.windows[n] == nil {
			b.windows[n] = retry.NewWindow(testBudget)
		}
		for b.windows[n].Take(now, n.Shares()) {
			b.taken++
		}
	}
}

// newFleet returns nodes that know the first of each zone, as from seeds.
func newFleet(t *testing.T, daemons, zones int) []*node {
	t.Helper()
	var nodes []*node
	for i := range daemons {
		n := newNode(t, fmt.Sprintf("%s-%03d", zoneName(i%zones), i/zones), zoneName(i%zones))
		t.Cleanup(func() {
			_ = n.conn.Close() // Run may have closed it
			_ = n.listener.Close()
		})
		nodes = append(nodes, n)
	}
	for _, n := range nodes {
		for _, seed := range nodes[:min(3, zones, daemons)] {
			n.AddAddress(seed.member.ControlAddress, "")
		}
	}
	return nodes
}

func zoneName(i int) string { return fmt.Sprintf("z%d", i+1) }

// watchShares takes from the budgets until all nodes know each other, and then for another second. It returns the time until
// they do.
func watchShares(t *testing.T, b *budgets, nodes []*node) time.Duration {
	t.Helper()
	started, allKnown := time.Now(), time.Time{}
	for allKnown.IsZero() || time.Since(allKnown) < time.Second {
		require.Less(t, time.Since(started), 8*time.Second, "within one window of the budget")
		b.take(nodes, time.Now())
		known := true
		for _, n := range nodes {
			known = known && n.Shares() == len(nodes)
		}
		if known && allKnown.IsZero() {
			allKnown = time.Now()
		}
		time.Sleep(5 * time.Millisecond)
	}
	return allKnown.Sub(started)
}

// Guards against daemons that use the retry slack of a whole fleet before they know each other.
func TestStartingFleetSharesRetrySlack(t *testing.T) {
	for _, size := range []struct{ daemons, zones int }{{7, 3}, {30, 3}} {
		nodes := newFleet(t, size.daemons, size.zones)
		for _, n := range nodes {
			n.start(t)
		}
		b := &budgets{windows: map[*node]*retry.Window{}}
		known := watchShares(t, b, nodes)
		t.Logf("%d daemons: %d retries of %v, all use their shares after %v", size.daemons, b.taken, testBudget.Slack, known)
		assert.LessOrEqual(t, float64(b.taken), testBudget.Slack, "%d daemons", size.daemons)
	}
}

// Guards against a started daemon that counts its seeds only and uses the shares of the rest of the fleet.
func TestStartedDaemonUsesNoMoreThanItsShare(t *testing.T) {
	nodes := newFleet(t, 16, 2)
	for _, n := range nodes[1:] {
		n.start(t)
	}
	requireAllKnown(t, nodes[1:])
	late := nodes[0]
	most, started := 0.0, time.Now()
	late.start(t)
	for late.FleetSize() < len(nodes) || time.Since(started) < time.Second {
		most = max(most, 1/float64(late.Shares()))
		require.Less(t, time.Since(started), 5*time.Second)
		time.Sleep(time.Millisecond)
	}
	t.Logf("at most 1/%.1f of what %d daemons may use", 1/most, len(nodes))
	assert.LessOrEqual(t, most, 1/float64(len(nodes)))
	require.Eventually(t, func() bool { return late.Shares() == len(nodes) }, 3*settleTime, 10*time.Millisecond)
}

// partedFleet is a fleet, as a full mesh, whose nodes hear those of their own part only. Its time is simulated and nothing is
// sent: a node hears those that know its address.
type partedFleet struct {
	nodes    []*node
	part     map[*node]int // -1 for daemons that have ended
	now      time.Time
	sequence uint64
}

// newPartedFleet returns a fleet that is whole.
func newPartedFleet(t *testing.T, daemons int) *partedFleet {
	t.Helper()
	f := &partedFleet{nodes: newFleet(t, daemons, 3), part: map[*node]int{}, now: time.Now()}
	f.run(2*settleTime, nil)
	return f
}

// divide makes parts of the sizes.
func (f *partedFleet) divide(sizes []int) {
	i := 0
	for part, size := range sizes {
		for range size {
			f.part[f.nodes[i]] = part
			i++
		}
	}
}

func sum(sizes []int) (total int) {
	for _, size := range sizes {
		total += size
	}
	return total
}

// run lets the time pass, and the nodes take from the budgets unless they are nil.
func (f *partedFleet) run(d time.Duration, b *budgets) {
	const step = 200 * time.Millisecond
	for end := f.now.Add(d); ; f.now = f.now.Add(step) {
		f.sequence++
		var up []*node
		for _, n := range f.nodes {
			if f.part[n] < 0 {
				continue
			}
			up = append(up, n)
			for _, other := range f.nodes {
				if other != n && f.part[other] == f.part[n] && other.knows(n) {
					n.handleState(&pb.State{
						Member: other.member, Incarnation: 1, Sequence: f.sequence, View: &pb.View{}, Members: other.Members(),
					}, f.now)
				}
			}
			n.Exchange.mu.Lock()
			n.expire(f.now)
			n.Exchange.mu.Unlock()
		}
		if b != nil {
			b.take(up, f.now)
		}
		if !f.now.Before(end) {
			return
		}
	}
}

// knows reports whether the node sends its state to the other one.
func (n *node) knows(other *node) bool {
	n.Exchange.mu.Lock()
	defer n.Exchange.mu.Unlock()
	return n.addresses[other.member.ControlAddress] != nil
}

// sharesInUse returns the sum of the shares of all nodes that have not ended.
func (f *partedFleet) sharesInUse() (sum float64) {
	for _, n := range f.nodes {
		if f.part[n] >= 0 {
			sum += 1 / float64(n.Shares())
		}
	}
	return sum
}

// Guards against parts of a fleet that have lost each other and each use the retry slack of all after a minute.
func TestPartsOfFleetDoNotShareAnew(t *testing.T) {
	for _, parts := range [][]int{{5, 5}, {4, 3}, {5, 2}, {6, 1}, {7, 4}, {3, 2, 2}, {1, 1, 1, 1, 1, 1, 1}} {
		f := newPartedFleet(t, sum(parts))
		f.divide(parts)
		f.run(expiryTimeout+5*time.Second, nil)
		b := &budgets{windows: map[*node]*retry.Window{}}
		f.run(testBudget.Window-time.Second, b)
		t.Logf("parts of %v: %d retries of %v, sum of shares %.2f", parts, b.taken, testBudget.Slack, f.sharesInUse())
		assert.LessOrEqual(t, float64(b.taken), testBudget.Slack, "parts of %v", parts)

		clear(f.part)
		f.run(time.Second, nil)
		t.Logf("parts of %v that hear each other again: sum of shares %.2f", parts, f.sharesInUse())
		assert.InDelta(t, 1, f.sharesInUse(), 0.001, "parts of %v that hear each other again", parts)
	}
}

// Guards against parts of a fleet that have lost each other and each use the whole limit of a server after a minute.
func TestPartsOfFleetDivideLimitOfServer(t *testing.T) {
	const (
		server, service = 1, 2
		rate            = 10.0 // requests per second
		window          = 4 * time.Second
		allowed         = 1.5*rate*4 + 5 // requests in window, by the users' bound
	)
	for _, parts := range [][]int{{5, 5}, {5, 2}, {7, 4}, {3, 2, 2}} {
		f := newPartedFleet(t, sum(parts))
		f.divide(parts)
		f.run(expiryTimeout+5*time.Second, nil)
		limiters := map[*node]*serverlimit.Limiter{}
		for _, n := range f.nodes {
			l := serverlimit.New(serverlimit.Options{ID: n.member.Id, Zone: n.member.Zone, Daemons: n.Shares})
			l.SetServers([]serverlimit.Server{{ID: server, Service: service}})
			limiters[n] = l
		}
		var sent []time.Time
		for end := f.now.Add(30 * time.Second); f.now.Before(end); {
			for range 20 { // of 10 ms
				f.now = f.now.Add(10 * time.Millisecond)
				for _, n := range f.nodes {
					l := limiters[n]
					l.RecordNamed(server, rate, f.now)
					l.RecordDemand(service, f.now)
					for l.Allow(server, f.now) {
						l.Take(server)
						sent = append(sent, f.now)
					}
				}
			}
			f.run(0, nil)
			for _, n := range f.nodes {
				for _, other := range f.nodes {
					if other != n && f.part[other] == f.part[n] {
						limiters[n].SetPeer(other.member.Id, limiters[other].Report(f.now), f.now)
					}
				}
			}
		}
		most, first := 0, 0
		for i, at := range sent {
			for at.Sub(sent[first]) > window {
				first++
			}
			most = max(most, i-first+1)
		}
		t.Logf("parts of %v: at most %d requests in %v, %v allowed; %.1f a second of %v", parts, most, window, allowed, float64(len(sent))/30, rate)
		assert.LessOrEqual(t, float64(most), allowed, "parts of %v", parts)
	}
}

// Guards against a daemon that was frozen for longer than addresses are kept and takes itself for the whole fleet.
func TestFrozenDaemonKeepsItsShare(t *testing.T) {
	f := newPartedFleet(t, 7)
	frozen := f.nodes[0]
	f.part[frozen] = -1
	f.run(expiryTimeout+5*time.Second, nil)
	frozen.Exchange.mu.Lock()
	frozen.expire(f.now)
	frozen.Exchange.mu.Unlock()
	assert.Equal(t, 7, frozen.Shares())
}

// Guards against shares of daemons that stay unused for good after these have ended.
func TestSharesOfEndedDaemonsAreUsedAgain(t *testing.T) {
	for _, test := range []struct {
		name   string
		ended  int
		leave  bool
		within time.Duration
	}{
		{"two crash", 2, false, expiryTimeout},
		{"five leave", 5, true, expiryTimeout},
		{"all others leave", 6, true, expiryTimeout},
		{"all others crash", 6, false, lostTimeout},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newPartedFleet(t, 7)
			for _, n := range f.nodes[:test.ended] {
				if test.leave {
					n.member = &pb.Member{Id: n.member.Id, Zone: n.member.Zone, ControlAddress: n.member.ControlAddress, Draining: true}
				}
			}
			f.run(2*time.Second, nil)
			for _, n := range f.nodes[:test.ended] {
				f.part[n] = -1
			}
			f.run(test.within+time.Second, nil)
			assert.InDelta(t, 1, f.sharesInUse(), 0.001)
		})
	}
}

// Guards against a daemon without peers that is held back for good, and against one that takes itself for alone before it has
// looked.
func TestDaemonWithoutPeersUsesShareOnceRegistryIsRead(t *testing.T) {
	f := newPartedFleet(t, 1)
	alone := f.nodes[0]
	assert.Equal(t, 1, alone.Shares(), "there are no seeds")

	f = &partedFleet{nodes: newFleet(t, 3, 3)[:1], part: map[*node]int{}, now: time.Now()}
	alone = f.nodes[0]
	f.run(expiryTimeout/2, nil)
	assert.Equal(t, maxAddresses, alone.Shares(), "other daemons may be cut off")
	alone.SetRegistryRead()
	f.run(time.Second, nil)
	assert.Equal(t, 3, alone.Shares(), "the seeds may be cut off")
	f.run(lostTimeout, nil)
	assert.Equal(t, 1, alone.Shares())
}

// Guards against daemons of large zones, which hear their aggregators only, that are held back for good or count themselves twice.
func TestDaemonOfLargeZoneUsesItsShare(t *testing.T) {
	nodes := newFleet(t, 3, 1)
	a, b := nodes[2], nodes[0]
	now := time.Now()
	members := []*pb.Member{nodes[0].member, nodes[1].member, a.member}
	a.handleOwnZone(&pb.Zone{Zone: a.member.Zone, Delegate: b.member, Incarnation: 1, Sequence: 1, Members: members, View: &pb.View{}}, now)
	a.Exchange.mu.Lock()
	a.settle(now.Add(settleTime + time.Second))
	a.Exchange.mu.Unlock()
	assert.Equal(t, 3, a.Shares())
}
