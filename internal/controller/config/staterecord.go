package config

import (
	"context"
	"time"

	"github.com/filbertrill/filbertrill/internal/configsync"
	"github.com/filbertrill/filbertrill/internal/logservice"
	"github.com/filbertrill/filbertrill/internal/ticket"
)

// stateRecordCheck is the time between two looks at whether a state record is due.
const stateRecordCheckInterval = time.Second

// stateRecords is the latest state record that was seen in the log.
type latestStateRecord struct {
	base   int64
	offset int64
	seenAt time.Time
}

func newLatestStateRecord(now time.Time) latestStateRecord {
	return latestStateRecord{base: -1, offset: -1, seenAt: now}
}

// noteStateRecord remembers a state record, and compares it with the state at its base.
// The caller holds the lock.
func (c *Controller) trackStateRecord(r logservice.Record, now time.Time) {
	snapshot, ok := ticket.StateRecord(r.Value)
	if !ok || snapshot.AppliedOffset >= r.Offset || r.Offset <= c.latestRecord.offset {
		return
	}
	if snapshot.AppliedOffset >= c.latestRecord.base {
		c.latestRecord = latestStateRecord{base: snapshot.AppliedOffset, offset: r.Offset, seenAt: now}
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
	ticker := time.NewTicker(min(stateRecordCheckInterval, c.opts.StateRecords.MaxInterval))
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			c.appendStateRecordIfDue(ctx, now)
		}
	}
}

// recordState appends a state record when one is due and falls to this daemon. Two daemons
// may both think so: a second state record does no harm.
func (c *Controller) appendStateRecordIfDue(ctx context.Context, now time.Time) {
	if c.Current() == nil || !configsync.OwnsStateRecords(c.opts.SelfID, c.opts.Members.Live(now)) {
		return
	}
	bounds, err := c.bounds(ctx)
	if err != nil {
		return // noted by the reads of the log
	}
	c.mu.Lock()
	input := configsync.StateRecordInput{
		Bounds:  bounds,
		Applied: c.state.Applied(),
		Base:    c.latestRecord.base,
		Offset:  c.latestRecord.offset,
		SeenAt:  c.latestRecord.seenAt,
	}
	if !configsync.StateRecordDue(now, input, c.opts.StateRecords) {
		c.mu.Unlock()
		return
	}
	snapshot := c.state.Snapshot()
	c.mu.Unlock()
	c.appendStateRecord(ctx, snapshot)
}

func (c *Controller) appendStateRecord(ctx context.Context, snapshot ticket.Snapshot) {
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
