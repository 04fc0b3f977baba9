// Package claims runs a claim.Table. It performs the calls to the log, drives the timers and
// delivers the decisions to waiting callers.
package claims

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/filbertrill/filbertrill/internal/claim"
	"github.com/filbertrill/filbertrill/internal/logservice"
)

// Defaults for Options.
const (
	DefaultTopic        = "filbertrill-claims"
	DefaultTickInterval = 10 * time.Millisecond
	DefaultCallTimeout  = 2 * time.Second
	maxReadRecords      = 500 // records in one read
)

// Metrics records claim metrics.
type Metrics interface {
	ObserveClaim(decision string, d time.Duration)
	SetClaims(requests, keys, unwritten int)
}

// Options configure a Controller.
type Options struct {
	Log          logservice.Log
	Topic        string
	Table        claim.Options
	TickInterval time.Duration
	CallTimeout  time.Duration
	Logger       *slog.Logger
	Metrics      Metrics // may be nil
}

// Controller decides claim requests. Its methods are safe for concurrent use.
type Controller struct {
	opts Options
	wg   sync.WaitGroup

	mu      sync.Mutex
	table   *claim.Table
	ctx     context.Context // parent of the contexts of calls; nil before Run, done after it
	waiters map[claim.AttemptID]chan claim.Decision
	logDown bool
}

// NewController returns a controller that decides requests while Run is running.
func NewController(opts Options) *Controller {
	if opts.Topic == "" {
		opts.Topic = DefaultTopic
	}
	if opts.TickInterval == 0 {
		opts.TickInterval = DefaultTickInterval
	}
	if opts.CallTimeout == 0 {
		opts.CallTimeout = DefaultCallTimeout
	}
	if opts.Table.Window == 0 {
		opts.Table.Window = claim.DefaultWindow
	}
	if opts.Table.MaxClockSkew == 0 {
		opts.Table.MaxClockSkew = claim.DefaultMaxClockSkew
	}
	return &Controller{opts: opts, table: claim.NewTable(opts.Table), waiters: map[claim.AttemptID]chan claim.Decision{}}
}

