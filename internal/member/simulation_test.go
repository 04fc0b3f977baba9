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

const testTickInterval = 500 * time.Millisecond

// node is a daemon of the simulated fleet.
type node struct {
	view     *View
	self     *pb.Member
	frozen   bool
	inbox    []delivery // messages that arrived while frozen
	nextTick time.Time
}

type delivery struct {
	arrival     time.Time
	from        string
	incarnation uint64
	to          string // address
	message     *pb.Envelope
}

// simulation runs views in virtual time over a network that can lose, duplicate, delay and
// reorder messages.
type simulation struct {
	now             time.Time
	random          *rand.Rand
	nodes           map[string]*node // by address
	queue           []delivery
	partition       map[string]int // by data centre; those with different values are disconnected
	lossy           bool
	lastIncarnation uint64
	bytesSent       int
}

// maxDelay is the maximum extra delay of a message in a lossy network.
const maxDelay = 4 * time.Second

func newSimulation(seed int64) *simulation {
	return &simulation{
		now:       time.Unix(1000, 0),
		random:    rand.New(rand.NewSource(seed)),
		nodes:     map[string]*node{},
		partition: map[string]int{},
	}
}

func (sim *simulation) start(id, address, zone, region string) {
	sim.lastIncarnation++
	self := &pb.Member{
		Id: id, Incarnation: sim.lastIncarnation, PeerAddress: address, ClientAddress: "c" + address,
		Zone: zone, Region: region, State: pb.MemberState_MEMBER_STATE_LIVE,
	}
	phase := time.Duration(sim.random.Int63n(int64(testTickInterval)))
	sim.nodes[address] = &node{view: NewView(self, sim.now), self: self, nextTick: sim.now.Add(phase)}
	sim.distributeEndpoints()
}

// distributeEndpoints sets the endpoints of all daemons in every view.
func (sim *simulation) distributeEndpoints() {
	var endpoints []Endpoint
	for address, n := range sim.nodes {
		endpoints = append(endpoints, Endpoint{Address: address, Zone: n.self.Zone})
	}
	slices.SortFunc(endpoints, func(a, b Endpoint) int { return cmp.Compare(a.Address, b.Address) })
	for _, n := range sim.nodes {
		n.view.SetEndpoints(endpoints)
	}
}

func (sim *simulation) send(from *node, out []OutboundMessage) {
	for _, msg := range out {
		copies := 1
		delay := time.Duration(1+sim.random.Intn(10)) * time.Millisecond
		if sim.lossy {
			switch sim.random.Intn(10) {
			case 0, 1:
				copies = 0
			case 2:
				copies = 2
			case 3:
				delay += time.Duration(sim.random.Int63n(int64(maxDelay)))
			}
		}
		sim.bytesSent += proto.Size(msg.Message)
		for range copies {
			sim.queue = append(sim.queue, delivery{
				arrival: sim.now.Add(delay), from: from.self.Id, incarnation: from.self.Incarnation,
				to: msg.Address, message: proto.Clone(msg.Message).(*pb.Envelope),
			})
		}
	}
}

func (sim *simulation) deliver(d delivery) {
	n := sim.nodes[d.to]
	if n == nil {
		return
	}
	if n.frozen {
		n.inbox = append(n.inbox, d)
		return
	}
	switch body := d.message.Body.(type) {
	case *pb.Envelope_Heartbeat:
		n.view.HandleHeartbeat(sim.now, d.from, d.incarnation, body.Heartbeat)
	case *pb.Envelope_ZoneReports:
		sim.send(n, n.view.HandleZoneReports(sim.now, d.from, d.incarnation, body.ZoneReports))
	case *pb.Envelope_ZoneRequest:
		sim.send(n, n.view.HandleZoneRequest(sim.now, d.from, body.ZoneRequest))
	}
}

// run advances the virtual time by d in steps of 10 ms.
func (sim *simulation) run(d time.Duration) {
	for end := sim.now.Add(d); sim.now.Before(end); {
		sim.now = sim.now.Add(10 * time.Millisecond)
		due := sim.queue
		sim.queue = nil
		for _, m := range due {
			if m.arrival.After(sim.now) {
				sim.queue = append(sim.queue, m)
			} else if sim.connected(m) {
				sim.deliver(m)
			}
		}
		for _, address := range sim.addresses() {
			sim.runTimers(sim.nodes[address])
		}
	}
}

func (sim *simulation) connected(m delivery) bool {
	to := sim.nodes[m.to]
	for _, n := range sim.nodes {
		if n.self.Id == m.from && to != nil && sim.partition[n.self.Zone] != sim.partition[to.self.Zone] {
			return false
		}
	}
	return true
}

func (sim *simulation) runTimers(n *node) {
	if n.frozen {
		return
	}
	if !sim.now.Before(n.nextTick) {
		n.nextTick = sim.now.Add(testTickInterval)
		sim.send(n, n.view.Tick(sim.now))
	} else if n.view.Urgent() && sim.random.Intn(5) == 0 {
		sim.send(n, n.view.Flush(sim.now))
	}
}

func (sim *simulation) addresses() []string {
	var out []string
	for address := range sim.nodes {
		out = append(out, address)
	}
	slices.Sort(out)
	return out
}

func (sim *simulation) thaw(n *node) {
	n.frozen = false
	inbox := n.inbox
	n.inbox = nil
	for _, d := range inbox {
		sim.deliver(d)
	}
}

// runningMembers returns the daemons that are not frozen, as "id/incarnation", sorted.
func (sim *simulation) runningMembers() []string {
	var out []string
	for _, n := range sim.nodes {
		if !n.frozen {
			out = append(out, fmt.Sprintf("%s/%d", n.self.Id, n.self.Incarnation))
		}
	}
	slices.Sort(out)
	return out
}

func (sim *simulation) liveMembers(n *node) []string {
	var out []string
	for _, m := range n.view.Live(sim.now) {
		out = append(out, fmt.Sprintf("%s/%d", m.Id, m.Incarnation))
	}
	slices.Sort(out)
	return out
}

// converged reports whether every running daemon is ready and its live members are exactly
// the running daemons.
func (sim *simulation) converged() bool {
	want := sim.runningMembers()
	for _, n := range sim.nodes {
		if !n.frozen && !(slices.Equal(want, sim.liveMembers(n)) && n.view.Ready(sim.now)) {
			return false
		}
	}
	return true
}

// waitFor runs the simulation until done returns true, and returns the virtual time that
// passed. It fails the test after the timeout.
func (sim *simulation) waitFor(t require.TestingT, timeout time.Duration, done func() bool) time.Duration {
	start := sim.now
	for !done() {
		if sim.now.Sub(start) > timeout {
			for _, address := range sim.addresses() {
				n := sim.nodes[address]
				t.Errorf("%s frozen %v ready %v sees %v", n.self.Id, n.frozen, n.view.Ready(sim.now), sim.liveMembers(n))
			}
			require.FailNow(t, "the views did not agree", "want %v after %v", sim.runningMembers(), timeout)
		}
		sim.run(50 * time.Millisecond)
	}
	return sim.now.Sub(start)
}

// startFleet starts the given number of daemons per data centre, and data centres per region.
func (sim *simulation) startFleet(regions, zones, members int) {
	for r := range regions {
		for z := range zones {
			for m := range members {
				name := fmt.Sprintf("d%d-%d-%d", r, z, m)
				sim.start(name, "a"+name, fmt.Sprintf("z%d-%d", r, z), fmt.Sprintf("r%d", r))
			}
		}
	}
}
