package dispatch

import (
	"context"
	"math"
	"sync/atomic"
	"time"

	core "github.com/filbertrill/filbertrill/internal/dispatch"
	"github.com/filbertrill/filbertrill/internal/result"
	"github.com/filbertrill/filbertrill/internal/ticket"
)

// leastRetryAfter is the shortest time after which a refused caller should come back.
const leastRetryAfter = time.Second

// Request describes a request that wants a slot.
type Request struct {
	Service string
	Account string
	Bytes   int64
	Hint    core.CostHint
	Prefix  []uint64 // hashes of ever longer leading parts of the prompt
}

// Lease is a granted slot. Its holder must call End once.
type Lease struct {
	Server ticket.Server

	c       *Controller
	service string
	id      core.RequestID
	cost    atomic.Uint64 // bits of the cost so far
	failed  atomic.Bool
}

// Acquire waits for a slot. It returns a result error when the context's deadline passes
// or can't be met, when the context ends, or when no server is joined.
func (c *Controller) Acquire(ctx context.Context, r Request) (*Lease, error) {
	id, granted, err := c.enqueue(ctx, r)
	if err != nil {
		return nil, err
	}
	for {
		start, ok := c.await(ctx, r, id, granted)
		if !ok {
			err := result.Wrap(ctx.Err(), result.DeadlineUnmeetable, "no slot came free in time")
			return nil, err.WithRetryAfter(c.RetryAfter(r.Service, r.Account))
		}
		if lease := c.lease(r, id, start, granted); lease != nil {
			return lease, nil
		}
	}
}

// await returns the grant, or false when the context ended before it.
func (c *Controller) await(ctx context.Context, r Request, id core.RequestID, granted chan core.Start) (core.Start, bool) {
	select {
	case start := <-granted:
		return start, true
	case <-ctx.Done():
	}
	if c.withdraw(r, id) {
		return core.Start{}, false
	}
	return <-granted, true // the grant won the race
}

func (c *Controller) enqueue(ctx context.Context, r Request) (core.RequestID, chan core.Start, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if c.config == nil {
		return 0, nil, result.New(result.NoConfiguration, "no configuration yet")
	}
	if !anyJoined(c.config.ServersOf(r.Service)) {
		return 0, nil, result.New(result.NoServerJoined, "no backend server of %s is joined", r.Service)
	}
	if err := c.checkDeadline(ctx, now, r); err != nil {
		return 0, nil, err
	}
	q := c.queue(r.Service)
	c.nextRequest++
	id := c.nextRequest
	granted := make(chan core.Start, 1)
	q.waiters[id] = granted
	q.queue.Enqueue(core.Request{
		ID:           id,
		Account:      r.Account,
		Bytes:        r.Bytes,
		CostHint:     r.Hint,
		PrefixHashes: r.Prefix,
		Arrived:      now,
	})
	c.signal()
	return id, granted, nil
}

// checkDeadline refuses a request that by the measured drain would wait beyond its deadline.
func (c *Controller) checkDeadline(ctx context.Context, now time.Time, r Request) error {
	deadline, ok := ctx.Deadline()
	if !ok {
		return nil
	}
	wait, ok := c.queue(r.Service).queue.ExpectedWait(now, r.Account)
	if !ok || !now.Add(wait).After(deadline) {
		return nil
	}
	err := result.New(result.DeadlineUnmeetable, "the account's waiting requests take about %s", wait.Round(time.Second))
	return err.WithRetryAfter(retryAfter(wait))
}

// RetryAfter returns when a refused caller should come back, from the measured drain of
// the account's queue here.
func (c *Controller) RetryAfter(service, account string) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	wait, _ := c.queue(service).queue.ExpectedWait(time.Now(), account)
	return retryAfter(wait)
}

// retryAfter is the time in which half of the queue drains.
func retryAfter(wait time.Duration) time.Duration { return max(wait/2, leastRetryAfter) }

func anyJoined(servers []ticket.Server) bool {
	for _, s := range servers {
		if s.State == ticket.ServerJoined {
			return true
		}
	}
	return false
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

// lease turns a grant into a lease. When the server has left in the meantime, the request
// goes back to the front of its queue and lease returns nil.
func (c *Controller) lease(r Request, id core.RequestID, start core.Start, granted chan core.Start) *Lease {
	c.mu.Lock()
	defer c.mu.Unlock()
	q := c.queue(r.Service)
	server, ok := c.config.Server(start.Server)
	if !ok || server.State != ticket.ServerJoined {
		q.queue.Requeue(time.Now(), id)
		q.waiters[id] = granted
		c.signal()
		return nil
	}
	lease := &Lease{Server: server, c: c, service: r.Service, id: id}
	q.leases[id] = lease
	return lease
}

// Progress tells the cost of the running request so far. It takes no lock.
func (l *Lease) Progress(cost core.Cost) { l.cost.Store(math.Float64bits(cost)) }

// Fail marks the run as one that the server did not answer as it should. The server gets
// less work after several such runs in a row.
func (l *Lease) Fail() { l.failed.Store(true) }

// End frees the slot.
func (l *Lease) End(cost core.Cost) {
	l.c.mu.Lock()
	q := l.c.queue(l.service)
	delete(q.leases, l.id)
	q.queue.End(time.Now(), l.id, cost, l.failed.Load())
	l.c.mu.Unlock()
	l.c.signal()
}
