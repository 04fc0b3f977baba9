// Package dispatch runs the pure decisions of package dispatch: it owns the queues of
// this daemon, the dispatchers whose services fall to it, and the messages between them.
package dispatch

import (
	"context"
	"log/slog"
	"sync"
	"time"

	core "github.com/filbertrill/filbertrill/internal/dispatch"
	"github.com/filbertrill/filbertrill/internal/member"
	"github.com/filbertrill/filbertrill/internal/peer/pb"
	"github.com/filbertrill/filbertrill/internal/result"
	"github.com/filbertrill/filbertrill/internal/ticket"
)

// Defaults of Options.
const (
	DefaultReportInterval = 100 * time.Millisecond // of running requests' progress
	DefaultTickInterval   = 50 * time.Millisecond
)

// Members tells who may hold roles.
type Members interface {
	Live(now time.Time) []*pb.Member
	Address(id string) string
}

// Sender sends a message to the peer at an address.
type Sender interface {
	Send(address string, env *pb.Envelope)
}

// Options configure a Controller.
type Options struct {
	SelfID         string
	Incarnation    uint64
	Members        Members
	Sender         Sender
	Zone           string // of this daemon
	Scope          Scope
	Order          core.Order
	ReportInterval time.Duration
	TickInterval   time.Duration
	Logger         *slog.Logger
}

// Controller grants and awaits slots. Its methods may be called from any goroutine.
type Controller struct {
	opts Options
	wake chan struct{}

	mu          sync.Mutex
	config      *ticket.Config
	nextRequest core.RequestID
	queues      map[string]*serviceQueue
	dispatchers map[string]*core.Dispatcher
	lastInc     uint64
}

type serviceQueue struct {
	queue      *core.Queue
	waiters    map[core.RequestID]chan core.Start
	reported   time.Time
	dispatcher string // member id that the last report went to
}

// NewController returns a controller that grants nothing before SetConfig.
func NewController(opts Options) *Controller {
	if opts.ReportInterval == 0 {
		opts.ReportInterval = DefaultReportInterval
	}
	if opts.TickInterval == 0 {
		opts.TickInterval = DefaultTickInterval
	}
	return &Controller{
		opts:        opts,
		wake:        make(chan struct{}, 1),
		queues:      map[string]*serviceQueue{},
		dispatchers: map[string]*core.Dispatcher{},
		lastInc:     opts.Incarnation,
	}
}

// Run sends reports and keeps the dispatchers until the context ends.
func (c *Controller) Run(ctx context.Context) {
	ticker := time.NewTicker(c.opts.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.wake:
			c.flush(time.Now(), false)
		case now := <-ticker.C:
			c.tick(now)
		}
	}
}

func (c *Controller) signal() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// SetConfig takes in a new configuration.
func (c *Controller) SetConfig(config *ticket.Config) {
	c.mu.Lock()
	c.config = config
	for service, d := range c.dispatchers {
		d.SetPool(poolOf(config, service))
	}
	c.mu.Unlock()
	c.signal()
}

func poolOf(config *ticket.Config, service string) core.Pool {
	pool := core.Pool{Service: service, Weights: map[string]float64{}}
	if s, ok := config.Service(service); ok {
		pool.Standby = s.Standby
	}
	for _, s := range config.ServersOf(service) {
		pool.Servers = append(pool.Servers, core.ServerSpec{
			ID:      s.ID,
			Address: s.Address,
			Slots:   s.Slots,
			Open:    s.State == ticket.ServerJoined,
		})
	}
	for _, a := range config.Accounts() {
		pool.Weights[a.ID] = a.Weight
	}
	return pool
}

// Request describes a request that wants a slot.
type Request struct {
	Service  string
	Account  string
	Bytes    int64
	Estimate core.Cost
}

// Lease is a granted slot. Its holder must call End once.
type Lease struct {
	Server ticket.Server

	c       *Controller
	service string
	id      core.RequestID
}

// Acquire waits for a slot. It returns a result error when the context ends or no server is joined.
func (c *Controller) Acquire(ctx context.Context, r Request) (*Lease, error) {
	id, granted, err := c.enqueue(r)
	if err != nil {
		return nil, err
	}
	select {
	case start := <-granted:
		return c.lease(r, id, start)
	case <-ctx.Done():
	}
	if c.withdraw(r, id) {
		return nil, result.Wrap(ctx.Err(), result.DeadlineUnmeetable, "no slot came free in time")
	}
	// The grant won the race against the deadline.
	return c.lease(r, id, <-granted)
}

func (c *Controller) enqueue(r Request) (core.RequestID, chan core.Start, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.config == nil {
		return 0, nil, result.New(result.NoConfiguration, "no configuration yet")
	}
	if !anyJoined(c.config.ServersOf(r.Service)) {
		return 0, nil, result.New(result.NoServerJoined, "no backend server of %s is joined", r.Service)
	}
	q := c.queue(r.Service)
	c.nextRequest++
	id := c.nextRequest
	granted := make(chan core.Start, 1)
	q.waiters[id] = granted
	q.queue.Enqueue(core.Request{
		ID:       id,
		Account:  r.Account,
		Bytes:    r.Bytes,
		Estimate: r.Estimate,
		Arrived:  time.Now(),
	})
	c.signal()
	return id, granted, nil
}

