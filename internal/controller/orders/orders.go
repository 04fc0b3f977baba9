// Package orders has backend servers load and drain as their state in the configuration
// calls for. It runs the pure decisions of package order.
package orders

import (
	"context"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/filbertrill/filbertrill/internal/backend"
	"github.com/filbertrill/filbertrill/internal/logservice"
	"github.com/filbertrill/filbertrill/internal/member"
	"github.com/filbertrill/filbertrill/internal/order"
	"github.com/filbertrill/filbertrill/internal/peer/pb"
)

// Defaults of Options.
const (
	DefaultTopic         = "filbertrill-orders"
	DefaultRetryInterval = 500 * time.Millisecond
	// DefaultDrainDelay is how long after a leave is applied the server is told to drain.
	// By then no daemon that hears the others sends it new work.
	DefaultDrainDelay = 3 * time.Second
)

const (
	readLimit   = 500 // records a read
	parallel    = 8   // orders at a time
	callTimeout = 3 * time.Second
)

// Members tells which daemon sends the orders of a server.
type Members interface {
	Live(now time.Time) []*pb.Member
	Ready(now time.Time) bool
}

// SendFunc sends an order. No byte may leave after until, unless that is zero.
type SendFunc func(ctx context.Context, address string, o backend.Order, until time.Time) error

// Options configure a Controller.
type Options struct {
	Self          order.Sender
	Log           logservice.Log
	Topic         string
	Members       Members
	Send          SendFunc
	RetryInterval time.Duration
	DrainDelay    time.Duration
	Logger        *slog.Logger
	// Step is called before each step of an order, for tests. It may be nil.
	OnStep func(name string)
}

// Controller sends the orders that fall to this daemon until each is taken.
type Controller struct {
	opts Options

	mu      sync.Mutex
	servers map[string]*server

	reading  sync.Mutex // held during a read of the log
	registry *order.Registry
}

// server is the progress of one server's order.
type server struct {
	order    order.Order
	zone     string
	due      time.Time
	settled  bool
	sent     bool // the server has taken it
	failing  bool // the last try failed, and was logged
	progress order.Progress
}

// NewController returns a controller that sends nothing before Set.
func NewController(opts Options) *Controller {
	if opts.Topic == "" {
		opts.Topic = DefaultTopic
	}
	if opts.RetryInterval == 0 {
		opts.RetryInterval = DefaultRetryInterval
	}
	if opts.DrainDelay == 0 {
		opts.DrainDelay = DefaultDrainDelay
	}
	if opts.Send == nil {
		opts.Send = backend.SendOrder
	}
	if opts.OnStep == nil {
		opts.OnStep = func(string) {}
	}
	return &Controller{opts: opts, servers: map[string]*server{}, registry: order.NewRegistry()}
}

// Wanted is an order with the data centre of its server.
type DesiredOrder struct {
	Order order.Order
	Zone  string
}

// Set takes in the whole list of orders that the configuration calls for.
func (c *Controller) SetOrders(wanted []DesiredOrder, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	servers := make(map[string]*server, len(wanted))
	for _, w := range wanted {
		id := w.Order.Server
		if old, ok := c.servers[id]; ok && old.order == w.Order {
			servers[id] = old
			continue
		}
		s := &server{order: w.Order, zone: w.Zone, due: now}
		if w.Order.Kind == order.Drain {
			s.due = now.Add(c.opts.DrainDelay)
		}
		servers[id] = s
	}
	c.servers = servers
}

// Run sends orders until the context ends.
func (c *Controller) Run(ctx context.Context) {
	ticker := time.NewTicker(c.opts.RetryInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			c.round(ctx, now)
		}
	}
}

// round tries each order that is due and falls to this daemon.
func (c *Controller) round(ctx context.Context, now time.Time) {
	due := c.due(now)
	if len(due) == 0 {
		return
	}
	var group errgroup.Group
	group.SetLimit(parallel)
	for _, s := range due {
		group.Go(func() error {
			c.note(s, c.try(ctx, s))
			return nil
		})
	}
	_ = group.Wait()
}

