package claim

import (
	"slices"
	"time"
)

// doubt tells how far an append without an answer has been followed up.
type doubt int

const (
	noDoubt   doubt = iota
	unread          // the log has to be read to its end
	beingRead       // the read has begun
)

// outbox holds the records that are not known to be in the log. One batch is in flight
// at a time, so that records gather while the log is slow.
type outbox struct {
	pending  []Record
	inFlight []Record
	sent     Batch
	doubt    doubt
	next     time.Time // when the next append may start
}

func (o *outbox) add(r Record) { o.pending = append(o.pending, r) }

func (o *outbox) size() int { return len(o.pending) + len(o.inFlight) }

// cancel takes back the claim of an attempt. It reports false when the claim may be in the log.
func (o *outbox) cancel(a AttemptID) bool {
	before := len(o.pending)
	o.drop(KindClaim, a)
	return len(o.pending) < before && o.doubt == noDoubt
}

// drop takes out a pending record.
func (o *outbox) drop(kind Kind, a AttemptID) {
	o.pending = slices.DeleteFunc(o.pending, func(r Record) bool { return r.Kind == kind && r.Attempt == a })
}

// take returns the next batch, if it may be sent now.
func (o *outbox) take(now time.Time, opts *Options) (Batch, bool) {
	if len(o.pending) == 0 || o.inFlight != nil || o.doubt != noDoubt || now.Before(o.next) {
		return Batch{}, false
	}
	n := min(len(o.pending), opts.MaxBatchRecords)
	o.inFlight = slices.Clone(o.pending[:n])
	o.pending = slices.Clone(o.pending[n:])
	o.next = now.Add(opts.MinAppendInterval)
	o.sent = Batch{
		Daemon:      opts.Daemon,
		Incarnation: opts.Incarnation,
		CreatedAt:   now.Truncate(time.Millisecond),
		Records:     slices.Clone(o.inFlight), // the receiver may keep it
	}
	return o.sent, true
}

// done returns the batch that was in flight.
func (o *outbox) done() Batch {
	sent := o.sent
	o.inFlight, o.sent = nil, Batch{}
	return sent
}

// failed puts the batch in flight back. Unless it surely had no effect, the log has to be
// read to its end before the next append.
func (o *outbox) failed(next time.Time, certain bool) {
	o.pending = append(o.inFlight, o.pending...)
	o.inFlight, o.sent = nil, Batch{}
	o.next = next
	if !certain {
		o.doubt = unread
	}
}