func anyJoined(servers []ticket.Server) bool {
	for _, s := range servers {
		if s.State == ticket.ServerJoined {
			return true
		}
	}
	return false
}

func (c *Controller) queue(service string) *serviceQueue {
	q, ok := c.queues[service]
	if !ok {
		q = &serviceQueue{queue: core.NewQueue(c.opts.Incarnation), waiters: map[core.RequestID]chan core.Start{}}
		c.queues[service] = q
	}
	return q
}

// withdraw takes a waiting request out, and reports false when it was granted already.
func (c *Controller) withdraw(r Request, id core.RequestID) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	q := c.queue(r.Service)
	if !q.queue.Remove(r.Account, id) {
		return false
	}
	delete(q.waiters, id)
	c.signal()
	return true
}

// lease turns a grant into a lease, unless the server has left in the meantime.
func (c *Controller) lease(r Request, id core.RequestID, start core.Start) (*Lease, error) {
	lease := &Lease{c: c, service: r.Service, id: id}
	c.mu.Lock()
	server, ok := c.config.Server(start.Server)
	c.mu.Unlock()
	if !ok || server.State != ticket.ServerJoined {
		lease.End(0)
		return nil, result.New(result.NoServerJoined, "backend server %s left", start.Server)
	}
	lease.Server = server
	return lease, nil
}

// Progress tells the cost of the running request so far.
func (l *Lease) Progress(cost core.Cost) {
	l.c.mu.Lock()
	defer l.c.mu.Unlock()
	l.c.queue(l.service).queue.Progress(l.id, cost)
}

// End frees the slot.
func (l *Lease) End(cost core.Cost) {
	l.c.mu.Lock()
	l.c.queue(l.service).queue.End(l.id, cost)
	l.c.mu.Unlock()
	l.c.signal()
}

// Queued returns how many requests, and bytes of them, of an account wait here for a service.
func (c *Controller) Queued(service, account string) (int, int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.queue(service).queue.Waiting(account)
}

// Idle reports whether no request waits or runs at this daemon.
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

// tick drives the dispatchers' timers and reports progress.
func (c *Controller) tick(now time.Time) {
	c.mu.Lock()
	for service, d := range c.dispatchers {
		c.deliver(now, service, d, d.Tick(now))
	}
	c.mu.Unlock()
	c.flush(now, true)
}

// flush sends the reports of queues that changed, and with progress also of those that run.
func (c *Controller) flush(now time.Time, progress bool) {
	live := c.opts.Members.Live(now)
	c.mu.Lock()
	defer c.mu.Unlock()
	for service, q := range c.queues {
		owner := member.Owner(service, live)
		if owner == nil {
			continue
		}
		moved := owner.Id != q.dispatcher
		due := progress && !q.queue.Idle() && now.Sub(q.reported) >= c.opts.ReportInterval
		if !q.queue.Dirty() && !due && !moved {
			continue
		}
		q.dispatcher = owner.Id
		q.reported = now
		c.report(now, service, q, owner)
	}
}

func (c *Controller) report(now time.Time, service string, q *serviceQueue, owner *pb.Member) {
	report := q.queue.Report(now)
	if owner.Id == c.opts.SelfID {
		c.handleReport(now, service, c.opts.SelfID, report)
		return
	}
	body := &pb.Envelope_DemandReport{DemandReport: reportToProto(service, report)}
	c.opts.Sender.Send(owner.PeerAddress, &pb.Envelope{Body: body})
}

// DemandReport takes in a peer's report.
func (c *Controller) DemandReport(from string, m *pb.DemandReport, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.handleReport(now, m.Service, from, reportFromProto(m))
}

func (c *Controller) handleReport(now time.Time, service, from string, report core.Report) {
	if c.config == nil {
		return
	}
	d, ok := c.dispatchers[service]
	if !ok {
		c.lastInc = max(c.lastInc+1, uint64(now.UnixNano()))
		d = core.NewDispatcher(c.lastInc, poolOf(c.config, service))
		c.dispatchers[service] = d
		c.opts.Logger.Info("Became the dispatcher of a service.", "service", service)
	}
	c.deliver(now, service, d, d.Report(now, from, report))
}

func (c *Controller) deliver(now time.Time, service string, d *core.Dispatcher, actions []core.Send) {
	for _, a := range actions {
		if a.Daemon == c.opts.SelfID {
			c.handleGrants(service, d.Incarnation(), a.Grants)
			continue
		}
		address := c.opts.Members.Address(a.Daemon)
		if address == "" {
			continue
		}
		body := &pb.Envelope_GrantBatch{GrantBatch: grantsToProto(service, d.Incarnation(), a.Grants)}
		c.opts.Sender.Send(address, &pb.Envelope{Body: body})
	}
}

// GrantBatch takes in a dispatcher's grants.
func (c *Controller) GrantBatch(m *pb.GrantBatch) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.handleGrants(m.Service, m.DispatcherIncarnation, grantsFromProto(m))
}

func (c *Controller) handleGrants(service string, dispatcher uint64, grants []core.Grant) {
	q := c.queue(service)
	for _, start := range q.queue.Grants(dispatcher, grants) {
		waiter, ok := q.waiters[start.Request]
		if !ok {
			continue
		}
		delete(q.waiters, start.Request)
		waiter <- start
	}
	c.signal()
}
