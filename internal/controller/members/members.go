// Package members runs the membership protocol of package member: it owns the timers, sends
// and receives the messages, and reads the platform's instance list.
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

// Default intervals of a Controller.
const (
	DefaultHeartbeatInterval = 500 * time.Millisecond
	DefaultListInterval      = 2 * time.Second
	// flushDelay batches changes that occur together into one message.
	flushDelay = 50 * time.Millisecond
)

// Sender sends messages to peers by their address.
type Sender interface {
	Send(address string, env *pb.Envelope)
	// Retain closes the connections to all other addresses.
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
	// LocalState returns the variable part of the daemon's own record. It is called
	// without a lock held, before each Tick or Flush of the view. It may be nil.
	LocalState func() LocalState
}

// LocalState holds the fields of a daemon's own record that change often.
type LocalState struct {
	AppliedOffset int64
	ConfigDigest  string
	Load          uint32 // number of requests waiting and running
}

// Controller maintains the daemon's view of the members. Its methods are safe for concurrent
// use.
type Controller struct {
	opts           Options
	flushRequested chan struct{}

	mu              sync.Mutex
	view            *member.View
	listedEndpoints []member.Endpoint
	listErr         error
	listedAsOf      time.Time               // start of the last read of the list that succeeded
	zoneOf          map[string]string       // data centre by peer address and by member id, as of the last tick
	loggedStatus    map[string]loggedStatus // by member id
}

// NewController returns a controller whose only member is its own daemon.
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

// Run sends heartbeats and changes, and polls the instance list, until the context ends.
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

// sleep waits for d. It returns false if the context ended first.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// requestFlush has Run call flush after flushDelay.
func (c *Controller) requestFlush() {
	select {
	case c.flushRequested <- struct{}{}:
	default:
	}
}

// SetState changes the daemon's own state and sends it to the peers at once.
func (c *Controller) SetState(state pb.MemberState) {
	c.updateSelf(func(self *pb.Member) { self.State = state })
	c.flush()
}

// SetClientAddress sets the address that callers are to use for this daemon.
func (c *Controller) SetClientAddress(address string) {
	c.updateSelf(func(self *pb.Member) { self.ClientAddress = address })
}

// RequestUpdate has the daemon's own record updated from LocalState, and changes sent, before
// the next heartbeat.
func (c *Controller) RequestUpdate() { c.requestFlush() }

// refreshSelf updates the daemon's own record from LocalState.
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

// tick sends the messages that are due, once per heartbeat interval.
func (c *Controller) tick() {
	c.refreshSelf()
	c.mu.Lock()
	now := time.Now()
	out := c.view.Tick(now)
	c.logChanges(now)
	addresses := c.retainedAddresses(out)
	c.mu.Unlock()
	c.opts.Sender.Retain(addresses)
	c.send(out)
}

// flush sends urgent changes before the next tick.
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

// retainedAddresses returns the addresses of members, listed endpoints, seeds and the
// recipients of out. It also updates zoneOf.
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

// Handle processes a message of the membership protocol. It returns false for other messages.
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

// Live returns the members that may hold roles: those neither suspected nor left, by id.
func (c *Controller) Live(now time.Time) []*pb.Member {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.view.Live(now)
}

// Ready reports whether this daemon may act on the roles that its view assigns to it. It is
// false after a start or a pause until peers have answered or a grace period has ended.
func (c *Controller) Ready(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.view.Ready(now)
}

// All returns all known members, by id.
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

// Address returns the peer address of a member, or the empty string if it is not known.
func (c *Controller) Address(id string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s := c.view.Get(id); s != nil {
		return s.Member.PeerAddress
	}
	return ""
}

// Zone returns the data centre of a peer address or member id, or the empty string if it is
// not known.
func (c *Controller) Zone(peer string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.zoneOf[peer]
}

// Suspected reports whether a member is suspected to have failed.
func (c *Controller) Suspected(s member.Status, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.view.Suspected(&s, now)
}

// SuspicionReason describes why a member is suspected. It returns the empty string for
// members that are not.
func (c *Controller) SuspicionReason(s member.Status, now time.Time) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.view.SuspicionReason(&s, now)
}
