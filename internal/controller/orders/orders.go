// Package orders sends load and drain orders to backend servers to put them into their
// configured state. Package order decides when an order may be sent.
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
	"github.com/filbertrill/filbertrill/internal/monotonic"
	"github.com/filbertrill/filbertrill/internal/order"
	"github.com/filbertrill/filbertrill/internal/peer/pb"
)

// Defaults for Options.
const (
	DefaultTopic         = "filbertrill-orders"
	DefaultRetryInterval = 500 * time.Millisecond
	// DefaultDrainDelay is the time from when this daemon applies a server's state leaving to the
	// order to drain. By then, no daemon that is connected to its peers sends the server new
	// requests.
	DefaultDrainDelay = 3 * time.Second
)

const (
	maxReadRecords    = 500 // records in one read
	maxParallelOrders = 8   // orders processed at once
	orderTimeout      = 3 * time.Second
)

// Members provides the daemons among which the servers are divided.
type Members interface {
	Live(now time.Time) []*pb.Member
	Ready(now time.Time) bool
}

// SendFunc sends an order. It must not send any byte once leaseExpired returns true; nil stands for no
// lease.
type SendFunc func(ctx context.Context, address string, o backend.Order, leaseExpired func() bool) error

// Options configure a Controller.
type Options struct {
	Self          order.Sender
	Log           logservice.Log
	Topic         string
	Members       Members
	Send          SendFunc
	RetryInterval time.Duration
	DrainDelay    time.Duration
	// Suspended returns for how long the machine was suspended so far. Leases run on meanwhile. The
	// default is monotonic.Suspended.
	Suspended func() time.Duration
	Logger    *slog.Logger
	// OnStep is called with the name of each step of an order, for tests. It may be nil.
	OnStep func(name string)
}

// Controller sends the orders of the servers that this daemon owns, and retries each until the
// server accepts it.
type Controller struct {
	opts Options

	mu     sync.Mutex
	orders map[string]*serverOrder

	registryMu sync.Mutex // held while the log is read
	registry   *order.Registry
}

// serverOrder is the progress of the order of one server.
type serverOrder struct {
	order    order.Order
	zone     string
	dueAt    time.Time
	settled  bool
	sent     bool // the order was sent and the server responded
	failing  bool // the last attempt failed; the first of successive failures was logged
	progress order.Progress
}

// NewController returns a controller without orders.
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
	if opts.Suspended == nil {
		opts.Suspended = monotonic.Suspended
	}
	if opts.OnStep == nil {
		opts.OnStep = func(string) {}
	}
	return &Controller{opts: opts, orders: map[string]*serverOrder{}, registry: order.NewRegistry()}
}

// DesiredOrder is an order and the data centre of its server.
type DesiredOrder struct {
	Order order.Order
	Zone  string
}

// SetOrders replaces all orders. Orders that have not changed keep their progress.
func (c *Controller) SetOrders(desired []DesiredOrder, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	orders := make(map[string]*serverOrder, len(desired))
	for _, d := range desired {
		id := d.Order.Server
		if old, ok := c.orders[id]; ok && old.order == d.Order {
			orders[id] = old
			continue
		}
		s := &serverOrder{order: d.Order, zone: d.Zone, dueAt: now}
		if d.Order.Kind == order.Drain {
			s.dueAt = now.Add(c.opts.DrainDelay)
		}
		orders[id] = s
	}
	c.orders = orders
}

// Run sends orders until the context is done.
func (c *Controller) Run(ctx context.Context) {
	ticker := time.NewTicker(c.opts.RetryInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			c.sendDue(ctx, now)
		}
	}
}

// sendDue processes each order that is due and owned by this daemon.
func (c *Controller) sendDue(ctx context.Context, now time.Time) {
	due := c.dueOrders(now)
	if len(due) == 0 {
		return
	}
	var group errgroup.Group
	group.SetLimit(maxParallelOrders)
	for _, s := range due {
		group.Go(func() error {
			c.recordResult(s, c.process(ctx, s))
			return nil
		})
	}
	_ = group.Wait()
}

