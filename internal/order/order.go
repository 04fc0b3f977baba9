// Package order holds the pure decisions on who sends an order to a backend server.
//
// An order carries the number of the ticket that set the server's state as its fencing
// number. Servers that check it refuse an older one. For those that don't, a sender first
// appends a claim to the platform's log. The last claim of a server in the log counts; its
// sender may send for Lease after the begin of a read of the log that still showed it, and
// a sender that took over from another waits until that one's permission has surely
// lapsed. Only the rates of the daemons' clocks have to agree, not their times.
package order

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
)

// Times of the permission to send.
const (
	// Lease is how long after a read of the log its claim permits to send.
	Lease = 3 * time.Second
	// Margin is what a later sender adds to Lease, for bytes on their way and for clocks
	// of unlike rates.
	LeaseMargin = 2 * time.Second
)

// Kind is what a server is to do.
type Kind string

// The kinds of orders.
const (
	Load  Kind = "load"
	Drain Kind = "drain"
)

// Order is the order that a server's state calls for.
type Order struct {
	Server      string
	Address     string
	Kind        Kind
	Model       string
	Fence       uint64 // number of the ticket that set the state
	ChecksFence bool   // the server refuses an older fence
}

// Sender is one incarnation of a daemon.
type Sender struct {
	ID          string `json:"id"`
	Incarnation uint64 `json:"incarnation"`
}

// RecordKind tells claims from their ends.
type RecordKind string

// The kinds of records.
const (
	RecordClaim RecordKind = "claim"
	RecordDone  RecordKind = "done" // the server has taken the order, and its sender sends no more
)

// Record is an entry of the log's topic of orders.
type Record struct {
	Kind   RecordKind `json:"kind"`
	Server string     `json:"server"`
	Fence  uint64     `json:"fence"`
	Sender Sender     `json:"sender"`
}

// Encode returns the record's form in the log.
func (r Record) Encode() []byte {
	data, err := json.Marshal(r)
	if err != nil {
		panic(errors.Wrap(err, "a record has no value that JSON can't hold"))
	}
	return data
}

// claim is the last claim of a server.
type claim struct {
	fence     uint64
	sender    Sender
	done      bool
	contested bool // another sender's claim before it may still permit to send
}

// Registry is the state of the topic of orders. It keeps an entry for each server that
// was ever claimed: a daemon whose configuration lags must not forget a claim.
type Registry struct {
	nextOffset int64
	claims     map[string]claim
}

// NewRegistry returns a registry that has read nothing.
func NewRegistry() *Registry { return &Registry{claims: map[string]claim{}} }

// Next is the offset that is to be read next.
func (r *Registry) NextOffset() int64 { return r.nextOffset }

// Skip goes on at an offset, for records that the log has forgotten.
func (r *Registry) SkipTo(offset int64) { r.nextOffset = max(r.nextOffset, offset) }

// Apply takes in the record at an offset. Records read before, and malformed ones, change nothing.
func (r *Registry) Apply(offset int64, value []byte) {
	if offset < r.nextOffset {
		return
	}
	r.nextOffset = offset + 1
	var record Record
	if json.Unmarshal(value, &record) != nil || record.Server == "" {
		return
	}
	last, ok := r.claims[record.Server]
	switch record.Kind {
	case RecordClaim:
		if ok && (record.Fence < last.fence || (record.Fence == last.fence && last.done)) {
			return
		}
		contested := ok && !last.done && (last.contested || last.sender != record.Sender)
		r.claims[record.Server] = claim{fence: record.Fence, sender: record.Sender, contested: contested}
	case RecordDone:
		if ok && last.fence == record.Fence && last.sender == record.Sender {
			last.done = true
			r.claims[record.Server] = last
		}
	}
}

// Step is what a sender does next.
type Step int

// The steps of a sender.
const (
	StepSettled Step = iota // the order is done, or a later one was claimed
	StepClaim               // append a claim, and read the log again
	StepWait                // an earlier sender may still send
	StepSend
)

// Progress is what a sender remembers of its claim of one server.
type Progress struct {
	fence       uint64
	claimSeenAt time.Time // when the claim was first known to be in the log
}

// Decide returns the next step for an order, after a read of the log to its end that began
// at readAt. With StepSend it returns until when the bytes of the order may leave.
func (r *Registry) Decide(now, readAt time.Time, self Sender, o Order, p *Progress) (Step, time.Time) {
	last, ok := r.claims[o.Server]
	switch {
	case ok && last.fence > o.Fence:
		return StepSettled, time.Time{}
	case ok && last.fence == o.Fence && last.done:
		return StepSettled, time.Time{}
	case !ok || last.fence != o.Fence || last.sender != self:
		*p = Progress{}
		return StepClaim, time.Time{}
	}
	if p.claimSeenAt.IsZero() || p.fence != o.Fence {
		*p = Progress{fence: o.Fence, claimSeenAt: now}
	}
	if last.contested && now.Sub(p.claimSeenAt) <= Lease+LeaseMargin {
		return StepWait, time.Time{}
	}
	return StepSend, readAt.Add(Lease)
}
