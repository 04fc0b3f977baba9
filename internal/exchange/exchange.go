// Package exchange lets the daemons of a fleet know each other's state. Each daemon sends
// its whole current state in a datagram to the others, several times a second. A datagram
// that is lost, late or repeated is harmless: the next one replaces it. A connection would
// hold later states back behind a lost one, or go silent for good. What is too large for a
// datagram is pulled from a peer by drpc.
//
// In a small fleet all daemons send to all. In a larger one they send within their zone,
// and one delegate for each zone sends the sum of its zone to the delegates of the others,
// which pass it on within theirs.
package exchange

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"github.com/filbertrill/filbertrill/internal/exchange/pb"
)

const (
	// minInterval is the time between two states in a small fleet.
	minSendInterval = 50 * time.Millisecond
	// intervalPerPeer is the time between two states for each daemon that receives them, in a
	// small fleet. largePerPeer is the same in a larger one, whose states name more servers:
	// with 6 ms daemons of 0.19 cores spent so much on states of 112 servers, 62 us each
	// (BenchmarkState), that callers of the whole fleet waited (docs/design/platform.md).
	meshIntervalPerPeer = 6 * time.Millisecond
	zoneIntervalPerPeer = 12 * time.Millisecond
	// maxInterval bounds the time: loads of servers change within some hundred ms.
	maxSendInterval = 250 * time.Millisecond
	// suspectAfter is the silence, in intervals, after which a peer is left out, and
	// minSuspect the least such time.
	failureIntervals  = 10
	minFailureTimeout = 1200 * time.Millisecond
	// forgetAfter is the silence after which nothing more is sent to an address.
	expiryTimeout = 60 * time.Second
	// meshLimit is the largest fleet in which all daemons send to all.
	maxMeshSize = 12
	// introduceEvery is the time between two lists of members in a daemon's states.
	memberListInterval = time.Second
	// delegateGuesses is the number of daemons of a zone without a known delegate that
	// are sent to.
	maxDelegateCandidates = 3
	// maxDatagram is the largest datagram that is sent, in bytes.
	maxDatagramBytes = 60 << 10
)

// Options are the settings of an Exchange.
type Options struct {
	Self func() *pb.Member
	// Address is the control address, ip:port, of datagrams and pulls.
	ControlAddress string
	// View returns what this daemon knows and has under way.
	View func() *pb.View
	// Received is called with each newer view: of a peer, or of a whole zone.
	OnView func(from string, source *pb.Member, v *pb.View)
	// Records returns what peers pull.
	Records func() *pb.Records
	// Prompts returns which engines keep which prompts.
	CachedParts func() *pb.Prompts
	Logger      *slog.Logger
}

// Exchange sends and receives the states of daemons. Its methods are safe for
// concurrent use.
type Exchange struct {
	options     Options
	incarnation uint64
	conn        *net.UDPConn
	listener    net.Listener
	sendNow     chan struct{}

	mu             sync.Mutex
	sequence       uint64
	lastMemberList time.Time
	lastExpire     time.Time        // last call of expire
	peers          map[string]*peer // by id
	zones          map[string]*zone // other zones, by name
	addresses      map[string]*address
}

type peer struct {
	state    *pb.State
	lastSeen time.Time
	live     bool
}

type zone struct {
	*pb.Zone
	lastSeen time.Time
}

// address is a control address that datagrams may be sent to.
type address struct {
	udp      *net.UDPAddr
	zone     string // empty when not known
	lastSeen time.Time
}

// New binds the address.
func New(o Options) (*Exchange, error) {
	udp, err := net.ResolveUDPAddr("udp", o.ControlAddress)
	if err != nil {
		return nil, errors.Wrap(err, "control address")
	}
	conn, err := net.ListenUDP("udp", udp)
	if err != nil {
		return nil, errors.Wrap(err, "listen for peers")
	}
	listener, err := net.Listen("tcp", o.ControlAddress)
	if err != nil {
		_ = conn.Close() // nothing was sent
		return nil, errors.Wrap(err, "listen for pulls")
	}
	return &Exchange{
		options:     o,
		incarnation: uint64(time.Now().UnixNano()),
		conn:        conn,
		listener:    listener,
		sendNow:     make(chan struct{}, 1),
		peers:       make(map[string]*peer),
		zones:       make(map[string]*zone),
		addresses:   make(map[string]*address),
	}, nil
}

// Know adds a control address of another daemon. The zone is empty when not known.
func (x *Exchange) AddAddress(controlAddress, zone string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.addAddress(controlAddress, zone)
}

