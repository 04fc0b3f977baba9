package member

import (
	"cmp"
	"fmt"
	"math/rand"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/filbertrill/filbertrill/internal/peer/pb"
)

const testBeat = 500 * time.Millisecond

// node is a daemon of the simulated fleet.
type node struct {
	view   *View
	self   *pb.Member
	frozen bool
	inbox  []delivery // what arrived while frozen
	next   time.Time
}

type delivery struct {
	at          time.Time
	from        string
	incarnation uint64
	to          string // address
	message     *pb.Envelope
}

// world runs views in virtual time over a network that loses, repeats, delays and reorders.
type world struct {
	now     time.Time
	random  *rand.Rand
	nodes   map[string]*node // by address
	queue   []delivery
	side    map[string]int // data centres in different parts do not hear each other
	lossy   bool
	started uint64
	bytes   int
}

func newWorld(seed int64) *world {
	return &world{
		now:    time.Unix(1000, 0),
		random: rand.New(rand.NewSource(seed)),
		nodes:  map[string]*node{},
		side:   map[string]int{},
	}
}

func (w *world) start(id, address, zone, region string) {
	w.started++
	self := &pb.Member{
		Id: id, Incarnation: w.started, PeerAddress: address, ClientAddress: "c" + address,
		Zone: zone, Region: region, State: pb.MemberState_MEMBER_STATE_LIVE,
	}
	phase := time.Duration(w.random.Int63n(int64(testBeat)))
	w.nodes[address] = &node{view: NewView(self, w.now), self: self, next: w.now.Add(phase)}
	w.list()
}

// list gives every daemon the platform's list.
func (w *world) list() {
	var places []Place
	for address, n := range w.nodes {
		places = append(places, Place{Address: address, Zone: n.self.Zone})
	}
	slices.SortFunc(places, func(a, b Place) int { return cmp.Compare(a.Address, b.Address) })
	for _, n := range w.nodes {
		n.view.SetPlaces(places)
	}
}

func (w *world) send(from *node, out []Send) {
	for _, s := range out {
		copies := 1
		delay := time.Duration(1+w.random.Intn(10)) * time.Millisecond
		if w.lossy {
			switch w.random.Intn(10) {
			case 0, 1:
				copies = 0
			case 2:
				copies = 2
			case 3:
				delay += time.Duration(w.random.Intn(4000)) * time.Millisecond
			}
		}
		w.bytes += proto.Size(s.Message)
		for range copies {
			w.queue = append(w.queue, delivery{
				at: w.now.Add(delay), from: from.self.Id, incarnation: from.self.Incarnation,
				to: s.Address, message: proto.Clone(s.Message).(*pb.Envelope),
			})
		}
	}
}

func (w *world) deliver(d delivery) {
	n := w.nodes[d.to]
	if n == nil {
		return
	}
	if n.frozen {
		n.inbox = append(n.inbox, d)
		return
	}
	switch body := d.message.Body.(type) {
	case *pb.Envelope_Heartbeat:
		n.view.Heartbeat(w.now, d.from, d.incarnation, body.Heartbeat)
	case *pb.Envelope_ZoneReports:
		w.send(n, n.view.Reports(w.now, d.from, d.incarnation, body.ZoneReports))
	case *pb.Envelope_ZoneRequest:
		w.send(n, n.view.Request(w.now, d.from, body.ZoneRequest))
	}
}

// run advances the time in steps of 10 ms.
func (w *world) run(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.now = w.now.Add(10 * time.Millisecond)
		due := w.queue
		w.queue = nil
		for _, m := range due {
			if m.at.After(w.now) {
				w.queue = append(w.queue, m)
			} else if w.connected(m) {
				w.deliver(m)
			}
		}
		for _, address := range w.addresses() {
			w.step(w.nodes[address])
		}
	}
}

func (w *world) connected(m delivery) bool {
	to := w.nodes[m.to]
	for _, n := range w.nodes {
		if n.self.Id == m.from && to != nil && w.side[n.self.Zone] != w.side[to.self.Zone] {
			return false
		}
	}
	return true
}

func (w *world) step(n *node) {
	if n.frozen {
		return
	}
	if !w.now.Before(n.next) {
		n.next = w.now.Add(testBeat)
		w.send(n, n.view.Tick(w.now))
	} else if n.view.Urgent() && w.random.Intn(5) == 0 {
		w.send(n, n.view.Flush(w.now))
	}
}

func (w *world) addresses() []string {
	var out []string
	for address := range w.nodes {
		out = append(out, address)
	}
	slices.Sort(out)
	return out
}

func (w *world) thaw(n *node) {
	n.frozen = false
	inbox := n.inbox
	n.inbox = nil
	for _, d := range inbox {
		w.deliver(d)
	}
}

// running lists the daemons that run, as "id/incarnation".
func (w *world) running() []string {
	var out []string
	for _, n := range w.nodes {
		if !n.frozen {
			out = append(out, fmt.Sprintf("%s/%d", n.self.Id, n.self.Incarnation))
		}
	}
	slices.Sort(out)
	return out
}

func (w *world) seen(n *node) []string {
	var out []string
	for _, m := range n.view.Live(w.now) {
		out = append(out, fmt.Sprintf("%s/%d", m.Id, m.Incarnation))
	}
	slices.Sort(out)
	return out
}

// agreed reports whether every running daemon sees exactly the running ones.
func (w *world) agreed() bool {
	want := w.running()
	for _, n := range w.nodes {
		if !n.frozen && !(slices.Equal(want, w.seen(n)) && n.view.Ready(w.now)) {
			return false
		}
	}
	return true
}

// await runs until done, and returns how long it took; it fails after the limit.
func (w *world) await(t require.TestingT, limit time.Duration, done func() bool) time.Duration {
	began := w.now
	for !done() {
		if w.now.Sub(began) > limit {
			for _, a := range w.addresses() {
				n := w.nodes[a]
				t.Errorf("%s frozen %v ready %v sees %v", n.self.Id, n.frozen, n.view.Ready(w.now), w.seen(n))
			}
			require.FailNow(t, "the views did not agree", "want %v after %v", w.running(), limit)
		}
		w.run(50 * time.Millisecond)
	}
	return w.now.Sub(began)
}

// startFleet starts daemons in data centres named after their regions.
func (w *world) startFleet(regions, zones, members int) {
	for r := range regions {
		for z := range zones {
			for m := range members {
				name := fmt.Sprintf("d%d-%d-%d", r, z, m)
				w.start(name, "a"+name, fmt.Sprintf("z%d-%d", r, z), fmt.Sprintf("r%d", r))
			}
		}
	}
}

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
		w.run(ForgetAfter + time.Second)
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
	w.run(ForgetAfter + time.Second)
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
		w.run(LeftFor + 10*time.Second)
		for _, other := range w.nodes {
			require.Nil(t, other.view.Get(n.self.Id))
		}
	}
}
