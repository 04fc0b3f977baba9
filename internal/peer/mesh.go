// Package peer transports control messages between daemons, and calls of the operators' tool
// to a daemon, over drpc.
package peer

import (
	"context"
	"log/slog"
	"net"
	"sync"
	"time"

	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"github.com/filbertrill/filbertrill/internal/bounded"
	"github.com/filbertrill/filbertrill/internal/peer/pb"
	"github.com/filbertrill/filbertrill/internal/recovery"
)

// maxEntries limits the entries of all lists in a message. Its bytes are limited to 4 MiB by drpc.
const maxEntries = 64 << 10

// Handler processes a message received from a peer. It must not block.
type Handler func(env *pb.Envelope)

// Options configure a Mesh. Zero intervals, timeouts and lengths stand for the defaults.
type Options struct {
	ID           string            // member id of this daemon
	Incarnation  uint64            // start time of this daemon, Unix nanoseconds
	Secret       string            // shared by all daemons and operators
	Routes       map[string]string // address to dial by peer address; other peers are dialed directly
	Handler      Handler
	Operator     pb.DRPCOperatorServer // may be nil
	PingInterval time.Duration         // longest time from a message to the ping that confirms it
	PongTimeout  time.Duration         // longest time from a message to a pong; must exceed PingInterval
	DialTimeout  time.Duration
	QueueLength  int // maximum number of messages queued per peer; further ones are dropped
	Logger       *slog.Logger
	// FillPong sets fields of the answer to a peer's ping. It may be nil.
	FillPong func(*pb.Pong)
	// OnPong is called with each answer to a ping and the time at which the ping was sent. It
	// may be nil.
	OnPong func(sent time.Time, pong *pb.Pong)
	// CountBytes is called with the encoded size of each control message. The peer is given by
	// its address for messages that this daemon sends and for the pongs to its pings, and by
	// its member id for messages that it receives and for the pongs to them. It may be nil.
	CountBytes func(bytes int, sent bool, kind string, peer string)
}

// Defaults for Options.
const (
	DefaultPingInterval = 500 * time.Millisecond
	DefaultPongTimeout  = 1500 * time.Millisecond
	DefaultDialTimeout  = 2 * time.Second
	DefaultQueueLength  = 1024
)

// Mesh keeps one link to each peer that messages are sent to, and serves the links of peers.
// Delivery is not reliable: a link drops messages that it can't send. Messages should therefore
// contain state, not changes, so that a later message makes up for a lost one.
// Its methods are safe for concurrent use.
type Mesh struct {
	opts Options

	mu     sync.Mutex
	links  map[string]*link
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	rejections rejectionLog
}

// NewMesh returns a mesh that can send at once and receives after Serve is called.
func NewMesh(opts Options) *Mesh {
	opts.applyDefaults()
	ctx, cancel := context.WithCancel(context.Background())
	return &Mesh{opts: opts, links: map[string]*link{}, ctx: ctx, cancel: cancel}
}

func (o *Options) applyDefaults() {
	if o.PingInterval == 0 {
		o.PingInterval = DefaultPingInterval
	}
	if o.PongTimeout == 0 {
		o.PongTimeout = DefaultPongTimeout
	}
	if o.DialTimeout == 0 {
		o.DialTimeout = DefaultDialTimeout
	}
	if o.QueueLength == 0 {
		o.QueueLength = DefaultQueueLength
	}
	if o.Logger == nil {
		o.Logger = slog.New(slog.DiscardHandler)
	}
	if o.FillPong == nil {
		o.FillPong = func(*pb.Pong) {}
	}
	if o.OnPong == nil {
		o.OnPong = func(time.Time, *pb.Pong) {}
	}
	if o.CountBytes == nil {
		o.CountBytes = func(int, bool, string, string) {}
	}
}

// Serve accepts connections of peers and operators until Close is called.
func (m *Mesh) Serve(lis net.Listener) error {
	mux := drpcmux.New()
	if err := pb.DRPCRegisterMesh(mux, &sessionServer{mesh: m}); err != nil {
		return err
	}
	if m.opts.Operator != nil {
		err := pb.DRPCRegisterOperator(mux, &authOperatorServer{next: m.opts.Operator, secret: m.opts.Secret})
		if err != nil {
			return err
		}
	}
	return drpcserver.New(recovery.Handler(bounded.Handler(mux, maxEntries), m.opts.Logger)).Serve(m.ctx, lis)
}

// Send queues a message for the peer at the address, or drops it if the queue is full. It sets
// the From and Incarnation fields, and opens a link if there is none. It never blocks.
func (m *Mesh) Send(address string, env *pb.Envelope) {
	env.From = m.opts.ID
	env.Incarnation = m.opts.Incarnation
	if l := m.link(address); l != nil {
		l.enqueue(env)
	}
}

// link returns the link to the address and starts it if there is none. It returns nil after
// Close.
func (m *Mesh) link(address string) *link {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.ctx.Err() != nil {
		return nil
	}
	l, ok := m.links[address]
	if ok {
		return l
	}
	l = newLink(m, address)
	m.links[address] = l
	m.wg.Add(1)
	go func() {
		defer m.wg.Done()
		l.run()
	}()
	return l
}

// Ping sends a ping to the peer at the address without waiting for the ping interval.
func (m *Mesh) Ping(address string) {
	m.Send(address, &pb.Envelope{Body: &pb.Envelope_Ping{Ping: &pb.Ping{}}})
}

// Retain closes the links to all addresses that are not in keep.
func (m *Mesh) Retain(keep map[string]bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for address, l := range m.links {
		if keep[address] {
			continue
		}
		l.cancel()
		delete(m.links, address)
	}
}

// LinkCount returns the number of links.
func (m *Mesh) LinkCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.links)
}

// Close ends Serve and all links, and waits for the links.
func (m *Mesh) Close() {
	m.cancel()
	m.wg.Wait()
}

// dialAddress returns the address to dial for a peer address, as configured by Options.Routes.
func (m *Mesh) dialAddress(address string) string {
	if route, ok := m.opts.Routes[address]; ok {
		return route
	}
	return address
}