// know adds an address. The caller holds the lock.
func (x *Exchange) addAddress(controlAddress, zone string) *address {
	if a, ok := x.addresses[controlAddress]; ok {
		if zone != "" {
			a.zone = zone
		}
		return a
	}
	if controlAddress == x.options.ControlAddress || controlAddress == "" {
		return nil
	}
	udp, err := net.ResolveUDPAddr("udp", controlAddress)
	if err != nil {
		x.options.Logger.Warn("Address of a daemon not understood.", "address", controlAddress, "error", err)
		return nil
	}
	a := &address{udp: udp, zone: zone, lastSeen: time.Now()}
	x.addresses[controlAddress] = a
	return a
}

// Run sends and receives until the context ends.
func (x *Exchange) Run(ctx context.Context) error {
	mux := drpcmux.New()
	if err := pb.DRPCRegisterExchange(mux, pullServer{x}); err != nil {
		return errors.Wrap(err, "register pulls")
	}
	go x.receive(ctx)
	go func() {
		if err := drpcserver.New(mux).Serve(ctx, x.listener); err != nil && ctx.Err() == nil {
			x.options.Logger.Error("Pulls are not served.", "error", err)
		}
	}()
	for {
		x.send(time.Now())
		select {
		case <-ctx.Done():
			return x.conn.Close()
		case <-x.sendNow:
		case <-time.After(x.nextSendDelay()):
		}
	}
}

// Wake sends the state now: it has changed in a way that peers must learn soon.
func (x *Exchange) TriggerSend() {
	select {
	case x.sendNow <- struct{}{}:
	default:
	}
}

// Members returns the other daemons that are live.
func (x *Exchange) Members() []*pb.Member {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.members("")
}

// Size returns the number of daemons of the fleet, those that have been silent for less
// than a minute included.
func (x *Exchange) FleetSize() int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.fleetSize()
}

func (x *Exchange) fleetSize() int {
	known := make(map[string]bool, len(x.addresses))
	for controlAddress := range x.addresses {
		known[controlAddress] = true
	}
	for _, z := range x.zones {
		for _, m := range z.Members {
			known[m.ControlAddress] = true
		}
	}
	return len(known) + 1
}

// members returns the live daemons of the zone, or of all zones. The caller holds the lock.
func (x *Exchange) members(zone string) []*pb.Member {
	var out []*pb.Member
	seen := make(map[string]bool)
	for id, p := range x.peers {
		if p.live && (zone == "" || p.state.Member.Zone == zone) {
			out = append(out, p.state.Member)
			seen[id] = true
		}
	}
	for name, z := range x.zones {
		if zone != "" && zone != name {
			continue
		}
		for _, m := range z.Members {
			if !seen[m.Id] {
				out = append(out, m)
			}
		}
	}
	sortMembers(out)
	return out
}

// mesh reports whether all daemons send to all. The caller holds the lock.
func (x *Exchange) isMesh() bool { return x.fleetSize() <= maxMeshSize }

// interval returns the time between two states. The caller holds the lock.
func (x *Exchange) sendInterval() time.Duration {
	targets := 0
	self := x.options.Self().Zone
	for _, a := range x.addresses {
		if a.zone == self || a.zone == "" || x.isMesh() {
			targets++
		}
	}
	return sendIntervalFor(targets, x.isMesh())
}

// intervalFor returns the time between two states that go to so many daemons.
func sendIntervalFor(targets int, mesh bool) time.Duration {
	if mesh {
		return max(minSendInterval, time.Duration(targets)*meshIntervalPerPeer)
	}
	return min(max(minSendInterval, time.Duration(targets)*zoneIntervalPerPeer), maxSendInterval)
}

func (x *Exchange) nextSendDelay() time.Duration {
	x.mu.Lock()
	defer x.mu.Unlock()
	interval := x.sendInterval()
	return interval + time.Duration(rand.Int64N(int64(interval/10)))
}

