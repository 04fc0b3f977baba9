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
type Attempt [16]byte

// NewAttempt returns the attempt of a request id that is a UUID.
func NewAttempt(requestID string) (Attempt, error) {
	id, err := uuid.Parse(requestID)
	return Attempt(id), err
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
	Attempt Attempt
	Content Hash     // of a claim
	Outcome *Outcome // of an outcome
}

// Batch is what one daemon appends at once. It is one value of the log.
type Batch struct {
	Daemon      string
	Incarnation uint64
	At          time.Time // by the daemon's clock, to the millisecond
	Records     []Record
}

// Outcome is the end of a run. A Status of 0 says that it is not known.
type Outcome struct {
	Status int
	Header []Field
	Body   []byte
	// Cut says that the body was too long to keep.
	Cut bool
}

// Field is a header of an answer.
type Field struct{ Name, Value string }

// known reports whether the outcome can be given to a caller that asks again.
func (o *Outcome) known() bool { return o.Status != 0 && !o.Cut }

// Ask is a request that wants to run.
type Ask struct {
	Attempt Attempt
	Key     Hash
	Content Hash
	KeyTime time.Time // when the caller made the key
	ClaimBy time.Time // when a claim that is not settled is given up
	WaitBy  time.Time // when the wait for another attempt's outcome is given up
}

// Answer tells what becomes of an ask.
type Answer int

// The answers to an ask.
const (
	Run         Answer = iota + 1 // this attempt alone may run
	Replay                        // an earlier attempt ran; its outcome is known
	Unknown                       // an earlier attempt may have run
	Reused                        // the key was used before with other content
	Unclaimed                     // the claim could not be recorded; no earlier attempt claimed the key
	Unavailable                   // the claim could not be recorded; earlier attempts are not known
	Forgotten                     // the key is older than what the log tells
)

// Verdict is the answer to an ask.
type Verdict struct {
	Attempt Attempt
	Answer  Answer
	Outcome *Outcome // of Replay; of Unknown when the body was not kept
}

var answerNames = map[Answer]string{
	Run: "run", Replay: "replay", Unknown: "unknown", Reused: "reused",
	Unclaimed: "unclaimed", Unavailable: "unavailable", Forgotten: "forgotten",
}

// String returns the name of the answer, as metrics carry it.
func (a Answer) String() string { return answerNames[a] }
