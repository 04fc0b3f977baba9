package member

import (
	"cmp"
	"fmt"
	"math/rand"
	"slices"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

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

// longestDelay is how much later than others a message may arrive in a lossy network.
const longestDelay = 4 * time.Second

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
	var places []Endpoint
	for address, n := range w.nodes {
		places = append(places, Endpoint{Address: address, Zone: n.self.Zone})
	}
	slices.SortFunc(places, func(a, b Endpoint) int { return cmp.Compare(a.Address, b.Address) })
	for _, n := range w.nodes {
		n.view.SetEndpoints(places)
	}
}

func (w *world) send(from *node, out []OutboundMessage) {
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
				delay += time.Duration(w.random.Int63n(int64(longestDelay)))
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
		n.view.HandleHeartbeat(w.now, d.from, d.incarnation, body.Heartbeat)
	case *pb.Envelope_ZoneReports:
		w.send(n, n.view.HandleZoneReports(w.now, d.from, d.incarnation, body.ZoneReports))
	case *pb.Envelope_ZoneRequest:
		w.send(n, n.view.HandleZoneRequest(w.now, d.from, body.ZoneRequest))
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
