// Package quarantine identifies requests, and prompt parts of requests, that end the backend servers which answer them
// (queries of death, Site Reliability Engineering, chapter 22), from what was in flight at servers when they ended, and
// tells which requests must not be sent any more. Daemons exchange the evidence as reports. The package has no clock,
// socket or lock of its own.
package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// soundTTL is the time for which an answer on a subject that went on proves that the subject doesn't end servers. It
	// keeps parts of many requests out of the evidence when several servers end together, and is shorter than the time
	// in which a subject must be held after it starts to end servers.
	soundTTL = 2 * time.Second
	// aliveMargin is how long after its reported end a server must answer to disprove the report. Answers that were on
	// their way arrive earlier.
	aliveMargin = 250 * time.Millisecond
	// aliveWindow is how long after its reported end answers of a server are checked for that.
	aliveWindow = 5 * time.Second
	// evidenceTTL is the time after the last ended server for which the evidence against a subject is kept that isn't
	// suspected.
	evidenceTTL = 10 * time.Minute
	// maxEnds bounds the ended servers that are kept for each subject.
	maxEnds = 32
	// maxSoundParts bounds the parts whose last sound answer is remembered.
	maxSoundParts = 8192
)

// Change is a subject that became suspected, or is no longer.
type Change struct {
	Status
	Suspected bool
}

// Status describes a suspected subject.
type Status struct {
	Subject
	Since   time.Time
	Until   time.Time // the next trial, or the end of the suspicion if there is none before
	Servers []uint64  // ended servers that are the evidence
}

// Registry holds the evidence of the fleet, as far as this daemon knows it. It is not safe for concurrent use.
type Registry struct {
	mayTry     func(subject uint64, triers int) bool
	evidence   map[Subject]*evidence
	recentEnds map[uint64]time.Time // by server, for aliveWindow
	sound      *soundParts
	suspects   map[Subject]*evidence // those that are suspected
	counts     [len(rules)]int       // subjects with evidence, by kind
	changes    []Change
	refresh    int // rotates the unchanged subjects in reports
}

// New returns a Registry without evidence. mayTry reports whether this daemon is one of the given number of daemons of the
// fleet that make the trials of a subject.
func New(mayTry func(subject uint64, triers int) bool) *Registry {
	return &Registry{
		mayTry:     mayTry,
		evidence:   make(map[Subject]*evidence),
		suspects:   make(map[Subject]*evidence),
		recentEnds: make(map[uint64]time.Time),
		sound:      newSoundParts(maxSoundParts),
	}
}

// RecordEnd records that the server ended while a request with the subjects was in flight there. Of its prompt parts, these
// are the ones that other requests may share.
func (r *Registry) RecordEnd(subjects []Subject, e End, now time.Time) {
	for _, s := range subjects {
		if soundAt := r.sound.at(s); !soundAt.IsZero() && !e.At.After(soundAt.Add(soundTTL)) {
			continue // never counts, so that peers needn't know it either
		}
		v := r.evidenceOf(s, now)
		r.addEnd(v, e, now)
		v.observedAt = now
		r.update(s, v, now)
	}
}

// RecordSound records that an answer to a request with the subjects proves that they don't end servers.
func (r *Registry) RecordSound(subjects []Subject, now time.Time) {
	for _, s := range subjects {
		r.sound.put(s, now)
		v, ok := r.evidence[s]
		if !ok {
			continue
		}
		if now.Sub(v.soundAt) > soundTTL/4 {
			v.changedAt, v.observedAt = now, now
		}
		v.soundAt = now
		r.update(s, v, now)
	}
}

// RecordAlive records an event of a request that was sent to the server at sentAt. It disproves the reported end of a
// server that answers a request from before.
func (r *Registry) RecordAlive(server uint64, sentAt, now time.Time) {
	endedAt, ok := r.recentEnds[server]
	if !ok || !endedAt.After(sentAt) || !now.After(endedAt.Add(aliveMargin)) {
		return
	}
	delete(r.recentEnds, server)
	for s, v := range r.evidence {
		for i := range v.ends {
			e := &v.ends[i]
			if e.Server == server && !e.Disproved {
				e.Disproved, v.changedAt, v.observedAt = true, now, now
				r.update(s, v, now)
			}
		}
	}
}

// AnySuspected reports whether any subject of the kind is suspected.
func (r *Registry) AnySuspected(k Kind) bool {
	for s := range r.suspects {
		if s.Kind == k {
			return true
		}
	}
	return false
}

// AnyEvidence reports whether there is evidence against any subject of the kind.
func (r *Registry) AnyEvidence(k Kind) bool { return r.counts[k] > 0 }

// Held returns the subject for which a request with the given ones must not be sent, if there is one. That is a suspected
// request, or a suspected part unless suspects that the request doesn't have explain the evidence against it: of several
// parts that were always together when servers ended, only requests with all of them are held, so that other requests
// can show which ones are sound.
func (r *Registry) Held(subjects []Subject) (Status, bool) {
	for _, s := range r.incriminated(subjects) {
		return r.suspects[s].status(s), true
	}
	return Status{}, false
}

// incriminated returns those of a request's subjects for which it is held.
func (r *Registry) incriminated(subjects []Subject) []Subject {
	var held []Subject
	var explained map[uint64]bool // by suspected parts that the request doesn't have
	for _, s := range subjects {
		v := r.suspects[s]
		switch {
		case v == nil:
		case s.Kind == WholeRequest:
			held = append(held, s)
		default:
			if explained == nil {
				explained = r.explainedWithout(subjects)
			}
			if v.incriminated(explained) && !r.explainedByRequest(v, subjects) {
				held = append(held, s)
			}
		}
	}
	return held
}

