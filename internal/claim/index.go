package claim

import (
	"slices"
	"time"
)

// maxReleased bounds the released attempts that are remembered of one key.
const maxReleased = 16

// entry is what the log tells of one key.
type entry struct {
	at       time.Time // of the last claim that took effect
	held     bool
	holder   AttemptID
	content  Hash
	outcome  *Outcome // nil while the holder runs
	released []AttemptID
}

func (e *entry) isReleased(a AttemptID) bool {
	return slices.Contains(e.released, a)
}

// index is the state of all keys, derived from the log in the order of offsets.
type index struct {
	next       int64     // offset of the next record to apply; -1 while not known
	positioned bool      // covered is known
	covered    time.Time // no record before this time was missed; zero when none at all was
	entries    map[Hash]*entry
	order      []aged // in the order of application
	bodies     int64  // bytes of answers kept
	withBody   []*Outcome
}

type aged struct {
	key Hash
	at  time.Time
}

func newIndex() *index { return &index{next: -1, entries: map[Hash]*entry{}} }

// position begins reading at an offset. Unless it is that of the topic's first record ever,
// only what is newer than covered is known.
func (x *index) position(first int64, covered time.Time) {
	x.next = first
	x.positioned = first == 0 || !covered.IsZero()
	x.covered = covered
	if first == 0 {
		x.covered = time.Time{}
	}
	x.entries = map[Hash]*entry{}
	x.order = nil
	x.bodies, x.withBody = 0, nil
}

// cover notes the time from which on no record was missed.
func (x *index) cover(at time.Time) {
	if !x.positioned {
		x.positioned = true
		x.covered = at
	}
}

// apply takes in the record at the next offset.
func (x *index) apply(b Batch) {
	x.next++
	if b.CreatedAt.IsZero() {
		return
	}
	x.cover(b.CreatedAt)
	for i := range b.Records {
		x.applyRecord(b.CreatedAt, &b.Records[i])
	}
}

func (x *index) applyRecord(at time.Time, r *Record) {
	e, ok := x.entries[r.Key]
	if !ok {
		e = &entry{at: at}
		x.entries[r.Key] = e
		x.order = append(x.order, aged{key: r.Key, at: at})
	}
	switch r.Kind {
	case KindClaim:
		if e.held || e.isReleased(r.Attempt) {
			return
		}
		e.held, e.holder, e.content, e.at = true, r.Attempt, r.Content, at
	case KindRelease:
		e.release(r.Attempt)
	case KindOutcome:
		x.end(e, r.Attempt, r.Outcome)
	}
}

func (e *entry) release(a AttemptID) {
	if !e.isReleased(a) {
		e.released = append(e.released, a)
	}
	if len(e.released) > maxReleased {
		e.released = e.released[1:]
	}
	if e.held && e.holder == a && e.outcome == nil {
		e.held = false
	}
}

// end notes the outcome of the holder's run. Only the first counts.
func (x *index) end(e *entry, a AttemptID, o *Outcome) {
	if !e.held || e.holder != a || e.outcome != nil || o == nil {
		return
	}
	kept := *o
	e.outcome = &kept
	if len(kept.Body) > 0 {
		x.bodies += int64(len(kept.Body))
		x.withBody = append(x.withBody, &kept)
	}
}

// trim drops the oldest answers' bodies above the limit.
func (x *index) trim(limit int64) {
	for x.bodies > limit {
		o := x.withBody[0]
		x.withBody = x.withBody[1:]
		x.bodies -= int64(len(o.Body))
		o.Body, o.BodyDropped = nil, true
	}
}

// expire drops the keys whose last claim is older than the time.
func (x *index) expire(before time.Time) {
	for len(x.order) > 0 && x.order[0].at.Before(before) {
		head := x.order[0]
		x.order = x.order[1:]
		e := x.entries[head.key]
		if !e.at.Before(before) {
			x.order = append(x.order, aged{key: head.key, at: e.at})
			continue
		}
		x.drop(e)
		delete(x.entries, head.key)
	}
}

func (x *index) drop(e *entry) {
	if e.outcome == nil || len(e.outcome.Body) == 0 {
		return
	}
	x.withBody = slices.DeleteFunc(x.withBody, func(o *Outcome) bool { return o == e.outcome })
	x.bodies -= int64(len(e.outcome.Body))
}