// due returns the orders to try. An order that has moved to another daemon is forgotten,
// and settled anew when it comes back.
func (c *Controller) due(now time.Time) []*server {
	if !c.opts.Members.Ready(now) {
		return nil
	}
	live := c.opts.Members.Live(now)
	c.mu.Lock()
	defer c.mu.Unlock()
	var due []*server
	for _, id := range slices.Sorted(maps.Keys(c.servers)) {
		s := c.servers[id]
		if !c.owns(s, live) {
			s.settled, s.sent = false, false
			continue
		}
		if !s.settled && !now.Before(s.due) {
			due = append(due, s)
		}
	}
	return due
}

// owns reports whether the server's orders fall to this daemon: to one of the server's
// data centre where there is one.
func (c *Controller) owns(s *server, live []*pb.Member) bool {
	var near []*pb.Member
	for _, m := range live {
		if m.Zone == s.zone {
			near = append(near, m)
		}
	}
	if len(near) == 0 {
		near = live
	}
	owner := member.Owner("orders/"+s.order.Server, near)
	return owner != nil && owner.Id == c.opts.Self.ID
}

// try takes an order as far as it goes now.
func (c *Controller) try(ctx context.Context, s *server) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if s.order.ChecksFence {
		if err := c.send(ctx, s, time.Time{}); err != nil {
			return err
		}
		c.settle(s)
		return nil
	}
	for ctx.Err() == nil {
		c.opts.OnStep("read")
		readAt := time.Now()
		if err := c.read(ctx); err != nil {
			return err
		}
		c.opts.OnStep("decide")
		step, until := c.decide(s, readAt)
		if step == order.StepSettled || (step == order.StepClaim && s.sent) {
			c.settle(s)
			return nil
		}
		if step == order.StepWait {
			return nil
		}
		if err := c.advance(ctx, s, step, until); err != nil {
			return err
		}
	}
	return ctx.Err()
}

// advance appends a claim, or sends under one and appends its end.
func (c *Controller) advance(ctx context.Context, s *server, step order.Step, until time.Time) error {
	if step == order.StepClaim {
		return c.append(ctx, s, order.RecordClaim)
	}
	if !s.sent {
		if err := c.send(ctx, s, until); err != nil {
			return err
		}
		s.sent = true
	}
	return c.append(ctx, s, order.RecordDone)
}

func (c *Controller) decide(s *server, readAt time.Time) (order.Step, time.Time) {
	c.reading.Lock()
	defer c.reading.Unlock()
	return c.registry.Decide(time.Now(), readAt, c.opts.Self, s.order, &s.progress)
}

func (c *Controller) send(ctx context.Context, s *server, until time.Time) error {
	c.opts.OnStep("send")
	o := backend.Order{Fence: s.order.Fence, Order: string(s.order.Kind)}
	if s.order.Kind == order.Load {
		o.Model = s.order.Model
	}
	err := c.opts.Send(ctx, s.order.Address, o, until)
	c.opts.OnStep("sent")
	switch {
	case errors.Is(err, backend.ErrOrderStale):
		c.opts.Logger.Warn("Backend server has taken a later order.", "server", s.order.Server, "fence", o.Fence)
	case errors.Is(err, backend.ErrNoOrders):
		c.opts.Logger.Info("Backend server takes no orders.", "server", s.order.Server)
	case err != nil:
		return err
	default:
		c.opts.Logger.Info("Ordered a backend server.", "server", s.order.Server, "order", o.Order, "fence", o.Fence)
	}
	return nil
}

func (c *Controller) settle(s *server) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s.settled = true
}

// note logs the first failure of an order.
func (c *Controller) note(s *server, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil && !s.failing {
		c.opts.Logger.Warn("Order failed, trying again.", "server", s.order.Server, "order", string(s.order.Kind), "error", err)
	}
	s.failing = err != nil
}