// dueOrders returns the orders to process. It resets the progress of orders whose server another
// daemon owns, so that they are processed again if this daemon becomes the owner.
func (c *Controller) dueOrders(now time.Time) []*serverOrder {
	if !c.opts.Members.Ready(now) {
		return nil
	}
	live := c.opts.Members.Live(now)
	c.mu.Lock()
	defer c.mu.Unlock()
	var due []*serverOrder
	for _, id := range slices.Sorted(maps.Keys(c.orders)) {
		s := c.orders[id]
		if !c.owns(s, live) {
			s.settled, s.sent = false, false
			continue
		}
		if !s.settled && !now.Before(s.dueAt) {
			due = append(due, s)
		}
	}
	return due
}

// owns reports whether this daemon sends the orders of the server. The owner is a live member in
// the server's data centre, or any live member if there is none.
func (c *Controller) owns(s *serverOrder, live []*pb.Member) bool {
	var candidates []*pb.Member
	for _, m := range live {
		if m.Zone == s.zone {
			candidates = append(candidates, m)
		}
	}
	if len(candidates) == 0 {
		candidates = live
	}
	owner := member.Owner("orders/"+s.order.Server, candidates)
	return owner != nil && owner.Id == c.opts.Self.ID
}

// process advances an order until it is settled, must wait or fails.
func (c *Controller) process(ctx context.Context, s *serverOrder) error {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	if s.order.ChecksFence {
		if err := c.send(ctx, s, nil); err != nil {
			return err
		}
		c.markSettled(s)
		return nil
	}
	for ctx.Err() == nil {
		c.opts.OnStep("read")
		readAt, suspended := time.Now(), c.opts.Suspended()
		if err := c.readLog(ctx); err != nil {
			return err
		}
		c.opts.OnStep("decide")
		step, leaseEnd := c.decide(s, readAt)
		if step == order.StepSettled || (step == order.StepClaim && s.sent) {
			c.markSettled(s)
			return nil
		}
		if step == order.StepWait {
			return nil
		}
		leaseExpired := func() bool {
			return !time.Now().Add(c.opts.Suspended() - suspended).Before(leaseEnd)
		}
		if err := c.performStep(ctx, s, step, leaseExpired); err != nil {
			return err
		}
	}
	return ctx.Err()
}

// performStep appends a claim, or sends the order and appends the end of its claim.
func (c *Controller) performStep(ctx context.Context, s *serverOrder, step order.Step, leaseExpired func() bool) error {
	if step == order.StepClaim {
		return c.appendRecord(ctx, s, order.RecordClaim)
	}
	if !s.sent {
		if err := c.send(ctx, s, leaseExpired); err != nil {
			return err
		}
		s.sent = true
	}
	return c.appendRecord(ctx, s, order.RecordDone)
}

func (c *Controller) decide(s *serverOrder, readAt time.Time) (order.Step, time.Time) {
	c.registryMu.Lock()
	defer c.registryMu.Unlock()
	return c.registry.Decide(time.Now(), readAt, c.opts.Self, s.order, &s.progress)
}

func (c *Controller) send(ctx context.Context, s *serverOrder, leaseExpired func() bool) error {
	c.opts.OnStep("send")
	o := backend.Order{Fence: s.order.Fence, Kind: string(s.order.Kind)}
	if s.order.Kind == order.Load {
		o.Model = s.order.Model
	}
	err := c.opts.Send(ctx, s.order.Address, o, leaseExpired)
	c.opts.OnStep("sent")
	switch {
	case errors.Is(err, backend.ErrOrderSuperseded):
		c.opts.Logger.Warn("Backend server has accepted a later order.", "server", s.order.Server, "fence", o.Fence)
	case errors.Is(err, backend.ErrOrdersUnsupported):
		c.opts.Logger.Info("Backend server does not support orders.", "server", s.order.Server)
	case err != nil:
		return err
	default:
		c.opts.Logger.Info("Sent order to backend server.", "server", s.order.Server, "order", o.Kind, "fence", o.Fence)
	}
	return nil
}

func (c *Controller) markSettled(s *serverOrder) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s.settled = true
}

// recordResult logs the first of successive failures of an order.
func (c *Controller) recordResult(s *serverOrder, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil && !s.failing {
		c.opts.Logger.Warn("Order failed, retrying.", "server", s.order.Server, "order", string(s.order.Kind), "error", err)
	}
	s.failing = err != nil
}
