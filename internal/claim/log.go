package claim

import (
	"bytes"
	"slices"
	"time"
)

// appended takes in the answer of an append. A batch right behind what was read needs no read.
func (b *Table) appended(now time.Time, offset int64) {
	b.logAnswered()
	sent := b.out.done()
	if offset == b.index.next {
		b.apply(now, sent)
		b.index.trim(b.opts.MaxBodyBytes)
		return
	}
	b.target = max(b.target, offset)
	b.nextRead = now
}

// appendFailed takes in that an append got no answer.
func (b *Table) appendFailed(now time.Time, certain bool) {
	b.logFailed(now)
	b.out.failed(now.Add(b.opts.Backoff), certain)
	for attempt := range b.lost {
		b.out.drop(KindClaim, attempt)
	}
	if !certain {
		b.readBefore(now)
	}
}

// readBefore brings the next read forward.
func (b *Table) readBefore(at time.Time) {
	if at.Before(b.nextRead) {
		b.nextRead = at
	}
}

// read takes in a part of the log.
func (b *Table) read(now time.Time, e ReadCompleted) {
	b.reading = false
	b.logAnswered()
	b.cover(e.Batches)
	for i, batch := range e.Batches {
		// An append that was answered during the read may have gone further.
		if b.readFrom+int64(i) == b.index.next {
			b.apply(now, batch)
		}
	}
	b.index.trim(b.opts.MaxBodyBytes)
	b.nextRead = now
	if !e.AtEnd {
		return
	}
	b.index.cover(now)
	b.endRead = b.readStarted
	b.nextRead = now.Add(b.opts.IdlePollInterval)
	if b.anyWaiting() {
		b.nextRead = now.Add(b.opts.BusyPollInterval)
	}
	if b.out.doubt == beingRead {
		b.out.doubt = noDoubt
	}
}

// cover notes from which time on the log is known, at the first read after a start in
// its middle. The newest batch of the read counts, since single ones may have landed late.
func (b *Table) cover(batches []Batch) {
	var newest time.Time
	for _, batch := range batches {
		if batch.CreatedAt.After(newest) {
			newest = batch.CreatedAt
		}
	}
	if !newest.IsZero() {
		b.index.cover(newest)
	}
}

// apply takes in the batch at the next offset and settles the asks that it decides.
func (b *Table) apply(now time.Time, batch Batch) {
	b.index.apply(batch)
	own := batch.Daemon == b.opts.Daemon && batch.Incarnation == b.opts.Incarnation
	for _, r := range batch.Records {
		if own {
			b.out.drop(r.Kind, r.Attempt)
			b.releaseLost(r)
		}
		b.decideKey(now, r.Key)
	}
}

// releaseLost releases a claim that was given up before it was seen in the log.
func (b *Table) releaseLost(r Record) {
	if r.Kind != KindClaim {
		return
	}
	if _, ok := b.lost[r.Attempt]; !ok {
		return
	}
	delete(b.lost, r.Attempt)
	if e := b.index.entries[r.Key]; e != nil && e.held && e.holder == r.Attempt {
		b.out.add(Record{Kind: KindRelease, Key: r.Key, Attempt: r.Attempt})
	}
}

func (b *Table) anyWaiting() bool {
	for _, a := range b.asks {
		if a.state == waiting {
			return true
		}
	}
	return false
}

// expire gives up the asks whose time is over and forgets old keys.
func (b *Table) expire(now time.Time) {
	for _, a := range b.overdue(now) {
		if a.state == claiming {
			b.refuse(now, a)
			continue
		}
		b.giveUp(now, a.Attempt)
		b.settle(a.Attempt, OutcomeUnknown, nil)
	}
	before := now.Add(-b.opts.Window - 4*b.opts.MaxClockSkew)
	b.index.expire(before)
	if now.Before(b.nextSweep) {
		return
	}
	b.nextSweep = now.Add(b.opts.IdlePollInterval)
	for attempt, at := range b.lost {
		if at.Before(before) {
			delete(b.lost, attempt)
		}
	}
}

// overdue returns the asks whose time is over, in a fixed order.
func (b *Table) overdue(now time.Time) []*openAsk {
	var due []*openAsk
	for _, a := range b.asks {
		claimOver := a.state == claiming && !now.Before(a.ClaimDeadline)
		waitOver := a.state == waiting && !now.Before(a.WaitDeadline)
		if claimOver || waitOver {
			due = append(due, a)
		}
	}
	slices.SortFunc(due, func(x, y *openAsk) int { return bytes.Compare(x.Attempt[:], y.Attempt[:]) })
	return due
}

// nextCalls starts the calls of the log that are due.
func (b *Table) nextCalls(now time.Time) {
	if batch, ok := b.out.take(now, &b.opts); ok {
		b.do(AppendBatch{batch})
	}
	if b.reading || b.finding || !b.readDue(now) {
		return
	}
	if b.index.next < 0 {
		b.finding = true
		b.do(FindStart{})
		return
	}
	if b.out.doubt == unread {
		b.out.doubt = beingRead
	}
	b.reading = true
	b.readStarted, b.readFrom = now, b.index.next
	b.do(ReadLog{b.index.next})
}

// readDue reports whether the log has to be read now.
func (b *Table) readDue(now time.Time) bool {
	if !b.nextRead.After(now) {
		return true
	}
	return b.downSince.IsZero() && b.target >= b.index.next
}
