// Package exchange distributes the state of each daemon to its peers in the fleet. A daemon sends
// its complete current state in a UDP datagram to its peers several times a second. Lost, late and
// duplicate datagrams are harmless because the next one replaces them. A TCP connection would delay
// later states behind a lost segment, or could hang. Data that is too large for a datagram is pulled
// from a peer by drpc.
//
// A small fleet is a full mesh. In a larger one daemons send their state to their zone peers, and
// one delegate for each zone sends a summary of its zone, with merged views, to the delegates of the
// other zones, which forward it to their zone peers.
package exchange

import (
	"context"
	"log/slog"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"github.com/filbertrill/filbertrill/internal/exchange/pb"
	"github.com/filbertrill/filbertrill/internal/recovery"
	"github.com/filbertrill/filbertrill/internal/telemetry"
)

const (
	// minSendInterval is the least time between two states that a daemon sends.
	minSendInterval = 50 * time.Millisecond
	// meshIntervalPerPeer and zoneIntervalPerPeer are the send interval per receiving daemon
	// in a full mesh and in a larger fleet. States of larger fleets list more servers: with
	// 6 ms, daemons with 0.19 cores spent so much time on states with 112 servers, 62 us each
	// (BenchmarkState), that requests were delayed in the whole fleet
	// (docs/design/platform.md).
	meshIntervalPerPeer = 6 * time.Millisecond
	zoneIntervalPerPeer = 12 * time.Millisecond
	// maxSendInterval bounds the send interval in larger fleets, because server loads change
	// within a few hundred milliseconds. Loads and usage of peers count for 1.5 s.
	maxSendInterval = 400 * time.Millisecond
	// crossZoneInterval is the least time between two states that a daemon of a full mesh sends to
	// other zones: links between zones cost more than other traffic.
	crossZoneInterval = 100 * time.Millisecond
	// placementIntervals is the time for which a placement is sent, in send intervals. One datagram
	// in some may be lost.
	placementIntervals = 2.2
	// failureIntervals is the number of send intervals without a datagram after which a peer
	// counts as failed. minFailureTimeout and maxFailureTimeout bound that time.
	failureIntervals  = 10
	minFailureTimeout = 1200 * time.Millisecond
	maxFailureTimeout = 2500 * time.Millisecond
	// expiryTimeout is the time without a datagram after which a peer and its address are
	// removed. See expireAddresses for an address.
	expiryTimeout = 60 * time.Second
	// silentTimeout is the time without a datagram or summary after which a daemon doesn't count among those that are
	// in touch with this one.
	silentTimeout = 10 * time.Second
	// lostTimeout is the time without a datagram after which the address of a daemon is removed in any case.
	lostTimeout = 10 * time.Minute
	// settleTime is the time since the start, and since an address was added, after which a daemon that has just started
	// counts its fleet. Lists of members arrive within memberListInterval of the first datagram.
	settleTime = 3 * time.Second
	// maxConcurrentPulls bounds the pulls of records that a daemon answers at a time. Each answer may hold the whole list
	// of servers in memory.
	maxConcurrentPulls = 4
	// maxMeshSize is the number of daemons up to which the fleet is a full mesh.
	maxMeshSize = 12
	// memberListInterval is the least time between two states that contain the list of members.
	memberListInterval = time.Second
	// zoneListInterval is the time between two lists of members that a daemon sends to its zone in a
	// larger fleet if nothing changes. The delegate sends its list each memberListInterval.
	zoneListInterval = 10 * time.Second
	// maxDelegateCandidates is the number of daemons of another zone to which the zone summary
	// is sent while the delegate of that zone is unknown.
	maxDelegateCandidates = 3
	// maxStateBytes is the size of the summaries of other zones above which each has a datagram of its
	// own. Four of 16 KB exceeded maxDatagramBytes, and the fragments of large datagrams are lost
	// together.
	maxStateBytes = 16 << 10
	// maxDatagramBytes is the size of the largest datagram that is sent.
	maxDatagramBytes = 60 << 10
)

// ZonePrefix begins the names of zones in Options.OnView.
const ZonePrefix = "zone "

