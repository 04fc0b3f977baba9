// Package peer carries control messages between daemons, and operators' calls, over drpc.
package peer

import (
	"context"
	"log/slog"
	"net"
	"sync"
	"time"

	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"github.com/filbertrill/filbertrill/internal/peer/pb"
)

// Handler receives the messages of peers. It must not block.
type Handler func(env *pb.Envelope)

// Options configure a Mesh.
type Options struct {
	ID           string
	Incarnation  uint64
	Secret       string
	Routes       map[string]string // addresses to dial in the place of others
	Handler      Handler
	Operator     pb.DRPCOperatorServer // may be nil
	PingInterval time.Duration
	PongTimeout  time.Duration
	DialTimeout  time.Duration
	QueueLength  int // messages that wait for one peer; further ones are dropped
	Logger       *slog.Logger
	// Attest fills in the answer to a peer's ping; may be nil.
	FillPong func(*pb.Pong)
	// Observe receives a peer's answer to the ping that was sent at the given time; may be nil.
	OnPong func(sent time.Time, pong *pb.Pong)
	// Counter counts the payload of control messages; peer is the address of the peer for
	// a sent message or a Pong received, and its member id otherwise. It may be nil.
	CountBytes func(bytes int, sent bool, kind string, peer string)
}

// Defaults of Options.
const (
	DefaultPingInterval = 500 * time.Millisecond
	DefaultPongTimeout  = 1500 * time.Millisecond
	DefaultDialTimeout  = 2 * time.Second
	DefaultQueueLength  = 1024
)

// Mesh keeps one link to each peer that messages are sent to, and serves the links of peers.
// Messages are level-triggered: a link drops what it cannot send.
type Mesh struct {
	opts Options

	mu     sync.Mutex
	links  map[string]*link
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	rejections rejectionLog
}

// NewMesh returns a mesh that is not yet serving.
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

// Serve accepts links of peers and operators until Close is called.
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
	return drpcserver.New(mux).Serve(m.ctx, lis)
}

// Send queues the body for the peer at the address, and drops it when the queue is full.
func (m *Mesh) Send(address string, env *pb.Envelope) {
	env.From = m.opts.ID
	env.Incarnation = m.opts.Incarnation
	if l := m.link(address); l != nil {
		l.enqueue(env)
	}
}

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

// Ping asks the peer at the address for an answer at once.
func (m *Mesh) Ping(address string) {
	m.Send(address, &pb.Envelope{Body: &pb.Envelope_Ping{Ping: &pb.Ping{}}})
}

// Retain closes the links to every address that keep does not hold.
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

// Links returns the number of open links.
func (m *Mesh) LinkCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.links)
}

// Close ends all links and waits for them.
func (m *Mesh) Close() {
	m.cancel()
	m.wg.Wait()
}

func (m *Mesh) dialAddress(address string) string {
	if route, ok := m.opts.Routes[address]; ok {
		return route
	}
	return address
}
