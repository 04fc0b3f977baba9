// Package claim decides which attempt of an unrepeatable request may run.
//
// An attempt may run once its claim is the first of its key in the log, by offset. The
// package is pure: Book takes the time and one event, and returns actions.
package claim

import (
	"time"

	"github.com/google/uuid"
)

// Hash identifies an idempotency key, with its account and service, or the content of a request.
type Hash [16]byte

// Attempt identifies one request of a caller at one daemon.
type AttemptID [16]byte

// NewAttempt returns the attempt of a request id that is a UUID.
func ParseAttemptID(requestID string) (AttemptID, error) {
	id, err := uuid.Parse(requestID)
	return AttemptID(id), err
}

// Kind is the kind of a record.
type Kind int

// The kinds of records.
const (
	KindClaim   Kind = iota + 1 // the attempt wants to run
	KindRelease                 // the attempt did not run and never will
	KindOutcome                 // the attempt ran, or may have run
)

// Record is an entry of the claims topic.
type Record struct {
	Kind    Kind
	Key     Hash
	Attempt AttemptID
	Content Hash     // of a claim
	Outcome *Outcome // of an outcome
}

// Batch is what one daemon appends at once. It is one value of the log.
type Batch struct {
	Daemon      string
	Incarnation uint64
	CreatedAt   time.Time // by the daemon's clock, to the millisecond
	Records     []Record
}

// Outcome is the end of a run. A Status of 0 says that it is not known.
type Outcome struct {
	Status int
	Header []HeaderField
	Body   []byte
	// Cut says that the body was too long to keep.
	BodyDropped bool
}

// Field is a header of an answer.
type HeaderField struct{ Name, Value string }

// known reports whether the outcome can be given to a caller that asks again.
func (o *Outcome) replayable() bool { return o.Status != 0 && !o.BodyDropped }

// Ask is a request that wants to run.
type Request struct {
	Attempt       AttemptID
	Key           Hash
	Content       Hash
	KeyCreatedAt  time.Time // when the caller made the key
	ClaimDeadline time.Time // when a claim that is not settled is given up
	WaitDeadline  time.Time // when the wait for another attempt's outcome is given up
}

// Answer tells what becomes of an ask.
type DecisionKind int

// The answers to an ask.
const (
	Run            DecisionKind = iota + 1 // this attempt alone may run
	Replay                                 // an earlier attempt ran; its outcome is known
	OutcomeUnknown                         // an earlier attempt may have run
	KeyReused                              // the key was used before with other content
	Unclaimed                              // the claim could not be recorded; no earlier attempt claimed the key
	Unavailable                            // the claim could not be recorded; earlier attempts are not known
	KeyExpired                             // the key is older than what the log tells
)

// Verdict is the answer to an ask.
type Decision struct {
	Attempt AttemptID
	Kind    DecisionKind
	Outcome *Outcome // of Replay; of Unknown when the body was not kept
}

var decisionNames = map[DecisionKind]string{
	Run: "run", Replay: "replay", OutcomeUnknown: "unknown", KeyReused: "reused",
	Unclaimed: "unclaimed", Unavailable: "unavailable", KeyExpired: "forgotten",
}

// String returns the name of the answer, as metrics carry it.
func (k DecisionKind) String() string { return decisionNames[k] }