// explainedWithout returns the ended servers that are evidence against suspected parts other than the given subjects.
func (r *Registry) explainedWithout(subjects []Subject) map[uint64]bool {
	explained := make(map[uint64]bool)
	for s, v := range r.suspects {
		if s.Kind == PromptPart && !slices.Contains(subjects, s) {
			v.explain(explained)
		}
	}
	return explained
}

// explainedByRequest reports whether servers have ended under a part only together with one suspected request, which is
// none of the given subjects. That request is then the cause and not the part.
func (r *Registry) explainedByRequest(part *evidence, subjects []Subject) bool {
	for s, v := range r.suspects {
		if s.Kind == WholeRequest && !slices.Contains(subjects, s) && v.covers(part) {
			return true
		}
	}
	return false
}

// List returns the suspected subjects, the earliest first.
func (r *Registry) List(now time.Time) []Status {
	r.expire(now)
	var list []Status
	for s, v := range r.suspects {
		list = append(list, v.status(s))
	}
	slices.SortFunc(list, func(a, b Status) int { return a.Since.Compare(b.Since) })
	return list
}

// Lift clears the suspected subjects with the ID. Evidence from before doesn't count any more. It reports whether there was
// one.
func (r *Registry) Lift(id uint64, now time.Time) bool {
	lifted := false
	for kind := range rules {
		s := Subject{Kind(kind), id}
		if v, ok := r.suspects[s]; ok {
			v.liftedAt, v.trials, v.changedAt, v.observedAt = now, 0, now, now
			r.update(s, v, now)
			lifted = true
		}
	}
	return lifted
}

// Changes returns the subjects that became suspected, or are no longer, since the last call.
func (r *Registry) Changes() []Change {
	changes := r.changes
	r.changes = nil
	return changes
}

// evidenceOf returns the evidence against a subject, and adds an entry if there is none.
func (r *Registry) evidenceOf(s Subject, now time.Time) *evidence {
	v, ok := r.evidence[s]
	if !ok {
		r.makeRoom(s.Kind, now)
		v = &evidence{rule: &rules[s.Kind], soundAt: r.sound.at(s)}
		r.evidence[s] = v
		r.counts[s.Kind]++
	}
	return v
}

// makeRoom removes the subject of the kind with the least and then the oldest evidence if there are too many.
func (r *Registry) makeRoom(k Kind, now time.Time) {
	if r.counts[k] < rules[k].maxSubjects {
		return
	}
	r.expire(now)
	for r.counts[k] >= rules[k].maxSubjects {
		var least Subject
		var leastEvidence *evidence
		for s, v := range r.evidence {
			if s.Kind == k && (leastEvidence == nil || v.compare(leastEvidence) < 0) {
				least, leastEvidence = s, v
			}
		}
		r.remove(least)
	}
}

// compare orders evidence by its weight and the time of the last end.
func (v *evidence) compare(other *evidence) int {
	return cmp.Or(cmp.Compare(v.weight(nil), other.weight(nil)), v.lastEnd().Compare(other.lastEnd()))
}

// remove forgets the evidence against a subject.
func (r *Registry) remove(s Subject) {
	if v, ok := r.evidence[s]; ok {
		r.clear(s, v)
		delete(r.evidence, s)
		r.counts[s.Kind]--
	}
}

// addEnd adds the end of a server, or completes what is known of it.
func (r *Registry) addEnd(v *evidence, e End, now time.Time) {
	for i := range v.ends {
		known := &v.ends[i]
		if known.Server != e.Server {
			continue
		}
		if (e.Begun && !known.Begun) || (e.Disproved && !known.Disproved) {
			known.Begun, known.Disproved = known.Begun || e.Begun, known.Disproved || e.Disproved
			v.changedAt = now
		}
		return
	}
	v.ends = append(v.ends, e)
	v.changedAt = now
	if _, ok := r.recentEnds[e.Server]; !ok && !e.Disproved && now.Sub(e.At) < aliveWindow {
		r.recentEnds[e.Server] = e.At
	}
	if len(v.ends) > maxEnds { // the oldest of those that don't count, otherwise the oldest
		oldest := 0
		for i, e := range v.ends {
			if v.counts(e) != v.counts(v.ends[oldest]) {
				if !v.counts(e) {
					oldest = i
				}
			} else if e.At.Before(v.ends[oldest].At) {
				oldest = i
			}
		}
		v.ends = slices.Delete(v.ends, oldest, oldest+1)
	}
}

// update recomputes after a change of the evidence whether the subject is suspected.
func (r *Registry) update(s Subject, v *evidence, now time.Time) {
	switch incriminated := v.incriminated(nil); {
	case incriminated && !v.suspected():
		v.suspectedAt, v.changedAt = now, now
		r.suspects[s] = v
		r.changes = append(r.changes, Change{v.status(s), true})
	case !incriminated:
		r.clear(s, v)
	}
}

// clear ends the suspicion of a subject.
func (r *Registry) clear(s Subject, v *evidence) {
	if !v.suspected() {
		return
	}
	r.changes = append(r.changes, Change{v.status(s), false})
	v.suspectedAt = time.Time{}
	delete(r.suspects, s)
}

// expire removes evidence that is too old.
func (r *Registry) expire(now time.Time) {
	maps.DeleteFunc(r.recentEnds, func(_ uint64, endedAt time.Time) bool { return now.Sub(endedAt) > aliveWindow })
	for s, v := range r.evidence {
		if now.After(v.expiry()) {
			r.remove(s)
		}
	}
}
