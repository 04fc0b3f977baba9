// Package dispatch runs the decision logic of internal/dispatch in a daemon. It holds the
// daemon's request queues and the dispatchers of the pools that the daemon owns, and
// exchanges their messages with peers.
package dispatch

import (
	"context"
	"log/slog"
	"sync"
	"time"

	core "github.com/filbertrill/filbertrill/internal/dispatch"
	"github.com/filbertrill/filbertrill/internal/peer/pb"
	"github.com/filbertrill/filbertrill/internal/ticket"
)

// Defaults of Options.
const (
	DefaultCostUpdateInterval = 100 * time.Millisecond // between cost updates of running requests
	DefaultTickInterval       = 20 * time.Millisecond
	DefaultExchangeInterval   = 50 * time.Millisecond // between the dispatchers of a service
)

// Members lists the live members of the fleet and resolves member IDs to peer addresses.
// Address returns "" for an unknown member.
type Members interface {
	Live(now time.Time) []*pb.Member
	Address(id string) string
}

// Sender sends a message to the peer at an address.
type Sender interface {
	Send(address string, env *pb.Envelope)
}

// Options configures a Controller. Zero intervals, Scope and Order select the defaults.
type Options struct {
	SelfID             string
	Incarnation        uint64
	Members            Members
	Sender             Sender
	Load               LoadFunc // nil disables load polling
	Zone               string   // of this daemon
	Scope              Scope
	Order              core.Order
	CostUpdateInterval time.Duration
	TickInterval       time.Duration
	ExchangeInterval   time.Duration
	Logger             *slog.Logger
}

// Controller queues requests until a dispatcher grants them slots, and runs the dispatchers
// of the pools that this daemon owns. Its methods are safe for concurrent use.
type Controller struct {
	opts Options
	wake chan struct{}

	mu              sync.Mutex
	config          *ticket.Config
	nextRequest     core.RequestID
	queues          map[string]*serviceQueue // by service
	dispatchers     map[poolKey]*poolState
	lastIncarnation uint64
}

// serviceQueue is this daemon's request queue for one service.
type serviceQueue struct {
	queue          *core.Queue
	waiters        map[core.RequestID]chan core.Start
	leases         map[core.RequestID]*Lease
	costsUpdated   time.Time // last update of the running requests' costs
	lastFullReport time.Time
	lastReport     time.Time // last report, full or partial
	dispatcherID   string    // member ID that received the last report
}

// NewController returns a controller that rejects requests until SetConfig is called.
func NewController(opts Options) *Controller {
	opts.setDefaults()
	return &Controller{
		opts:            opts,
		wake:            make(chan struct{}, 1),
		queues:          map[string]*serviceQueue{},
		dispatchers:     map[poolKey]*poolState{},
		lastIncarnation: opts.Incarnation,
	}
}

func (o *Options) setDefaults() {
	if o.CostUpdateInterval == 0 {
		o.CostUpdateInterval = DefaultCostUpdateInterval
	}
	if o.TickInterval == 0 {
		o.TickInterval = DefaultTickInterval
	}
	if o.ExchangeInterval == 0 {
		o.ExchangeInterval = DefaultExchangeInterval
	}
	if o.Scope == "" {
		o.Scope = ScopeZone
	}
	if o.Order == "" {
		o.Order = core.OrderFair
	}
}

// Run polls server loads, sends reports and drives the dispatchers until ctx is done.
func (c *Controller) Run(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	if c.opts.Load != nil {
		wg.Go(func() { c.pollLoads(ctx) })
	}
	ticker := time.NewTicker(c.opts.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.wake:
			c.step(time.Now(), false)
		case now := <-ticker.C:
			c.step(now, true)
		}
	}
}

// step sends the reports that are due. On a tick it also drives the dispatchers' timers
// and the periodic reports.
func (c *Controller) step(now time.Time, tick bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.config == nil {
		return
	}
	t := c.topology(now)
	if tick {
		c.tickDispatchers(now, t)
	}
	c.reportQueues(now, t, tick)
	c.exchangeReports(now, t, tick)
}

func (c *Controller) signal() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// SetConfig replaces the configuration and updates the dispatchers' pools.
func (c *Controller) SetConfig(config *ticket.Config) {
	c.mu.Lock()
	c.config = config
	t := c.topology(time.Now())
	for key, p := range c.dispatchers {
		p.dispatcher.SetPool(t.pool(config, key))
	}
	c.mu.Unlock()
	c.signal()
}

func (c *Controller) queue(service string) *serviceQueue {
	q, ok := c.queues[service]
	if !ok {
		q = &serviceQueue{
			queue:   core.NewQueue(core.QueueOptions{Incarnation: c.opts.Incarnation, Order: c.opts.Order}),
			waiters: map[core.RequestID]chan core.Start{},
			leases:  map[core.RequestID]*Lease{},
		}
		c.queues[service] = q
	}
	return q
}

// Queued returns the number of an account's requests that wait at this daemon for a
// service, and their total size in bytes.
func (c *Controller) Queued(service, account string) (int, int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.queue(service).queue.Waiting(account)
}

// Idle reports whether this daemon has neither waiting nor running requests.
func (c *Controller) Idle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, q := range c.queues {
		if !q.queue.Idle() {
			return false
		}
	}
	return true
}
