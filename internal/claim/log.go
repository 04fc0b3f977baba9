package claim

import (
	"bytes"
	"maps"
	"slices"
	"time"
)

// handleAppended handles a successful append. A batch at the next offset is applied without
// reading it back.
func (t *Table) handleAppended(now time.Time, offset int64) {
	t.logAnswered()
	batch := t.outbox.complete()
	if offset == t.index.nextOffset {
		t.apply(now, batch)
		t.index.trimBodies(t.opts.MaxBodyBytes)
		return
	}
	t.targetOffset = max(t.targetOffset, offset)
	t.nextReadAt = now
}

// handleAppendFailed puts the batch in flight back into the outbox. Claims of abandoned requests
// are not sent again.
func (t *Table) handleAppendFailed(now time.Time, notAppended bool) {
	t.logFailed(now)
	t.outbox.requeue(now.Add(t.opts.Backoff), notAppended)
	for attempt := range t.abandoned {
		t.outbox.remove(KindClaim, attempt)
	}
	if !notAppended {
		t.scheduleRead(now)
	}
}

// scheduleRead makes the next read start at the given time at the latest.
func (t *Table) scheduleRead(at time.Time) {
	if at.Before(t.nextReadAt) {
		t.nextReadAt = at
	}
}

// handleRead applies the batches that a read returned.
func (t *Table) handleRead(now time.Time, e ReadCompleted) {
	t.readPending = false
	t.logAnswered()
	t.setCompleteSince(e.Batches)
	for i, batch := range e.Batches {
		// An append that completed during the read may have advanced nextOffset.
		if t.readOffset+int64(i) == t.index.nextOffset {
			t.apply(now, batch)
		}
	}
	t.index.trimBodies(t.opts.MaxBodyBytes)
	t.nextReadAt = now
	if !e.AtEnd {
		return
	}
	t.index.setCompleteSince(now)
	t.lastReadToEnd = t.readStartedAt
	t.nextReadAt = now.Add(t.opts.IdlePollInterval)
	if t.anyWaiting() {
		t.nextReadAt = now.Add(t.opts.BusyPollInterval)
	}
	if t.outbox.verify == verifyReading {
		t.outbox.verify = verifyNone
	}
}

// setCompleteSince sets the time since which the index is complete, at the first read after a
// start in the middle of the log. It uses the newest batch of the read, because a delayed append
// can put an old batch behind newer ones.
func (t *Table) setCompleteSince(batches []Batch) {
	var newest time.Time
	for _, batch := range batches {
		if batch.CreatedAt.After(newest) {
			newest = batch.CreatedAt
		}
	}
	if !newest.IsZero() {
		t.index.setCompleteSince(newest)
	}
}

// apply applies the batch at the next offset and decides the open requests of its keys.
func (t *Table) apply(now time.Time, batch Batch) {
	if batch.CreatedAt.IsZero() {
		batch.Unreadable, batch.CreatedAt = true, now
	}
	t.index.apply(batch)
	if batch.Unreadable {
		t.decideAll(now) // before claims of this daemon are read that may not be effective
		return
	}
	own := batch.Daemon == t.opts.Daemon && batch.Incarnation == t.opts.Incarnation
	for _, r := range batch.Records {
		if own {
			t.outbox.remove(r.Kind, r.Attempt)
			t.releaseAbandoned(r)
		}
		t.decideKey(now, r.Key)
	}
}

// decideAll decides all open requests, in the order of their attempt IDs to keep Step deterministic.
func (t *Table) decideAll(now time.Time) {
	open := slices.SortedFunc(maps.Keys(t.requests), func(x, y AttemptID) int { return bytes.Compare(x[:], y[:]) })
	for _, attempt := range open {
		if req, ok := t.requests[attempt]; ok {
			t.decide(now, req)
		}
	}
}

// releaseAbandoned releases the claim of a request that was abandoned before the claim was read.
func (t *Table) releaseAbandoned(r Record) {
	if r.Kind != KindClaim {
		return
	}
	if _, ok := t.abandoned[r.Attempt]; !ok {
		return
	}
	delete(t.abandoned, r.Attempt)
	if state := t.index.keys[r.Key]; state != nil && state.held && state.holder == r.Attempt {
		t.outbox.add(Record{Kind: KindRelease, Key: r.Key, Attempt: r.Attempt})
	}
}

func (t *Table) anyWaiting() bool {
	for _, req := range t.requests {
		if req.state == waiting {
			return true
		}
	}
	return false
}

// expire ends the requests whose deadline has passed and removes expired keys.
func (t *Table) expire(now time.Time) {
	for _, req := range t.overdue(now) {
		if req.state == claiming {
			t.failClaim(now, req)
			continue
		}
		t.abandon(now, req.Attempt)
		t.respond(req.Attempt, OutcomeUnknown, nil)
	}
	before := now.Add(-t.opts.Window - 4*t.opts.MaxClockSkew)
	t.index.expire(before)
	if now.Before(t.nextSweepAt) {
		return
	}
	t.nextSweepAt = now.Add(t.opts.IdlePollInterval)
	for attempt, abandonedAt := range t.abandoned {
		if abandonedAt.Before(before) {
			delete(t.abandoned, attempt)
		}
	}
}

// overdue returns the requests whose deadline has passed, sorted by attempt ID to keep Step
// deterministic.
func (t *Table) overdue(now time.Time) []*openRequest {
	var due []*openRequest
	for _, req := range t.requests {
		claimOverdue := req.state == claiming && !now.Before(req.ClaimDeadline)
		waitOverdue := req.state == waiting && !now.Before(req.WaitDeadline)
		if claimOverdue || waitOverdue {
			due = append(due, req)
		}
	}
	slices.SortFunc(due, func(x, y *openRequest) int { return bytes.Compare(x.Attempt[:], y.Attempt[:]) })
	return due
}

// startCalls starts the calls to the log that are due.
func (t *Table) startCalls(now time.Time) {
	if batch, ok := t.outbox.nextBatch(now, &t.opts); ok {
		t.emit(AppendBatch{batch})
	}
	if t.readPending || t.findPending || !t.readDue(now) {
		return
	}
	if t.index.nextOffset < 0 {
		t.findPending = true
		t.emit(FindStart{})
		return
	}
	if t.outbox.verify == verifyPending {
		t.outbox.verify = verifyReading
	}
	t.readPending = true
	t.readStartedAt, t.readOffset = now, t.index.nextOffset
	t.emit(ReadLog{t.index.nextOffset})
}

// readDue reports whether a read must start now.
func (t *Table) readDue(now time.Time) bool {
	if !t.nextReadAt.After(now) {
		return true
	}
	return t.logDownSince.IsZero() && t.targetOffset >= t.index.nextOffset
}
