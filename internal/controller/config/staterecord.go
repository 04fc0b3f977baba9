package config

import (
	"context"
	"time"

	"github.com/filbertrill/filbertrill/internal/configsync"
	"github.com/filbertrill/filbertrill/internal/logservice"
	"github.com/filbertrill/filbertrill/internal/ticket"
)

// stateRecordCheck is the time between two looks at whether a state record is due.
const stateRecordCheck = time.Second

// stateRecords is the latest state record that was seen in the log.
type stateRecords struct {
	base   int64
	offset int64
	seen   time.Time
}

func newStateRecords(now time.Time) stateRecords {
	return stateRecords{base: -1, offset: -1, seen: now}
}

// noteStateRecord remembers a state record, and compares it with the state at its base.
// The caller holds the lock.
func (c *Controller) noteStateRecord(r logservice.Record, now time.Time) {
	snapshot, ok := ticket.StateRecord(r.Value)
	if !ok || snapshot.AppliedOffset >= r.Offset || r.Offset <= c.records.offset {
		return
	}
	if snapshot.AppliedOffset >= c.records.base {
		c.records = stateRecords{base: snapshot.AppliedOffset, offset: r.Offset, seen: now}
	}
	state, err := ticket.Restore(snapshot)
	if err != nil {
		c.opts.Logger.Error("A state record is not usable.", "offset", r.Offset, "error", err)
		return
	}
	if c.digests.Differs(snapshot.AppliedOffset, state.Digest()) {
		c.opts.Logger.Error("A state record differs from the state at its base.", "offset", r.Offset, "base", snapshot.AppliedOffset)
	}
}

func (c *Controller) runStateRecords(ctx context.Context) {
	ticker := time.NewTicker(min(stateRecordCheck, c.opts.StateRecords.MaxInterval))
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			c.recordState(ctx, now)
		}
	}
}

// recordState appends a state record when one is due and falls to this daemon. Two daemons
// may both think so: a second state record does no harm.
func (c *Controller) recordState(ctx context.Context, now time.Time) {
	if c.Current() == nil || !configsync.OwnsStateRecords(c.opts.SelfID, c.opts.Members.Live(now)) {
		return
	}
	bounds, err := c.bounds(ctx)
	if err != nil {
		return // noted by the reads of the log
	}
	c.mu.Lock()
	facts := configsync.StateRecordInput{
		Bounds:  bounds,
		Applied: c.state.Applied(),
		Base:    c.records.base,
		Offset:  c.records.offset,
		SeenAt:  c.records.seen,
	}
	if !configsync.StateRecordDue(now, facts, c.opts.StateRecords) {
		c.mu.Unlock()
		return
	}
	snapshot := c.state.Snapshot()
	c.mu.Unlock()
	c.appendState(ctx, snapshot)
}

func (c *Controller) appendState(ctx context.Context, snapshot ticket.Snapshot) {
	value, err := ticket.EncodeSnapshot(snapshot)
	if err != nil {
		c.opts.Logger.Error("State can't be recorded.", "error", err)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, c.opts.ReadTimeout)
	defer cancel()
	offsets, err := c.opts.Log.Append(ctx, c.opts.Topic, [][]byte{value})
	if err != nil {
		c.opts.Logger.Warn("State record was not confirmed.", "error", err)
		return
	}
	c.opts.Logger.Info("Recorded the state.", "offset", offsets[0], "base", snapshot.AppliedOffset)
	c.ApplyAppended(logservice.Record{Offset: offsets[0], Value: value})
}
