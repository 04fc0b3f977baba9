package claim

import (
	"slices"
	"time"
)

// maxReleasedPerKey limits the released attempts that are stored for one key.
const maxReleasedPerKey = 16

// keyState is the state of one key.
type keyState struct {
	claimedAt time.Time // creation time of the last effective claim; of the first record if there is none
	held      bool
	heldSince time.Time // completeSince of the index when the last effective claim was applied
	holder    AttemptID
	content   Hash
	outcome   *Outcome // nil until the outcome of the holder is known
	released  []AttemptID
}

func (s *keyState) isReleased(a AttemptID) bool {
	return slices.Contains(s.released, a)
}

// index holds the state of all keys, derived from the records in the order of their offsets.
type index struct {
	nextOffset         int64     // offset of the next batch to apply; -1 until known
	completeSinceKnown bool      // whether completeSince is set
	completeSince      time.Time // no record created since this time is missing; zero if none is missing
	keys               map[Hash]*keyState
	expiryQueue        []expiryItem // keys by age, oldest first
	bodyBytes          int64        // total size of the stored answer bodies
	outcomesWithBody   []*Outcome   // oldest first
}

type expiryItem struct {
	key       Hash
	claimedAt time.Time
}

func newIndex() *index { return &index{nextOffset: -1, keys: map[Hash]*keyState{}} }

// reset removes all keys and continues at an offset. The index is complete if the offset is 0,
// and otherwise only for records created since completeSince.
func (x *index) reset(offset int64, completeSince time.Time) {
	x.nextOffset = offset
	x.completeSinceKnown = offset == 0 || !completeSince.IsZero()
	x.completeSince = completeSince
	if offset == 0 {
		x.completeSince = time.Time{}
	}
	x.keys = map[Hash]*keyState{}
	x.expiryQueue = nil
	x.bodyBytes, x.outcomesWithBody = 0, nil
}

// setCompleteSince sets the time since which no record is missing, unless it is already set.
func (x *index) setCompleteSince(at time.Time) {
	if !x.completeSinceKnown {
		x.completeSinceKnown = true
		x.completeSince = at
	}
}

// apply applies the batch at the next offset. CreatedAt must be set, for an unreadable one to the time at which it was read if
// that of its creation is not known: it may hold claims of all keys that were created before.
func (x *index) apply(b Batch) {
	x.nextOffset++
	x.setCompleteSince(b.CreatedAt)
	if b.Unreadable {
		if b.CreatedAt.After(x.completeSince) {
			x.completeSince = b.CreatedAt
		}
		return
	}
	for i := range b.Records {
		x.applyRecord(b.CreatedAt, &b.Records[i])
	}
}

func (x *index) applyRecord(at time.Time, r *Record) {
	state, ok := x.keys[r.Key]
	if !ok {
		state = &keyState{claimedAt: at}
		x.keys[r.Key] = state
		x.expiryQueue = append(x.expiryQueue, expiryItem{key: r.Key, claimedAt: at})
	}
	switch r.Kind {
	case KindClaim:
		if state.held || state.isReleased(r.Attempt) {
			return
		}
		state.held, state.holder, state.content, state.claimedAt, state.heldSince = true, r.Attempt, r.Content, at, x.completeSince
	case KindRelease:
		state.release(r.Attempt)
	case KindOutcome:
		x.recordOutcome(state, r.Attempt, r.Outcome)
	}
}

func (s *keyState) release(a AttemptID) {
	if !s.isReleased(a) {
		s.released = append(s.released, a)
	}
	if len(s.released) > maxReleasedPerKey {
		s.released = s.released[1:]
	}
	if s.held && s.holder == a && s.outcome == nil {
		s.held = false
	}
}

// recordOutcome stores the outcome of the holder's run. Only the first outcome counts.
func (x *index) recordOutcome(state *keyState, attempt AttemptID, outcome *Outcome) {
	if !state.held || state.holder != attempt || state.outcome != nil || outcome == nil {
		return
	}
	stored := *outcome
	state.outcome = &stored
	if len(stored.Body) > 0 {
		x.bodyBytes += int64(len(stored.Body))
		x.outcomesWithBody = append(x.outcomesWithBody, &stored)
	}
}

// trimBodies drops the oldest answer bodies until their total size is within the limit.
func (x *index) trimBodies(limit int64) {
	for x.bodyBytes > limit {
		o := x.outcomesWithBody[0]
		x.outcomesWithBody = x.outcomesWithBody[1:]
		x.bodyBytes -= int64(len(o.Body))
		o.Body, o.BodyDropped = nil, true
	}
}

// expire removes the keys whose last claim was created before the given time.
func (x *index) expire(before time.Time) {
	for len(x.expiryQueue) > 0 && x.expiryQueue[0].claimedAt.Before(before) {
		head := x.expiryQueue[0]
		x.expiryQueue = x.expiryQueue[1:]
		state := x.keys[head.key]
		if !state.claimedAt.Before(before) {
			x.expiryQueue = append(x.expiryQueue, expiryItem{key: head.key, claimedAt: state.claimedAt})
			continue
		}
		x.dropBody(state)
		delete(x.keys, head.key)
	}
}

func (x *index) dropBody(state *keyState) {
	if state.outcome == nil || len(state.outcome.Body) == 0 {
		return
	}
	x.outcomesWithBody = slices.DeleteFunc(x.outcomesWithBody, func(o *Outcome) bool { return o == state.outcome })
	x.bodyBytes -= int64(len(state.outcome.Body))
}
