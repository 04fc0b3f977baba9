package ticket

import (
	"fmt"

	"github.com/cockroachdb/errors"
)

// Outcome tells what a record of the log did to the state.
type Outcome string

// The outcomes of a record.
const (
	OutcomeApplied  Outcome = "applied"  // the ticket changed the state
	OutcomeRepeated Outcome = "repeated" // the same ticket came before; no new effect
	OutcomeRejected Outcome = "rejected" // no effect
	OutcomeIgnored  Outcome = "ignored"  // the offset is applied already, or a state record is not needed
	OutcomeAdopted  Outcome = "adopted"  // the state was replaced by the one of the record
	OutcomeGap      Outcome = "gap"      // records are missing before this one; nothing was done
)

// Reason tells why a ticket was rejected.
type Reason string

// The reasons of a rejection.
const (
	ReasonNone           Reason = ""
	ReasonMalformed      Reason = "malformed"
	ReasonConflict       Reason = "conflict"       // the number belongs to a ticket of other content
	ReasonStale          Reason = "stale"          // an object already has a ticket of this number or a higher one
	ReasonForgotten      Reason = "forgotten"      // the number is below the kept history
	ReasonUnknownService Reason = "unknownService" // a backend server names a service that is not in use
	ReasonKeyInUse       Reason = "keyInUse"       // another account holds the API key
)

// ErrGap marks a verdict on a record whose predecessors are missing.
var ErrGap = errors.New("records are missing before this one")

// GapError tells which offset the state needs next. errors.Is matches ErrGap.
type GapError struct {
	Want int64 // offset of the next record to apply
	Got  int64 // offset of the record that came
}

// Error names both offsets.
func (e *GapError) Error() string {
	return fmt.Sprintf("record %d came but record %d is next", e.Got, e.Want)
}

// Is matches ErrGap.
func (e *GapError) Is(target error) bool { return target == ErrGap }

// Verdict is the result of one record.
type Verdict struct {
	Offset  int64   `json:"offset"`
	Number  uint64  `json:"number,omitempty"` // zero when the record has no readable ticket
	Outcome Outcome `json:"outcome"`
	Reason  Reason  `json:"reason,omitempty"`
	Detail  string  `json:"detail,omitempty"`
	// FirstOffset is where the number was first seen, for a repeat or a conflict.
	FirstOffset int64 `json:"firstOffset,omitempty"`
	Err         error `json:"-"` // a *GapError when the outcome is OutcomeGap
}
