package claim

import (
	"slices"
	"time"
)

// maxReleased bounds the released attempts that are remembered of one key.
const maxReleasedPerKey = 16

// entry is what the log tells of one key.
type keyState struct {
	claimedAt time.Time // of the last claim that took effect
	held      bool
	holder    AttemptID
	content   Hash
	outcome   *Outcome // nil while the holder runs
	released  []AttemptID
}

func (s *keyState) isReleased(a AttemptID) bool {
	return slices.Contains(s.released, a)
}

// index is the state of all keys, derived from the log in the order of offsets.
type index struct {
	nextOffset    int64     // offset of the next record to apply; -1 while not known
	coverageKnown bool      // covered is known
	completeSince time.Time // no record before this time was missed; zero when none at all was
	keys          map[Hash]*keyState
	expiryQueue   []expiryItem // in the order of application
	bodyBytes     int64        // bytes of answers kept
	withBody      []*Outcome
}

type expiryItem struct {
	key       Hash
	claimedAt time.Time
}

func newIndex() *index { return &index{nextOffset: -1, keys: map[Hash]*keyState{}} }

// position begins reading at an offset. Unless it is that of the topic's first record ever,
// only what is newer than covered is known.
func (x *index) reset(offset int64, completeSince time.Time) {
	x.nextOffset = offset
	x.coverageKnown = offset == 0 || !completeSince.IsZero()
	x.completeSince = completeSince
	if offset == 0 {
		x.completeSince = time.Time{}
	}
	x.keys = map[Hash]*keyState{}
	x.expiryQueue = nil
	x.bodyBytes, x.withBody = 0, nil
}

// cover notes the time from which on no record was missed.
func (x *index) setCompleteSince(at time.Time) {
	if !x.coverageKnown {
		x.coverageKnown = true
		x.completeSince = at
	}
}

// apply takes in the record at the next offset.
func (x *index) apply(b Batch) {
	x.nextOffset++
	if b.CreatedAt.IsZero() {
		return
	}
	x.setCompleteSince(b.CreatedAt)
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
		state.held, state.holder, state.content, state.claimedAt = true, r.Attempt, r.Content, at
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

// end notes the outcome of the holder's run. Only the first counts.
func (x *index) recordOutcome(state *keyState, attempt AttemptID, outcome *Outcome) {
	if !state.held || state.holder != attempt || state.outcome != nil || outcome == nil {
		return
	}
	stored := *outcome
	state.outcome = &stored
	if len(stored.Body) > 0 {
		x.bodyBytes += int64(len(stored.Body))
		x.withBody = append(x.withBody, &stored)
	}
}

// trim drops the oldest answers' bodies above the limit.
func (x *index) trimBodies(limit int64) {
	for x.bodyBytes > limit {
		o := x.withBody[0]
		x.withBody = x.withBody[1:]
		x.bodyBytes -= int64(len(o.Body))
		o.Body, o.BodyDropped = nil, true
	}
}

// expire drops the keys whose last claim is older than the time.
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
	x.withBody = slices.DeleteFunc(x.withBody, func(o *Outcome) bool { return o == state.outcome })
	x.bodyBytes -= int64(len(state.outcome.Body))
}