func (x *Exchange) send(now time.Time) {
	self, view := x.options.Self(), x.options.View()
	x.mu.Lock()
	x.expire(now)
	x.sequence++
	state := &pb.State{Member: self, Incarnation: x.incarnation, Sequence: x.sequence, View: view}
	if now.Sub(x.lastMemberList) > memberListInterval {
		x.lastMemberList = now
		state.Members = x.members("")
	}
	stateTargets, zoneTargets := x.targets(self)
	if len(state.Members) > 0 {
		stateTargets = append(stateTargets, x.otherZonePeers(self)...)
	}
	delegate := !x.isMesh() && ZoneRank(self.Id, x.members(self.Zone)) == 0
	var summary *pb.Zone
	if delegate {
		summary = x.summarizeZone(self, view)
		for _, z := range x.zones {
			state.Zones = append(state.Zones, z.Zone)
		}
	}
	x.mu.Unlock()
	x.sendDatagram(&pb.Datagram{State: state}, stateTargets)
	if delegate {
		x.sendDatagram(&pb.Datagram{Zone: summary}, zoneTargets)
	}
}

// targets returns the addresses of daemons that receive the state, and of those of other
// zones that receive the sum of the zone. The caller holds the lock.
func (x *Exchange) targets(self *pb.Member) (stateTargets, zoneTargets []*net.UDPAddr) {
	candidates := make(map[string]int)
	mesh := x.isMesh()
	for controlAddress, a := range x.addresses {
		if mesh || a.zone == "" || a.zone == self.Zone {
			stateTargets = append(stateTargets, a.udp)
			continue
		}
		if z, ok := x.zones[a.zone]; ok {
			if z.Delegate.ControlAddress == controlAddress {
				zoneTargets = append(zoneTargets, a.udp)
			}
			continue
		}
		if candidates[a.zone]++; candidates[a.zone] <= maxDelegateCandidates {
			zoneTargets = append(zoneTargets, a.udp)
		}
	}
	return stateTargets, zoneTargets
}

// strangers returns the addresses of daemons of other zones that send here: they don't know
// this zone yet, and learn of their own from the list of members. The caller holds the lock.
func (x *Exchange) otherZonePeers(self *pb.Member) []*net.UDPAddr {
	if x.isMesh() {
		return nil
	}
	var out []*net.UDPAddr
	for _, p := range x.peers {
		if a, ok := x.addresses[p.state.Member.ControlAddress]; ok && p.live && p.state.Member.Zone != self.Zone {
			out = append(out, a.udp)
		}
	}
	return out
}

// sum returns the state of the whole zone. The caller holds the lock.
func (x *Exchange) summarizeZone(self *pb.Member, view *pb.View) *pb.Zone {
	views, members := []*pb.View{view}, []*pb.Member{self}
	for _, p := range x.peers {
		if p.live && p.state.Member.Zone == self.Zone {
			views = append(views, p.state.View)
			members = append(members, p.state.Member)
		}
	}
	return &pb.Zone{
		Zone: self.Zone, Delegate: self, Incarnation: x.incarnation, Sequence: x.sequence,
		View: MergeViews(views), Members: members,
	}
}

func (x *Exchange) sendDatagram(d *pb.Datagram, to []*net.UDPAddr) {
	data, err := proto.Marshal(d)
	if err != nil || len(data) > maxDatagramBytes {
		x.options.Logger.Error("Datagram not sent.", "bytes", len(data), "error", err)
		return
	}
	for _, a := range to {
		if _, err := x.conn.WriteToUDP(data, a); err != nil {
			x.options.Logger.Debug("Datagram not sent.", "to", a, "error", err)
		}
	}
}

// expire marks silent peers and drops silent zones. Time in which this daemon itself stood
// still is no silence of theirs. The caller holds the lock.
func (x *Exchange) expire(now time.Time) {
	timeout := max(minFailureTimeout, failureIntervals*x.sendInterval())
	if stall := now.Sub(x.lastExpire); !x.lastExpire.IsZero() && stall > timeout/2 {
		x.options.Logger.Warn("Stood still.", "pause", stall)
		for _, p := range x.peers {
			p.lastSeen = p.lastSeen.Add(stall)
		}
		for _, z := range x.zones {
			z.lastSeen = z.lastSeen.Add(stall)
		}
	}
	x.lastExpire = now
	for id, p := range x.peers {
		silence := now.Sub(p.lastSeen)
		if p.live && silence > timeout {
			p.live = false
			x.options.Logger.Warn("Peer lost.", "peer", id, "silent", silence)
		}
		if silence > expiryTimeout {
			delete(x.peers, id)
		}
	}
	for name, z := range x.zones {
		if silence := now.Sub(z.lastSeen); silence > 2*timeout {
			delete(x.zones, name)
			x.options.Logger.Warn("Zone lost.", "zone", name, "silent", silence)
		}
	}
	for controlAddress, a := range x.addresses {
		if now.Sub(a.lastSeen) > expiryTimeout {
			delete(x.addresses, controlAddress)
		}
	}
}
