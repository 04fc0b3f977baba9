package claim

import (
	"slices"
	"time"
)

// doubt tells how far an append without an answer has been followed up.
type verifyState int

const (
	verifyNone    verifyState = iota
	verifyPending             // the log has to be read to its end
	verifyReading             // the read has begun
)

// outbox holds the records that are not known to be in the log. One batch is in flight
// at a time, so that records gather while the log is slow.
type outbox struct {
	pending      []Record
	inFlight     []Record
	sentBatch    Batch
	verify       verifyState
	nextAppendAt time.Time // when the next append may start
}

func (o *outbox) add(r Record) { o.pending = append(o.pending, r) }

func (o *outbox) size() int { return len(o.pending) + len(o.inFlight) }

// cancel takes back the claim of an attempt. It reports false when the claim may be in the log.
func (o *outbox) cancelClaim(attempt AttemptID) bool {
	before := len(o.pending)
	o.remove(KindClaim, attempt)
	return len(o.pending) < before && o.verify == verifyNone
}

// drop takes out a pending record.
func (o *outbox) remove(kind Kind, attempt AttemptID) {
	o.pending = slices.DeleteFunc(o.pending, func(r Record) bool { return r.Kind == kind && r.Attempt == attempt })
}

// take returns the next batch, if it may be sent now.
func (o *outbox) nextBatch(now time.Time, opts *Options) (Batch, bool) {
	if len(o.pending) == 0 || o.inFlight != nil || o.verify != verifyNone || now.Before(o.nextAppendAt) {
		return Batch{}, false
	}
	n := min(len(o.pending), opts.MaxBatchRecords)
	o.inFlight = slices.Clone(o.pending[:n])
	o.pending = slices.Clone(o.pending[n:])
	o.nextAppendAt = now.Add(opts.MinAppendInterval)
	o.sentBatch = Batch{
		Daemon:      opts.Daemon,
		Incarnation: opts.Incarnation,
		CreatedAt:   now.Truncate(time.Millisecond),
		Records:     slices.Clone(o.inFlight), // the receiver may keep it
	}
	return o.sentBatch, true
}

// done returns the batch that was in flight.
func (o *outbox) complete() Batch {
	batch := o.sentBatch
	o.inFlight, o.sentBatch = nil, Batch{}
	return batch
}

// failed puts the batch in flight back. Unless it surely had no effect, the log has to be
// read to its end before the next append.
func (o *outbox) requeue(retryAt time.Time, notAppended bool) {
	o.pending = append(o.inFlight, o.pending...)
	o.inFlight, o.sentBatch = nil, Batch{}
	o.nextAppendAt = retryAt
	if !notAppended {
		o.verify = verifyPending
	}
}
