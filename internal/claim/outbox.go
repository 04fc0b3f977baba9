package claim

import (
	"slices"
	"time"
)

// verifyState is the progress of finding out whether an unanswered append took effect.
type verifyState int

const (
	verifyNone    verifyState = iota // no append to verify
	verifyPending                    // the log must be read to its end
	verifyReading                    // the read has started
)

// outbox holds the records that are not known to be in the log. Only one batch is in flight
// at a time, so that a slow log gets fewer, larger batches.
type outbox struct {
	pending      []Record
	inFlight     []Record
	sentBatch    Batch
	verify       verifyState
	nextAppendAt time.Time // earliest start of the next append
}

func (o *outbox) add(r Record) { o.pending = append(o.pending, r) }

func (o *outbox) size() int { return len(o.pending) + len(o.inFlight) }

// cancelClaim removes the pending claim of an attempt. It reports false if the claim may be in
// the log.
func (o *outbox) cancelClaim(attempt AttemptID) bool {
	before := len(o.pending)
	o.remove(KindClaim, attempt)
	return len(o.pending) < before && o.verify == verifyNone
}

// remove removes a pending record.
func (o *outbox) remove(kind Kind, attempt AttemptID) {
	o.pending = slices.DeleteFunc(o.pending, func(r Record) bool { return r.Kind == kind && r.Attempt == attempt })
}

// nextBatch returns the next batch to append and marks it as in flight. It reports false if
// there is none or no append may start now.
func (o *outbox) nextBatch(now time.Time, opts *Options) (Batch, bool) {
	if len(o.pending) == 0 || o.inFlight != nil || o.verify != verifyNone || now.Before(o.nextAppendAt) {
		return Batch{}, false
	}
	n, answerBytes := 0, 0
	for n < min(len(o.pending), opts.MaxBatchRecords) {
		if answerBytes += o.pending[n].answerBytes(); n > 0 && answerBytes > opts.MaxBatchBytes {
			break
		}
		n++
	}
	o.inFlight = slices.Clone(o.pending[:n])
	o.pending = slices.Clone(o.pending[n:])
	o.nextAppendAt = now.Add(opts.MinAppendInterval)
	o.sentBatch = Batch{
		Daemon:      opts.Daemon,
		Incarnation: opts.Incarnation,
		CreatedAt:   now.Truncate(time.Millisecond),
		Records:     slices.Clone(o.inFlight), // the caller may retain it
	}
	return o.sentBatch, true
}

// complete removes the batch in flight and returns it.
func (o *outbox) complete() Batch {
	batch := o.sentBatch
	o.inFlight, o.sentBatch = nil, Batch{}
	return batch
}

// requeue puts the batch in flight back. Unless it was certainly not appended, the log must be
// read to its end before the next append.
func (o *outbox) requeue(retryAt time.Time, notAppended bool) {
	o.pending = append(o.inFlight, o.pending...)
	o.inFlight, o.sentBatch = nil, Batch{}
	o.nextAppendAt = retryAt
	if !notAppended {
		o.verify = verifyPending
	}
}
