// Package members runs the heartbeats between daemons and keeps the view of the fleet's members.
package members

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/filbertrill/filbertrill/internal/member"
	"github.com/filbertrill/filbertrill/internal/peer/pb"
	"github.com/filbertrill/filbertrill/internal/platform"
)

// Default times of the controller.
const (
	DefaultHeartbeatInterval = 500 * time.Millisecond
	DefaultListInterval      = 2 * time.Second
)

// Sender sends a message to the peer at an address.
type Sender interface {
	Send(address string, env *pb.Envelope)
	Retain(keep map[string]bool)
}

// Options configure a Controller.
type Options struct {
	Self              *pb.Member
	Seeds             []string              // peer addresses from the settings
	List              platform.InstanceList // may be nil
	Sender            Sender
	HeartbeatInterval time.Duration
	ListInterval      time.Duration
	Logger            *slog.Logger
	// Refresh fills in the fields of the daemon's own record before each heartbeat.
	Refresh func(self *pb.Member)
}

// Controller keeps the view. Its methods may be called from any goroutine.
type Controller struct {
	opts Options

	mu     sync.Mutex
	view   *member.View
	self   *pb.Member
	listed []string
	listOK bool // the list has answered
}

// NewController returns a controller that knows only its own daemon.
func NewController(opts Options) *Controller {
	if opts.HeartbeatInterval == 0 {
		opts.HeartbeatInterval = DefaultHeartbeatInterval
	}
	if opts.ListInterval == 0 {
		opts.ListInterval = DefaultListInterval
	}
	self := proto.Clone(opts.Self).(*pb.Member)
	return &Controller{opts: opts, self: self, view: member.NewView(self, time.Now())}
}

// Run sends heartbeats until the context ends.
func (c *Controller) Run(ctx context.Context) {
	heartbeat := time.NewTicker(c.opts.HeartbeatInterval)
	defer heartbeat.Stop()
	list := time.NewTicker(c.opts.ListInterval)
	defer list.Stop()
	c.refreshList(ctx)
	c.beat(time.Now())
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-heartbeat.C:
			c.beat(now)
		case <-list.C:
			c.refreshList(ctx)
		}
	}
}

// SetState changes the daemon's own state and tells the peers at once.
func (c *Controller) SetState(state pb.MemberState) {
	c.mu.Lock()
	c.self.State = state
	c.mu.Unlock()
	c.beat(time.Now())
}

// SetClientAddress sets the address that callers are told.
func (c *Controller) SetClientAddress(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.self.ClientAddress = address
}

func (c *Controller) refreshList(ctx context.Context) {
	if c.opts.List == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, c.opts.ListInterval)
	defer cancel()
	instances, err := c.opts.List.Instances(ctx)
	if err != nil {
		c.opts.Logger.Warn("Instance list did not answer, keeping the last one.", "error", err)
		return
	}
	addresses := make([]string, 0, len(instances))
	for _, i := range instances {
		addresses = append(addresses, i.PeerAddress)
	}
	c.mu.Lock()
	c.listed, c.listOK = addresses, true
	c.mu.Unlock()
}

// beat sends one heartbeat to every known peer.
func (c *Controller) beat(now time.Time) {
	c.mu.Lock()
	c.self.Seq++
	if c.opts.Refresh != nil {
		c.opts.Refresh(c.self)
	}
	c.view.Observe(proto.Clone(c.self).(*pb.Member), now)
	c.view.Expire(now)
	heartbeat := c.heartbeat(now)
	targets := c.targets()
	c.mu.Unlock()

	c.opts.Sender.Retain(targets)
	for address := range targets {
		c.opts.Sender.Send(address, &pb.Envelope{Body: &pb.Envelope_Heartbeat{Heartbeat: heartbeat}})
	}
}

// heartbeat returns the daemon's record and those of the live members, so that members
// learn of each other through any common peer.
func (c *Controller) heartbeat(now time.Time) *pb.Heartbeat {
	h := &pb.Heartbeat{Self: proto.Clone(c.self).(*pb.Member)}
	for _, m := range c.view.Live(now) {
		if m.Id != c.self.Id {
			h.Others = append(h.Others, m)
		}
	}
	return h
}

func (c *Controller) targets() map[string]bool {
	targets := map[string]bool{}
	for _, a := range c.opts.Seeds {
		targets[a] = true
	}
	for _, a := range c.listed {
		targets[a] = true
	}
	for _, s := range c.view.All() {
		targets[s.Member.PeerAddress] = true
	}
	delete(targets, c.self.PeerAddress)
	return targets
}

// Heartbeat takes in a peer's heartbeat.
func (c *Controller) Heartbeat(h *pb.Heartbeat, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, m := range append([]*pb.Member{h.Self}, h.Others...) {
		if m.GetId() == "" || m.Id == c.self.Id {
			continue
		}
		c.view.Observe(m, now)
	}
}

// Live returns the members that may hold roles.
func (c *Controller) Live(now time.Time) []*pb.Member {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.view.Live(now)
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
	return proto.Clone(c.self).(*pb.Member)
}

// Address returns the peer address of a member, or the empty string.
func (c *Controller) Address(id string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range c.view.All() {
		if s.Member.Id == id {
			return s.Member.PeerAddress
		}
	}
	return ""
}

// Suspected reports whether a member's heartbeats stay out.
func (c *Controller) Suspected(s member.Status, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.view.Suspected(&s, now)
}

// Listed returns the peer addresses of the instance list, and whether it has ever answered.
func (c *Controller) Listed() ([]string, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.listed, c.listOK
}
