package ticket

import (
	"fmt"

	"github.com/cockroachdb/errors"
)

// Outcome is the effect of a log record on the state.
type Outcome string

// Outcomes of a record.
const (
	OutcomeApplied  Outcome = "applied"  // the ticket changed the state
	OutcomeRepeated Outcome = "repeated" // an earlier record has the same ticket; no effect
	OutcomeRejected Outcome = "rejected" // no effect
	OutcomeIgnored  Outcome = "ignored"  // the offset was applied before, or the state record is not needed; no effect
	OutcomeAdopted  Outcome = "adopted"  // the state was replaced by that of a state record
	OutcomeGap      Outcome = "gap"      // records before this one are missing; no effect
)

// Reason is the reason for a rejection.
type Reason string

// Reasons for a rejection.
const (
	ReasonNone           Reason = ""
	ReasonMalformed      Reason = "malformed"
	ReasonConflict       Reason = "conflict"       // another ticket has the number
	ReasonStale          Reason = "stale"          // an object was last set by the same or a higher ticket number
	ReasonForgotten      Reason = "forgotten"      // the number was evicted from the history
	ReasonUnknownService Reason = "unknownService" // a backend server refers to a service that is not active
	ReasonKeyInUse       Reason = "keyInUse"       // another account holds the API key
)

// ErrGap is matched by the error of a verdict with OutcomeGap.
var ErrGap = errors.New("records are missing before this one")

// GapError reports a record that was applied before its predecessors. It matches
// ErrGap with errors.Is.
type GapError struct {
	Want int64 // offset of the next record to apply
	Got  int64 // offset of the given record
}

// Error returns a message with both offsets.
func (e *GapError) Error() string {
	return fmt.Sprintf("got the record at offset %d, want the one at offset %d", e.Got, e.Want)
}

// Is reports whether the target is ErrGap.
func (e *GapError) Is(target error) bool { return target == ErrGap }

// Verdict is the result of applying a log record.
type Verdict struct {
	Offset  int64   `json:"offset"`
	Number  uint64  `json:"number,omitempty"` // 0 if the record has no well-formed ticket
	Outcome Outcome `json:"outcome"`
	Reason  Reason  `json:"reason,omitempty"`
	Detail  string  `json:"detail,omitempty"`
	// FirstOffset is the offset of the first record with the number, for a repeated
	// ticket or a conflict.
	FirstOffset int64 `json:"firstOffset,omitempty"`
	Err         error `json:"-"` // a *GapError if the outcome is OutcomeGap
}
