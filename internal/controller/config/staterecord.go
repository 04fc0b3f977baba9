package config

import (
	"context"
	"time"

	"github.com/filbertrill/filbertrill/internal/configsync"
	"github.com/filbertrill/filbertrill/internal/logservice"
	"github.com/filbertrill/filbertrill/internal/ticket"
)

// stateRecordCheckInterval is the time between two checks whether a state record is due.
const stateRecordCheckInterval = time.Second

// latestStateRecord is the state record with the highest base that was seen in the log. The
// base is the offset of the last record that its state includes; base and offset are -1
// while there is none.
type latestStateRecord struct {
	base   int64
	offset int64
	seenAt time.Time
}

func newLatestStateRecord(now time.Time) latestStateRecord {
	return latestStateRecord{base: -1, offset: -1, seenAt: now}
}

// trackStateRecord updates the latest state record if r is a state record, and logs an error
// if its state differs from the daemon's own state at its base. The caller holds the lock.
func (c *Controller) trackStateRecord(r logservice.Record, now time.Time) {
	snapshot, ok := ticket.DecodeStateRecord(r.Value)
	if !ok || snapshot.AppliedOffset >= r.Offset || r.Offset <= c.latestRecord.offset {
		return
	}
	if snapshot.AppliedOffset >= c.latestRecord.base {
		c.latestRecord = latestStateRecord{base: snapshot.AppliedOffset, offset: r.Offset, seenAt: now}
	}
	state, err := ticket.Restore(snapshot)
	if err != nil {
		c.opts.Logger.Error("Read an invalid state record.", "offset", r.Offset, "error", err)
		return
	}
	if c.digests.Differs(snapshot.AppliedOffset, state.Digest()) {
		c.opts.Logger.Error("State record differs from this daemon's state at its base.", "offset", r.Offset, "base", snapshot.AppliedOffset)
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

// appendStateRecordIfDue appends a state record if one is due and this daemon owns that task.
// Daemons whose member views differ may both append one, which is harmless.
func (c *Controller) appendStateRecordIfDue(ctx context.Context, now time.Time) {
	if c.Current() == nil || !configsync.OwnsStateRecords(c.opts.SelfID, c.opts.Members.Live(now)) {
		return
	}
	bounds, err := c.bounds(ctx)
	if err != nil {
		return // the reads of the log report that it fails
	}
	c.mu.Lock()
	input := configsync.StateRecordInput{
		Bounds:  bounds,
		Applied: c.state.AppliedOffset(),
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
		c.opts.Logger.Error("Failed to encode a state record.", "error", err)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, c.opts.ReadTimeout)
	defer cancel()
	offsets, err := c.opts.Log.Append(ctx, c.opts.Topic, [][]byte{value})
	if err != nil {
		c.opts.Logger.Warn("Failed to append a state record, it may or may not be in the log.", "error", err)
		return
	}
	c.opts.Logger.Info("Appended a state record.", "offset", offsets[0], "base", snapshot.AppliedOffset)
	c.ApplyAppended(logservice.Record{Offset: offsets[0], Value: value})
}