// Options are the settings and callbacks of an Exchange.
type Options struct {
	// Self returns this daemon.
	Self func() *pb.Member
	// ControlAddress is the ip:port on which datagrams (UDP) and pulls (TCP) are received.
	ControlAddress string
	// View returns the view of this daemon that is sent to peers, with its placements of the last
	// placementAge.
	View func(placementAge time.Duration) *pb.View
	// OnView is called with each newer view of a peer or of another zone. from is the ID of the
	// peer, or the name of the zone after ZonePrefix; source is the peer or the zone's delegate. age is that of the oldest
	// state in the view, without the time that the last datagram took.
	OnView func(from string, source *pb.Member, v *pb.View, age time.Duration)
	// OnOwnZone is called with the views of all other daemons of this one's zone, merged, in zones that are too large for
	// OnView. included are the daemons, with their demands in some summaries. age is as in OnView.
	OnOwnZone func(source *pb.Member, v *pb.View, included []*pb.Included, age time.Duration)
	// UsageTTL is how long what accounts received at a daemon that doesn't report is part of the summaries for other zones.
	UsageTTL time.Duration
	// Records returns the records that PullRecords of a peer receives.
	Records func(*pb.PullRequest) *pb.Records
	// CachedParts returns the cached prefix parts of engines that PullCachedParts of a peer
	// receives.
	CachedParts func() *pb.Prompts
	// Quarantine returns the prompt parts and requests that are held back, LiftQuarantine releases one and reports whether
	// it was held. Both are called for operators.
	Quarantine     func() *pb.QuarantineList
	LiftQuarantine func(id uint64) bool
	// Notices returns what servers say of the requests that they take. It is called for operators.
	Notices func() *pb.NoticeList
	// OnOrigins is called with each message about the origins of streams. It must not block.
	OnOrigins func(*pb.Origins)
	// OnStoreNews is called with what a daemon has learned from the store. It may be nil.
	OnStoreNews func(*pb.StoreNews)
	// OnZoneTraffic is called with the bytes that are sent from one zone to another, because of
	// this daemon. It may be nil.
	OnZoneTraffic func(from, to string, kind telemetry.TrafficKind, bytes int64)
	// OnControl is called with each message to or from another daemon and its bytes. It may be nil.
	OnControl func(direction telemetry.Direction, locality telemetry.Locality, kind telemetry.Kind, bytes int)
	Logger    *slog.Logger
}

// Exchange sends the state of this daemon and receives those of its peers. Its methods are safe for
// concurrent use.
type Exchange struct {
	options     Options
	incarnation uint64
	conn        *net.UDPConn
	listener    net.Listener
	sendNow     chan struct{}

	datagramBytes int // size of the datagram that receive handles

	mu             sync.Mutex
	sequence       uint64
	lastMemberList time.Time
	lastZoneList   time.Time        // see zoneListDue
	listedSize     int              // number of daemons at lastZoneList
	summarized     []*pb.Member     // the last members in summaries
	lastCrossZone  time.Time        // last state that was sent to other zones
	lastExpire     time.Time        // last call of expire
	grewAt         time.Time        // when the last address was added, or the start
	settled        bool             // see Shares
	registryRead   bool             // see SetRegistryRead
	peers          map[string]*peer // by ID
	zones          map[string]*zone // other zones, by name
	addresses      map[string]*address
	fleet          fleetCache

	sentViews         []sentView    // the last ones
	askedAsAggregator time.Time     // when a state last arrived that was sent to this daemon as an aggregator
	lastSummary       time.Time     // of the own zone, to the daemons of the zone
	summaryInterval   time.Duration // between these
	summarizedOwn     []*pb.Member  // the last members in summaries of the own zone
	lastForward       time.Time     // of summaries of other zones, to the daemons of a large zone
	// Placements in views that this daemon has received as an aggregator, for the daemons of its zone and for other zones.
	ownPlacements, remotePlacements placementQueue
}

// peer is another daemon that sends its state to this one.
type peer struct {
	state    *pb.State // newest
	entries  int       // of its lists
	lastSeen time.Time
	live     bool
	// asksForMembers is set when a peer of another zone has sent its state to this daemon, because
	// it doesn't know the zone yet. It then gets the list of members once. Such lists are no
	// question themselves: otherwise two daemons would answer each other for good.
	asksForMembers bool
}

// zone is the newest summary of another zone, or of the own one if that is large.
type zone struct {
	*pb.Zone
	entries    int // of its lists
	lastSeen   time.Time
	placements *placementQueue // to be forwarded to a large zone
	wasSent    bool            // to the daemons of a large zone
	knowsMore  bool            // for the own zone: it includes far more daemons than this one received states of
}

// forwarded returns a copy of the summary to be sent on, with the age of its view now.
func (z *zone) forwarded(now time.Time) *pb.Zone {
	return &pb.Zone{
		Zone: z.Zone.Zone, Delegate: z.Delegate, Incarnation: z.Incarnation, Sequence: z.Sequence, View: z.View, Members: z.Members,
		AgeMs: z.AgeMs + AgeMillis(now.Sub(z.lastSeen)),
	}
}

// viewAge returns the age of the oldest state in the view of the summary when it was sent.
func viewAge(z *pb.Zone) time.Duration { return time.Duration(z.AgeMs) * time.Millisecond }

// address is the control address of another daemon.
type address struct {
	udp      *net.UDPAddr
	zone     string // empty if unknown
	lastSeen time.Time

	listedAt time.Time // when it was last sent the list of members because it had asked

	member  *pb.Member // as last listed; nil if unknown
	served  bool       // the member has been ready
	leaving bool       // the member drains after it has been ready
	askedAt time.Time  // when the daemon was last known to answer as an aggregator, or asked for the first time since
	heardAt time.Time  // last datagram of the daemon itself
}

