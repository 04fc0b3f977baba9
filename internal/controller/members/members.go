// Package members runs the pure view of package member: it owns its timers, the messages
// between daemons and the platform's list.
package members

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/filbertrill/filbertrill/internal/logservice"
	"github.com/filbertrill/filbertrill/internal/member"
	"github.com/filbertrill/filbertrill/internal/peer/pb"
)

// Default times of the controller.
const (
	DefaultHeartbeatInterval = 500 * time.Millisecond
	DefaultListInterval      = 2 * time.Second
	// flushDelay gathers changes that come together into one message.
	flushDelay = 50 * time.Millisecond
)

// Sender sends a message to the peer at an address.
type Sender interface {
	Send(address string, env *pb.Envelope)
	Retain(addresses map[string]bool)
}

// Options configure a Controller.
type Options struct {
	Self              *pb.Member
	Seeds             []string                // peer addresses from the settings
	InstanceList      logservice.InstanceList // may be nil
	Sender            Sender
	HeartbeatInterval time.Duration
	ListInterval      time.Duration
	Logger            *slog.Logger
	// Facts tells what changes in the daemon's own record. It is called without a lock
	// held, before each beat. It may be nil.
	LocalState func() LocalState
}

// Facts are what a daemon's record tells of its state.
type LocalState struct {
	AppliedOffset int64
	ConfigDigest  string
	Load          uint32 // requests waiting and running
}

// Controller keeps the view. Its methods may be called from any goroutine.
type Controller struct {
	opts           Options
	flushRequested chan struct{}

	mu              sync.Mutex
	view            *member.View
	listedEndpoints []member.Endpoint
	listErr         error
	listAnswered    bool                    // the list has answered
	zoneOf          map[string]string       // data centre by peer address and by member id
	loggedStatus    map[string]loggedStatus // by member id
}

// NewController returns a controller that knows only its own daemon.
func NewController(opts Options) *Controller {
	if opts.HeartbeatInterval == 0 {
		opts.HeartbeatInterval = DefaultHeartbeatInterval
	}
	if opts.ListInterval == 0 {
		opts.ListInterval = DefaultListInterval
	}
	return &Controller{
		opts:           opts,
		flushRequested: make(chan struct{}, 1),
		view:           member.NewView(opts.Self, time.Now()),
		zoneOf:         map[string]string{},
		loggedStatus:   map[string]loggedStatus{},
	}
}

// Run sends heartbeats until the context ends.
func (c *Controller) Run(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() { c.pollList(ctx) })
	ticker := time.NewTicker(c.opts.HeartbeatInterval)
	defer ticker.Stop()
	c.tick()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			c.tick()
		case <-c.flushRequested:
			if !sleep(ctx, flushDelay) {
				return
			}
			c.flush()
		}
	}
}

func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

func (c *Controller) requestFlush() {
	select {
	case c.flushRequested <- struct{}{}:
	default:
	}
}

// SetState changes the daemon's own state and tells the peers at once.
func (c *Controller) SetState(state pb.MemberState) {
	c.updateSelf(func(self *pb.Member) { self.State = state })
	c.flush()
}

// SetClientAddress sets the address that callers are told.
func (c *Controller) SetClientAddress(address string) {
	c.updateSelf(func(self *pb.Member) { self.ClientAddress = address })
}

// Changed has the daemon's own record refreshed before the next beat.
func (c *Controller) RequestUpdate() { c.requestFlush() }

func (c *Controller) refreshSelf() {
	if c.opts.LocalState == nil {
		return
	}
	local := c.opts.LocalState()
	c.updateSelf(func(self *pb.Member) {
		self.AppliedOffset = local.AppliedOffset
		self.ConfigDigest = local.ConfigDigest
		self.Load = local.Load
	})
}

func (c *Controller) updateSelf(change func(self *pb.Member)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.view.Update(time.Now(), change)
}

// beat sends what is due.
func (c *Controller) tick() {
	c.refreshSelf()
	c.mu.Lock()
	now := time.Now()
	out := c.view.Tick(now)
	c.logChanges(now)
	keep := c.retainedAddresses(out)
	c.mu.Unlock()
	c.opts.Sender.Retain(keep)
	c.send(out)
}

// flush sends news before the next beat.
func (c *Controller) flush() {
	c.refreshSelf()
	c.mu.Lock()
	var out []member.OutboundMessage
	if c.view.Urgent() {
		out = c.view.Flush(time.Now())
	}
	c.mu.Unlock()
	c.send(out)
}

func (c *Controller) send(out []member.OutboundMessage) {
	for _, msg := range out {
		c.opts.Sender.Send(msg.Address, msg.Message)
	}
}

// retained are the addresses of members and of those now written to. It also notes the
// data centres of the addresses.
func (c *Controller) retainedAddresses(out []member.OutboundMessage) map[string]bool {
	addresses := map[string]bool{}
	for _, s := range out {
		addresses[s.Address] = true
	}
	clear(c.zoneOf)
	for _, endpoint := range c.listedEndpoints {
		c.zoneOf[endpoint.Address] = endpoint.Zone
		addresses[endpoint.Address] = true
	}
	for _, s := range c.view.All() {
		c.zoneOf[s.Member.PeerAddress] = s.Member.Zone
		c.zoneOf[s.Member.Id] = s.Member.Zone
		addresses[s.Member.PeerAddress] = true
	}
	for _, seed := range c.opts.Seeds {
		addresses[seed] = true
	}
	return addresses
}

// Handle takes in a message of a peer. It reports false for one of another kind.
func (c *Controller) Handle(env *pb.Envelope) bool {
	c.mu.Lock()
	now := time.Now()
	var out []member.OutboundMessage
	switch body := env.Body.(type) {
	case *pb.Envelope_Heartbeat:
		c.view.HandleHeartbeat(now, env.From, env.Incarnation, body.Heartbeat)
	case *pb.Envelope_ZoneReports:
		out = c.view.HandleZoneReports(now, env.From, env.Incarnation, body.ZoneReports)
	case *pb.Envelope_ZoneRequest:
		out = c.view.HandleZoneRequest(now, env.From, body.ZoneRequest)
	default:
		c.mu.Unlock()
		return false
	}
	urgent := c.view.Urgent()
	c.mu.Unlock()
	c.send(out)
	if urgent {
		c.requestFlush()
	}
	return true
}

// Live returns the members that may hold roles.
func (c *Controller) Live(now time.Time) []*pb.Member {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.view.Live(now)
}

// Ready reports whether this daemon may act on roles that its view gives it. It is false
// after a start or a pause until peers have answered.
func (c *Controller) Ready(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.view.Ready(now)
}

// All returns every known member.
func (c *Controller) All() []member.Status {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.view.All()
}

// Self returns a copy of the daemon's own record.
func (c *Controller) Self() *pb.Member {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.view.Self()
}

// Address returns the peer address of a member, or the empty string.
func (c *Controller) Address(id string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s := c.view.Get(id); s != nil {
		return s.Member.PeerAddress
	}
	return ""
}

// Zone returns the data centre of a peer address or member id, or the empty string.
func (c *Controller) Zone(peer string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.zoneOf[peer]
}

// Suspected reports whether a member's signs of life stay out.
func (c *Controller) Suspected(s member.Status, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.view.Suspected(&s, now)
}

// Reason tells why a member is suspected; it is empty for others.
func (c *Controller) SuspicionReason(s member.Status, now time.Time) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.view.SuspicionReason(&s, now)
}
