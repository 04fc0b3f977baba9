package claim

import (
	"bytes"
	"slices"
	"time"
)

// appended takes in the answer of an append. A batch right behind what was read needs no read.
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

// appendFailed takes in that an append got no answer.
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

// readBefore brings the next read forward.
func (t *Table) scheduleRead(at time.Time) {
	if at.Before(t.nextReadAt) {
		t.nextReadAt = at
	}
}

// read takes in a part of the log.
func (t *Table) handleRead(now time.Time, e ReadCompleted) {
	t.readPending = false
	t.logAnswered()
	t.setCompleteSince(e.Batches)
	for i, batch := range e.Batches {
		// An append that was answered during the read may have gone further.
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

// cover notes from which time on the log is known, at the first read after a start in
// its middle. The newest batch of the read counts, since single ones may have landed late.
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

// apply takes in the batch at the next offset and settles the asks that it decides.
func (t *Table) apply(now time.Time, batch Batch) {
	t.index.apply(batch)
	own := batch.Daemon == t.opts.Daemon && batch.Incarnation == t.opts.Incarnation
	for _, r := range batch.Records {
		if own {
			t.outbox.remove(r.Kind, r.Attempt)
			t.releaseAbandoned(r)
		}
		t.decideKey(now, r.Key)
	}
}

// releaseLost releases a claim that was given up before it was seen in the log.
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

// expire gives up the asks whose time is over and forgets old keys.
func (t *Table) expireRequests(now time.Time) {
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

// overdue returns the asks whose time is over, in a fixed order.
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

// nextCalls starts the calls of the log that are due.
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

// readDue reports whether the log has to be read now.
func (t *Table) readDue(now time.Time) bool {
	if !t.nextReadAt.After(now) {
		return true
	}
	return t.logDownSince.IsZero() && t.targetOffset >= t.index.nextOffset
}