// New returns an Exchange that listens on the control address. It sends and receives nothing before
// Run.
func New(o Options) (*Exchange, error) {
	udp, err := net.ResolveUDPAddr("udp", o.ControlAddress)
	if err != nil {
		return nil, errors.Wrap(err, "resolve control address")
	}
	conn, err := net.ListenUDP("udp", udp)
	if err != nil {
		return nil, errors.Wrap(err, "listen for datagrams")
	}
	listener, err := net.Listen("tcp", o.ControlAddress)
	if err != nil {
		_ = conn.Close() // the error of Listen is returned
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
		grewAt:      time.Now(),
	}, nil
}

// AddAddress adds the control address of another daemon. The zone may be empty if it is unknown.
func (x *Exchange) AddAddress(controlAddress, zone string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.addAddress(controlAddress, zone)
}

// addAddress adds an address, or sets the zone of a known one. It returns nil for this daemon's own
// address, for invalid ones and beyond maxAddresses. The caller holds the lock.
func (x *Exchange) addAddress(controlAddress, zone string) *address {
	if a, ok := x.addresses[controlAddress]; ok {
		if zone != "" {
			a.zone = zone
		}
		return a
	}
	if controlAddress == x.options.ControlAddress || controlAddress == "" || len(x.addresses) >= maxAddresses {
		return nil
	}
	parsed, err := netip.ParseAddrPort(controlAddress) // names are not looked up: that could block for seconds
	if err != nil {
		x.options.Logger.Warn("Invalid control address of a daemon.", "address", controlAddress, "error", err)
		return nil
	}
	a := &address{udp: net.UDPAddrFromAddrPort(parsed), zone: zone, lastSeen: time.Now()}
	x.addresses[controlAddress] = a
	x.grewAt = a.lastSeen
	x.fleet.sizeChanged()
	return a
}

// Run sends and receives states and serves pulls until the context ends.
func (x *Exchange) Run(ctx context.Context) error {
	mux := drpcmux.New()
	if err := pb.DRPCRegisterExchange(mux, pullServer{x, make(chan struct{}, maxConcurrentPulls)}); err != nil {
		return errors.Wrap(err, "register pull service")
	}
	go x.receive(ctx)
	go func() {
		server := drpcserver.NewWithOptions(recovery.Handler(mux, x.options.Logger), drpcserver.Options{Manager: readerOptions(maxRequestBytes)})
		if err := server.Serve(ctx, x.listener); err != nil && ctx.Err() == nil {
			x.options.Logger.Error("Pull server failed.", "error", err)
		}
	}()
	urgent := true
	for {
		x.send(time.Now(), urgent)
		urgent = false
		select {
		case <-ctx.Done():
			return x.conn.Close()
		case <-x.sendNow:
			urgent = true
		case <-time.After(x.nextSendDelay()):
		}
	}
}

// TriggerSend makes Run send the state without waiting for the next interval. Call it after changes
// that peers need at once.
func (x *Exchange) TriggerSend() {
	select {
	case x.sendNow <- struct{}{}:
	default:
	}
}

// expire marks peers as failed, and removes peers, zones and addresses, when no datagram has arrived
// from them for too long. Time in which this daemon was stalled does not count, because it received
// no datagrams then. The caller holds the lock.
func (x *Exchange) expire(now time.Time) {
	timeout := min(max(minFailureTimeout, failureIntervals*x.sendInterval()), maxFailureTimeout)
	if stall := now.Sub(x.lastExpire); !x.lastExpire.IsZero() && stall > timeout/2 {
		x.options.Logger.Warn("Daemon was stalled.", "pause", stall)
		for _, p := range x.peers {
			p.lastSeen = p.lastSeen.Add(stall)
		}
		for _, z := range x.zones {
			z.lastSeen = z.lastSeen.Add(stall)
		}
		for _, a := range x.addresses {
			a.lastSeen = a.lastSeen.Add(stall)
		}
	}
	x.lastExpire = now
	for id, p := range x.peers {
		silence := now.Sub(p.lastSeen)
		if p.live && silence > timeout {
			p.live = false
			x.fleet.membersChanged()
			x.options.Logger.Warn("Peer timed out.", "peer", id, "silent", silence)
		}
		if silence > expiryTimeout {
			delete(x.peers, id)
		}
	}
	for name, z := range x.zones {
		if silence := now.Sub(z.lastSeen); silence > 2*timeout {
			delete(x.zones, name)
			x.fleet.sizeChanged()
			x.fleet.membersChanged()
			x.options.Logger.Warn("Zone timed out.", "zone", name, "silent", silence)
		}
	}
	x.expireAddresses(now)
	x.settle(now)
}
