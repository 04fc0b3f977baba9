package quarantine

import "time"

// Kind is what a subject of suspicion is.
type Kind uint8

// The kinds of subjects. Daemons exchange and store their numbers.
const (
	PromptPart   Kind = iota // a prompt part that several requests may share
	WholeRequest             // one request and its repeats, see RequestDigest
)

// String returns the name of the kind in logs and lists.
func (k Kind) String() string {
	if k == WholeRequest {
		return "request"
	}
	return "prompt_part"
}

// Subject is something that may end the servers that answer requests with it.
type Subject struct {
	Kind Kind
	ID   uint64 // hash of the part's ID, or digest of the request
}

// Parts returns the subjects of prompt parts.
func Parts(ids []uint64) []Subject {
	subjects := make([]Subject, len(ids))
	for i, id := range ids {
		subjects[i] = Subject{PromptPart, id}
	}
	return subjects
}

// rule tells when a subject of a kind is suspected, and for how long.
type rule struct {
	// beginWeight and waitWeight are the evidence of one ended server, if its answer had begun and if nothing of it had
	// arrived. A server that ends takes all waiting requests with it.
	beginWeight, waitWeight int
	suspectWeight           int // evidence for which a subject is suspected
	// trialDelays are the times after the last ended server, or the last trial, until one request with the suspected
	// subject is sent, in case that the suspicion is wrong. There are no further trials.
	trialDelays []time.Duration
	// suspicionTTL is the time after the last ended server for which the evidence against a suspected subject is kept.
	suspicionTTL time.Duration
	maxSubjects  int // with evidence
}

var rules = [...]rule{
	PromptPart: {
		beginWeight: 2, waitWeight: 1, suspectWeight: 5,
		trialDelays:  []time.Duration{20 * time.Second, 320 * time.Second},
		suspicionTTL: evidenceTTL, maxSubjects: 512,
	},
	// A request that ends each server that runs it does so at any time of its answer, and may end three.
	WholeRequest: {
		beginWeight: 1, waitWeight: 1, suspectWeight: 3,
		trialDelays:  []time.Duration{2 * time.Second, time.Minute},
		suspicionTTL: 24 * time.Hour, maxSubjects: 1024,
	},
}

// knownKind reports whether a kind that a peer has sent has a rule. Newer daemons may send further ones.
func knownKind(k Kind) bool { return int(k) < len(rules) }
