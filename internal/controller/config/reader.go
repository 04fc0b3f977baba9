package config

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/filbertrill/filbertrill/internal/configsync"
	"github.com/filbertrill/filbertrill/internal/logservice"
	"github.com/filbertrill/filbertrill/internal/member"
)

// errLogTruncated means that the state can't be restored from the log: records that this daemon
// lacks have expired, and no state record in the log includes them.
var errLogTruncated = errors.New("the log no longer has the next records, nor a state record that includes them")

// Run keeps the configuration up to date from the log and the peers until the context ends.
func (c *Controller) Run(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() { c.runTicks(ctx) })
	wg.Go(func() { c.runStateRecords(ctx) })
	for ctx.Err() == nil {
		c.readToEnd(ctx)
		select {
		case <-ctx.Done():
		case <-c.wake:
		case <-time.After(c.pollDelay(time.Now())):
		}
	}
}

func (c *Controller) runTicks(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		c.tick(time.Now())
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// Wake triggers a read of the log now.
func (c *Controller) Wake() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

func (c *Controller) pollDelay(now time.Time) time.Duration {
	intervals := configsync.PollIntervals{Delegate: c.opts.DelegatePollInterval, Others: c.opts.OthersPollInterval}
	return intervals.Next(c.IsDelegate(now), c.age(now), c.opts.StaleAfter)
}

// IsDelegate reports whether this daemon reads the log for its zone.
func (c *Controller) IsDelegate(now time.Time) bool {
	delegate := member.Delegate(c.opts.Members.Self().Zone, c.opts.Members.Live(now))
	return delegate != nil && delegate.Id == c.opts.SelfID
}

// readToEnd reads and applies records until it reaches the end of the log or a read fails.
func (c *Controller) readToEnd(ctx context.Context) {
	for ctx.Err() == nil {
		end, err := c.readOnce(ctx)
		if ctx.Err() != nil {
			return
		}
		c.recordReadResult(err)
		if err != nil || end {
			return
		}
	}
}

func (c *Controller) recordReadResult(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil && c.lastReadErr == nil {
		c.opts.Logger.Warn("Failed to read the log, continuing with the last configuration.", "error", err)
	}
	if err == nil && c.lastReadErr != nil {
		c.opts.Logger.Info("Log is available again.")
	}
	c.lastReadErr = err
	if err == nil {
		c.lastRead = time.Now()
	}
}

// LogHealth returns the time of the last successful read of the log, zero for never, and the
// error of the last read, nil if it succeeded.
func (c *Controller) LogHealth() (time.Time, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastRead, c.lastReadErr
}

func (c *Controller) next() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state.NextOffset()
}

// readOnce reads and applies the next records, and reports whether it reached the end of
// the log.
func (c *Controller) readOnce(ctx context.Context) (end bool, err error) {
	next := c.next()
	started := time.Now()
	records, err := c.read(ctx, next)
	if errors.Is(err, logservice.ErrOffsetExpired) {
		return false, c.readRetained(ctx)
	}
	more := errors.Is(err, logservice.ErrMoreRecords)
	if err != nil && !more {
		return false, err
	}
	c.Apply(records)
	if more || len(records) == maxReadRecords {
		return false, nil
	}
	c.recordLogEnd(started, next+int64(len(records)))
	return true, nil
}

// recordLogEnd records that a read which began at started found no records at or after the
// offset end.
func (c *Controller) recordLogEnd(started time.Time, end int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state.NextOffset() < end {
		return
	}
	c.freshness.RecordLogRead(started)
	c.updateFreshness(time.Now())
}

func (c *Controller) read(ctx context.Context, offset int64) ([]logservice.Record, error) {
	ctx, cancel := context.WithTimeout(ctx, c.opts.ReadTimeout)
	defer cancel()
	return c.opts.Log.Read(ctx, c.opts.Topic, offset, maxReadRecords)
}

func (c *Controller) bounds(ctx context.Context) (logservice.Bounds, error) {
	ctx, cancel := context.WithTimeout(ctx, c.opts.ReadTimeout)
	defer cancel()
	return c.opts.Log.Bounds(ctx, c.opts.Topic)
}

// readRetained reads and applies everything in the log, from its first offset on, so that
// the state is restored from a state record. It returns errLogTruncated if there is no
// suitable one.
func (c *Controller) readRetained(ctx context.Context) error {
	bounds, err := c.bounds(ctx)
	if err != nil {
		return err
	}
	for offset := bounds.First; offset < bounds.Next; {
		records, err := c.read(ctx, offset)
		if err != nil && !errors.Is(err, logservice.ErrMoreRecords) {
			return err
		}
		if len(records) == 0 {
			break
		}
		c.Apply(records)
		offset += int64(len(records))
	}
	if c.next() < bounds.First {
		return errLogTruncated
	}
	return nil
}