// Run drives the table until the context is done, then waits for the calls in flight.
func (c *Controller) Run(ctx context.Context) {
	c.mu.Lock()
	c.ctx = ctx
	c.mu.Unlock()
	ticker := time.NewTicker(c.opts.TickInterval)
	defer ticker.Stop()
	defer c.wg.Wait()
	for {
		c.step(claim.Tick{})
		c.report()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// Claim returns whether the attempt may run. After the decision claim.Run, the caller must call
// End once. If the context is done first, Claim returns its error, and the attempt must not run.
func (c *Controller) Claim(ctx context.Context, req claim.Request) (claim.Decision, error) {
	start := time.Now()
	decisions := make(chan claim.Decision, 1)
	c.mu.Lock()
	c.waiters[req.Attempt] = decisions
	c.mu.Unlock()
	c.step(claim.RequestReceived{Request: req})
	select {
	case decision := <-decisions:
		c.observe(decision.Kind, time.Since(start))
		return decision, nil
	case <-ctx.Done():
	}
	c.cancel(req.Attempt, decisions)
	return claim.Decision{}, ctx.Err()
}

// cancel cancels a request whose caller has disconnected. If the request was allowed to run in the
// meantime, cancel ends the run.
func (c *Controller) cancel(attempt claim.AttemptID, decisions chan claim.Decision) {
	c.step(claim.RequestCanceled{Attempt: attempt})
	c.mu.Lock()
	delete(c.waiters, attempt)
	c.mu.Unlock()
	select {
	case decision := <-decisions:
		if decision.Kind == claim.Run {
			c.End(attempt, nil)
		}
	default:
	}
}

// End records the end of an attempt that was allowed to run. The outcome must be nil if, and only
// if, nothing was sent to a backend server.
func (c *Controller) End(attempt claim.AttemptID, outcome *claim.Outcome) {
	c.step(claim.RunEnded{Attempt: attempt, Outcome: outcome})
}

// Flush waits until all records are in the log. It returns false if the context is done first.
func (c *Controller) Flush(ctx context.Context) bool {
	ticker := time.NewTicker(c.opts.TickInterval)
	defer ticker.Stop()
	for {
		c.mu.Lock()
		unwritten := c.table.Unwritten()
		c.mu.Unlock()
		if unwritten == 0 {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-ticker.C:
		}
	}
}

// step passes an event to the table and performs the returned actions.
func (c *Controller) step(event claim.Event) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, action := range c.table.Step(time.Now(), event) {
		switch a := action.(type) {
		case claim.Respond:
			c.respond(a.Decision)
		case claim.AppendBatch:
			c.callLog(func(ctx context.Context) claim.Event { return c.appendBatch(ctx, a.Batch) })
		case claim.ReadLog:
			c.callLog(func(ctx context.Context) claim.Event { return c.readLog(ctx, a.Offset) })
		case claim.FindStart:
			c.callLog(c.findStart)
		}
	}
}

func (c *Controller) respond(decision claim.Decision) {
	if waiter, ok := c.waiters[decision.Attempt]; ok {
		delete(c.waiters, decision.Attempt)
		waiter <- decision
	}
}

// callLog calls the log in a new goroutine and passes the result to the table. The caller must
// hold c.mu.
func (c *Controller) callLog(do func(ctx context.Context) claim.Event) {
	parent := c.ctx
	if parent == nil {
		parent = context.Background()
	}
	if parent.Err() != nil {
		return // Run is ending
	}
	c.wg.Go(func() {
		ctx, cancel := context.WithTimeout(parent, c.opts.CallTimeout)
		defer cancel()
		c.step(do(ctx))
	})
}

func (c *Controller) appendBatch(ctx context.Context, batch claim.Batch) claim.Event {
	value, err := claim.Encode(batch)
	if err != nil {
		c.opts.Logger.Error("Encoding claims failed.", "error", err)
		return claim.AppendFailed{NotAppended: true}
	}
	offsets, err := c.opts.Log.Append(ctx, c.opts.Topic, [][]byte{value})
	if err != nil {
		c.opts.Logger.Debug("Append of claims failed, or its outcome is unknown.", "error", err)
		return claim.AppendFailed{NotAppended: errors.Is(err, logservice.ErrNotAppended)}
	}
	return claim.Appended{Offset: offsets[0]}
}

func (c *Controller) readLog(ctx context.Context, offset int64) claim.Event {
	records, err := c.opts.Log.Read(ctx, c.opts.Topic, offset, maxReadRecords)
	if errors.Is(err, logservice.ErrOffsetExpired) {
		c.opts.Logger.Warn("Claims expired from the log before they were read.", "offset", offset)
		return claim.OffsetExpired{}
	}
	more := errors.Is(err, logservice.ErrMoreRecords)
	if err != nil && !more {
		return claim.ReadFailed{}
	}
	batches := make([]claim.Batch, len(records))
	for i, r := range records {
		batches[i] = c.decode(r)
	}
	return claim.ReadCompleted{Batches: batches, AtEnd: !more && len(records) < maxReadRecords}
}

func (c *Controller) decode(r logservice.Record) claim.Batch {
	batch, err := claim.Decode(r.Value)
	if err != nil {
		c.opts.Logger.Warn("A record of the claims topic can't be read, refusing keys from before it that it may claim.", "offset", r.Offset, "error", err)
	}
	return batch
}

func (c *Controller) observe(kind claim.DecisionKind, d time.Duration) {
	if c.opts.Metrics != nil {
		c.opts.Metrics.ObserveClaim(kind.String(), d)
	}
}

// report updates the gauges, and logs when the log becomes unavailable or available again.
func (c *Controller) report() {
	c.mu.Lock()
	requests, keys := c.table.Size()
	unwritten := c.table.Unwritten()
	downSince := c.table.LogDownSince()
	down := !downSince.IsZero() && time.Since(downSince) > c.opts.CallTimeout
	changed := down != c.logDown
	c.logDown = down
	c.mu.Unlock()
	if c.opts.Metrics != nil {
		c.opts.Metrics.SetClaims(requests, keys, unwritten)
	}
	if !changed {
		return
	}
	if down {
		c.opts.Logger.Warn("Log is unavailable, refusing unrepeatable requests.", "unwritten", unwritten)
		return
	}
	c.opts.Logger.Info("Log is available again.")
}
