// Package order decides which daemon may send an order to a backend server. It does no I/O.
//
// Each order carries a fencing token: the number of the ticket that set the server's state.
// Some servers reject orders with an older token. For all others, senders use leases in the
// platform's log: a sender appends a claim, and the last effective claim of a server holds its
// lease. The holder may send for Lease after the start of a read of the log that shows its
// claim. A sender that takes over from another waits until the previous lease has expired on
// any clock. The daemons' clocks must run at about the same rate but need not be synchronized.
package order

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
)

// Lease durations.
const (
	// Lease is how long a claim permits sending, from the start of the read that showed it.
	Lease = 3 * time.Second
	// LeaseMargin is added to Lease before another sender takes over, to allow for bytes in
	// transit and for different clock rates.
	LeaseMargin = 2 * time.Second
)

// Kind is the kind of an order. Its value is sent to the server.
type Kind string

// Order kinds.
const (
	Load  Kind = "load"
	Drain Kind = "drain"
)

// Order is an order that puts a server into its configured state.
type Order struct {
	Server      string
	Address     string
	Kind        Kind
	Model       string
	Fence       uint64 // fencing token: number of the ticket that set the state
	ChecksFence bool   // the server rejects orders with an older fence
}

// Sender identifies an incarnation of a daemon.
type Sender struct {
	ID          string `json:"id"`
	Incarnation uint64 `json:"incarnation"`
}

// RecordKind is the kind of a record.
type RecordKind string

// Record kinds.
const (
	RecordClaim RecordKind = "claim"
	RecordDone  RecordKind = "done" // the server has accepted the order, and its sender will not send it again
)

// Record is a record of the orders topic.
type Record struct {
	Kind   RecordKind `json:"kind"`
	Server string     `json:"server"`
	Fence  uint64     `json:"fence"`
	Sender Sender     `json:"sender"`
}

// Encode encodes the record as a value of the log.
func (r Record) Encode() []byte {
	data, err := json.Marshal(r)
	if err != nil {
		panic(errors.Wrap(err, "encode order record"))
	}
	return data
}

// claim is the last effective claim of a server.
type claim struct {
	fence     uint64
	sender    Sender
	done      bool
	contested bool // the lease of a previous sender may not have expired
}

// Registry holds the last claim of each server, as read from the orders topic. It never removes
// a server, because a daemon with an outdated configuration must still know the claim.
type Registry struct {
	nextOffset int64
	claims     map[string]claim
}

// NewRegistry returns a registry that has read no records.
func NewRegistry() *Registry { return &Registry{claims: map[string]claim{}} }

// NextOffset returns the offset of the next record to read.
func (r *Registry) NextOffset() int64 { return r.nextOffset }

// SkipTo advances the next offset past records that have expired from the log.
func (r *Registry) SkipTo(offset int64) { r.nextOffset = max(r.nextOffset, offset) }

// Apply applies the record at an offset. It ignores malformed records and offsets that were
// already applied.
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

// Step is the next step of a sender.
type Step int

// Steps of a sender.
const (
	StepSettled Step = iota // nothing to do: the order is done, or a later one was claimed
	StepClaim               // append a claim, then read the log again
	StepWait                // wait: the lease of a previous sender may not have expired
	StepSend                // send the order before the lease ends
)

// Progress is the state that a sender keeps for its claim of one server. The zero value is ready
// to use.
type Progress struct {
	fence       uint64
	claimSeenAt time.Time // when the claim was first seen in the log
}

// Decide returns the next step for an order. The registry must hold the result of a read that
// started at readAt and reached the end of the log. With StepSend, Decide also returns the end
// of the lease: no byte of the order may be sent after it.
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
