// Package exchange lets the daemons of a fleet know each other's state. Each daemon sends
// its whole current state in a datagram to all others, several times a second. A datagram
// that is lost, late or repeated is harmless: the next one replaces it. A connection would
// hold later states back behind a lost one, or go silent for good. What is too large for a
// datagram is pulled from a peer by drpc.
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
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"github.com/filbertrill/filbertrill/internal/exchange/pb"
)

const (
	// minInterval is the time between two states in a small fleet.
	minInterval = 50 * time.Millisecond
	// intervalPerPeer keeps the datagrams of a daemon below 100 a second.
	intervalPerPeer = 10 * time.Millisecond
	// suspectAfter is the silence, in intervals, after which a peer is left out.
	suspectAfter = 24
	// forgetAfter is the silence after which nothing more is sent to an address.
	forgetAfter = 60 * time.Second
	// maxDatagram is the largest datagram that is sent, in bytes.
	maxDatagram = 60 << 10
	// pullTimeout bounds one pull.
	pullTimeout = 1500 * time.Millisecond
)

// Options are the settings of an Exchange.
type Options struct {
	ID      string
	Address string   // control address, ip:port, of datagrams and pulls
	Seeds   []string // control addresses that may be stale
	// Fill completes the state that is sent.
	Fill func(*pb.State)
	// Received is called with each newer state of a peer.
	Received func(*pb.State)
	// Records returns what peers pull.
	Records func() *pb.Records
	Logger  *slog.Logger
}

// Exchange sends and receives the states of daemons. Its methods are safe for
// concurrent use.
type Exchange struct {
	options     Options
	incarnation uint64
	conn        *net.UDPConn
	listener    net.Listener
	wake        chan struct{}

	mu        sync.Mutex
	sequence  uint64
	peers     map[string]*peer // by id
	addresses map[string]time.Time
}

type peer struct {
	state *pb.State
	heard time.Time
	live  bool
}

// New binds the address.
func New(o Options) (*Exchange, error) {
	address, err := net.ResolveUDPAddr("udp", o.Address)
	if err != nil {
		return nil, errors.Wrap(err, "control address")
	}
	conn, err := net.ListenUDP("udp", address)
	if err != nil {
		return nil, errors.Wrap(err, "listen for peers")
	}
	listener, err := net.Listen("tcp", o.Address)
	if err != nil {
		_ = conn.Close() // nothing was sent
		return nil, errors.Wrap(err, "listen for pulls")
	}
	x := &Exchange{
		options:     o,
		incarnation: uint64(time.Now().UnixNano()),
		conn:        conn,
		listener:    listener,
		wake:        make(chan struct{}, 1),
		peers:       make(map[string]*peer),
		addresses:   make(map[string]time.Time),
	}
	x.Know(o.Seeds)
	return x, nil
}

// Know adds control addresses of other daemons.
func (x *Exchange) Know(addresses []string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, a := range addresses {
		if _, ok := x.addresses[a]; !ok && a != x.options.Address && a != "" {
			x.addresses[a] = time.Now()
		}
	}
}

// Run sends and receives until the context ends.
func (x *Exchange) Run(ctx context.Context) error {
	mux := drpcmux.New()
	if err := pb.DRPCRegisterExchange(mux, puller{x}); err != nil {
		return errors.Wrap(err, "register pulls")
	}
	go x.receive(ctx)
	go func() {
		if err := drpcserver.New(mux).Serve(ctx, x.listener); err != nil && ctx.Err() == nil {
			x.options.Logger.Error("Pulls are not served.", "error", err)
		}
	}()
	for {
		x.send()
		select {
		case <-ctx.Done():
			return x.conn.Close()
		case <-x.wake:
		case <-time.After(x.interval()):
		}
	}
}

// Wake sends the state now: it has changed in a way that peers must learn soon.
func (x *Exchange) Wake() {
	select {
	case x.wake <- struct{}{}:
	default:
	}
}

// Members returns the states of the live peers.
func (x *Exchange) Members() []*pb.State {
	x.mu.Lock()
	defer x.mu.Unlock()
	members := make([]*pb.State, 0, len(x.peers))
	for _, p := range x.peers {
		if p.live {
			members = append(members, p.state)
		}
	}
	return members
}

