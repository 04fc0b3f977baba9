// Package claim decides which attempt of an unrepeatable request may run.
//
// Each attempt appends a claim of its idempotency key to a shared log. The attempt whose
// claim has the lowest offset of all unreleased claims of the key may run. The package does
// no I/O: Table.Step takes the current time and an event, and returns actions.
package claim

import (
	"time"

	"github.com/google/uuid"
)

// Hash is a truncated SHA-256 hash of an idempotency key and its account, or of the content of
// a request.
type Hash [16]byte

// AttemptID identifies one request that a caller sent to one daemon.
type AttemptID [16]byte

// ParseAttemptID returns the attempt ID for a request ID. It returns an error if the request ID
// is not a UUID.
func ParseAttemptID(requestID string) (AttemptID, error) {
	id, err := uuid.Parse(requestID)
	return AttemptID(id), err
}

// Kind is the kind of a record. Its values are those of pb.ClaimKind.
type Kind int

// Record kinds.
const (
	KindClaim   Kind = iota + 1 // the attempt wants to run
	KindRelease                 // the attempt did not run and never will run
	KindOutcome                 // the attempt ran, or may have run
)

// Record is one record of the claims topic.
type Record struct {
	Kind    Kind
	Key     Hash
	Attempt AttemptID
	Content Hash     // set for KindClaim
	Outcome *Outcome // set for KindOutcome
}

// answerBytes returns the size of the answer in the record, 0 if it has none.
func (r *Record) answerBytes() int {
	if r.Outcome == nil {
		return 0
	}
	n := len(r.Outcome.Body)
	for _, f := range r.Outcome.Header {
		n += len(f.Name) + len(f.Value)
	}
	return n
}

// Batch holds the records that a daemon appends in one call. It is stored as one value of the log.
type Batch struct {
	Daemon      string
	Incarnation uint64
	CreatedAt   time.Time // by the daemon's clock, in whole milliseconds
	Records     []Record
	// Unreadable is set if the value could not be decoded. The batch then has no records, though others may read some, and
	// CreatedAt is zero if it is not known either.
	Unreadable bool
}

// Outcome is the HTTP answer of a run. Status 0 means that the outcome is not known.
type Outcome struct {
	Status int
	Header []HeaderField
	Body   []byte
	// BodyDropped reports that the body is not stored, because it was too long or to free memory.
	BodyDropped bool
}

// HeaderField is one header field of an answer.
type HeaderField struct{ Name, Value string }

// replayable reports whether the outcome can be sent to a caller that repeats the request.
func (o *Outcome) replayable() bool { return o.Status != 0 && !o.BodyDropped }

// Request is a request for permission to run an attempt.
type Request struct {
	Attempt       AttemptID
	Key           Hash
	Content       Hash
	KeyCreatedAt  time.Time // when the key was created
	ClaimDeadline time.Time // when to give up if the claim is not decided
	WaitDeadline  time.Time // when to stop waiting for another attempt's outcome
}

// DecisionKind is the kind of a decision on a request.
type DecisionKind int

// Decision kinds.
const (
	Run            DecisionKind = iota + 1 // this attempt, and no other with its key, may run
	Replay                                 // an earlier attempt ran; its outcome is known
	OutcomeUnknown                         // an earlier attempt may have run
	KeyReused                              // the key was used before with different content
	Unclaimed                              // the claim could not be recorded; no earlier attempt holds the key
	Unavailable                            // the claim could not be recorded; an earlier attempt may hold the key
	KeyExpired                             // the key is older than the known part of the log, or than a part that can't be read
)

// Decision is the decision on a request.
type Decision struct {
	Attempt AttemptID
	Kind    DecisionKind
	Outcome *Outcome // set for Replay, and for OutcomeUnknown if only the body is missing
}

var decisionNames = map[DecisionKind]string{
	Run: "run", Replay: "replay", OutcomeUnknown: "unknown", KeyReused: "reused",
	Unclaimed: "unclaimed", Unavailable: "unavailable", KeyExpired: "forgotten",
}

// String returns the value of the metrics label for the decision.
func (k DecisionKind) String() string { return decisionNames[k] }
