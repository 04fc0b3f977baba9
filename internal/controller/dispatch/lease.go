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

// minRetryAfter is the shortest retry delay suggested to a refused caller.
const minRetryAfter = time.Second

// Request describes a request that needs a slot.
type Request struct {
	Service      string
	Account      string
	Bytes        int64
	Hint         core.CostHint
	PrefixHashes []uint64 // hashes of leading parts of the prompt, shortest first
}

// Lease is a granted slot. Its holder must call Release exactly once.
type Lease struct {
	Server ticket.Server

	controller *Controller
	service    string
	id         core.RequestID
	cost       atomic.Uint64 // cost so far, as math.Float64bits
	failed     atomic.Bool
}

// Acquire waits for a slot. It returns a result.NoConfiguration error before the first
// SetConfig, result.NoServerJoined when no server of the service is joined, and
// result.DeadlineUnmeetable when ctx ends first or the expected wait exceeds its deadline.
func (c *Controller) Acquire(ctx context.Context, r Request) (*Lease, error) {
	id, granted, err := c.enqueue(ctx, r)
	if err != nil {
		return nil, err
	}
	for {
		start, ok := c.awaitGrant(ctx, r, id, granted)
		if !ok {
			err := result.Wrap(ctx.Err(), result.DeadlineUnmeetable, "no slot was granted in time")
			return nil, err.WithRetryAfter(c.RetryAfter(r.Service, r.Account))
		}
		if lease := c.newLease(r, id, start, granted); lease != nil {
			return lease, nil
		}
	}
}

// awaitGrant returns the grant, or false when ctx ended before one arrived.
func (c *Controller) awaitGrant(ctx context.Context, r Request, id core.RequestID, granted chan core.Start) (core.Start, bool) {
	select {
	case start := <-granted:
		return start, true
	case <-ctx.Done():
	}
	if c.removeQueued(r, id) {
		return core.Start{}, false
	}
	return <-granted, true // the request was granted before it could be removed
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
		PrefixHashes: r.PrefixHashes,
		Arrived:      now,
	})
	c.signal()
	return id, granted, nil
}

// checkDeadline returns a DeadlineUnmeetable error when the expected wait, measured from how
// fast the account's queue drains, exceeds the deadline of ctx.
func (c *Controller) checkDeadline(ctx context.Context, now time.Time, r Request) error {
	deadline, ok := ctx.Deadline()
	if !ok {
		return nil
	}
	wait, ok := c.queue(r.Service).queue.ExpectedWait(now, r.Account)
	if !ok || !now.Add(wait).After(deadline) {
		return nil
	}
	err := result.New(result.DeadlineUnmeetable, "expected wait of about %s in the account's queue exceeds the deadline", wait.Round(time.Second))
	return err.WithRetryAfter(retryAfter(wait))
}

// RetryAfter returns the retry delay for a refused caller, derived from how fast the
// account's queue at this daemon drains.
func (c *Controller) RetryAfter(service, account string) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	wait, _ := c.queue(service).queue.ExpectedWait(time.Now(), account)
	return retryAfter(wait)
}

// retryAfter returns half of the expected wait, the time in which half of the queue drains.
func retryAfter(wait time.Duration) time.Duration { return max(wait/2, minRetryAfter) }

func anyJoined(servers []ticket.Server) bool {
	for _, s := range servers {
		if s.State == ticket.ServerJoined {
			return true
		}
	}
	return false
}

// removeQueued removes a waiting request. It returns false when the request was already
// granted.
func (c *Controller) removeQueued(r Request, id core.RequestID) bool {
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

// newLease returns the lease for a grant. It returns nil and puts the request back at the
// front of its queue when the server is no longer joined.
func (c *Controller) newLease(r Request, id core.RequestID, start core.Start, granted chan core.Start) *Lease {
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
	lease := &Lease{Server: server, controller: c, service: r.Service, id: id}
	q.leases[id] = lease
	return lease
}

// SetCost records the cost of the running request so far, without locking.
func (l *Lease) SetCost(cost core.Cost) { l.cost.Store(math.Float64bits(cost)) }

// MarkFailed marks the run as failed by the server. Several failed runs in a row reduce the
// work that the server gets.
func (l *Lease) MarkFailed() { l.failed.Store(true) }

// Release frees the slot and reports the final cost of the run.
func (l *Lease) Release(cost core.Cost) {
	l.controller.mu.Lock()
	q := l.controller.queue(l.service)
	delete(q.leases, l.id)
	q.queue.End(time.Now(), l.id, cost, l.failed.Load())
	l.controller.mu.Unlock()
	l.controller.signal()
}