// Size returns the number of daemons of the fleet, those that have been silent for less
// than a minute included.
func (x *Exchange) Size() int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return len(x.addresses) + 1
}

// Pull asks the peer at the control address for its newest records.
func (x *Exchange) Pull(ctx context.Context, address string) (*pb.Records, error) {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	var dialer net.Dialer
	raw, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "connect to peer")
	}
	conn := drpcconn.New(raw)
	defer conn.Close()
	records, err := pb.NewDRPCExchangeClient(conn).Pull(ctx, &pb.PullRequest{})
	return records, errors.Wrap(err, "pull from peer")
}

func (x *Exchange) interval() time.Duration {
	x.mu.Lock()
	n := len(x.addresses)
	x.mu.Unlock()
	interval := max(minInterval, time.Duration(n)*intervalPerPeer)
	return interval + time.Duration(rand.Int64N(int64(interval/10)))
}

func (x *Exchange) send() {
	state := &pb.State{Id: x.options.ID, Incarnation: x.incarnation, ControlAddress: x.options.Address}
	x.options.Fill(state)
	now := time.Now()
	x.mu.Lock()
	x.sequence++
	state.Sequence = x.sequence
	addresses := make([]string, 0, len(x.addresses))
	for a, heard := range x.addresses {
		if now.Sub(heard) > forgetAfter {
			delete(x.addresses, a)
			continue
		}
		addresses = append(addresses, a)
	}
	for _, p := range x.peers {
		if p.live {
			state.Members = append(state.Members, p.state.ControlAddress)
		}
	}
	x.expire(now)
	x.mu.Unlock()
	data, err := proto.Marshal(state)
	if err != nil || len(data) > maxDatagram {
		x.options.Logger.Error("State not sent.", "bytes", len(data), "error", err)
		return
	}
	for _, a := range addresses {
		to, err := net.ResolveUDPAddr("udp", a)
		if err == nil {
			_, err = x.conn.WriteToUDP(data, to)
		}
		if err != nil {
			x.options.Logger.Debug("Datagram not sent.", "to", a, "error", err)
		}
	}
}

// expire marks silent peers. The caller holds the lock.
func (x *Exchange) expire(now time.Time) {
	interval := max(minInterval, time.Duration(len(x.addresses))*intervalPerPeer)
	for id, p := range x.peers {
		silent := now.Sub(p.heard)
		if p.live && silent > suspectAfter*interval {
			p.live = false
			x.options.Logger.Warn("Peer lost.", "peer", id, "silent", silent)
		}
		if silent > forgetAfter {
			delete(x.peers, id)
		}
	}
}

func (x *Exchange) receive(ctx context.Context) {
	buffer := make([]byte, 64<<10)
	for {
		n, _, err := x.conn.ReadFromUDP(buffer)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			x.options.Logger.Warn("Datagram not read.", "error", err)
			continue
		}
		state := &pb.State{}
		if err := proto.Unmarshal(buffer[:n], state); err != nil {
			x.options.Logger.Warn("Datagram not understood.", "bytes", n, "error", err)
			continue
		}
		if x.accept(state, time.Now()) {
			x.options.Received(state)
		}
	}
}

// accept takes a state that is newer than the one known.
func (x *Exchange) accept(state *pb.State, now time.Time) bool {
	if state.Id == x.options.ID {
		return false
	}
	x.Know(append(state.Members, state.ControlAddress))
	x.mu.Lock()
	defer x.mu.Unlock()
	x.addresses[state.ControlAddress] = now
	p, ok := x.peers[state.Id]
	if !ok {
		p = &peer{}
		x.peers[state.Id] = p
	}
	if old := p.state; old != nil && (state.Incarnation < old.Incarnation ||
		(state.Incarnation == old.Incarnation && state.Sequence <= old.Sequence)) {
		return false
	}
	if !p.live {
		x.options.Logger.Info("Peer heard.", "peer", state.Id, "incarnation", state.Incarnation)
	}
	p.state, p.heard, p.live = state, now, true
	return true
}

type puller struct{ x *Exchange }

// Pull answers a peer.
func (p puller) Pull(context.Context, *pb.PullRequest) (*pb.Records, error) {
	return p.x.options.Records(), nil
}
