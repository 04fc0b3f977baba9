// Package quarantine identifies prompt parts that end the backend servers which answer them (queries of death, Site
// Reliability Engineering, chapter 22), from what was in flight at servers when they ended, and tells which requests
// must not be sent any more. Daemons exchange the evidence as reports. The package has no clock, socket or lock of its
// own.
package quarantine

import (
	"maps"
	"slices"
	"time"
)

const (
	// beginWeight and waitWeight are the evidence of one ended server against a part, if its answer had begun and if
	// nothing of it had arrived. A server that ends takes all waiting requests with it, so these are weaker evidence.
	beginWeight = 2
	waitWeight  = 1
	// suspectWeight is the evidence for which a part is suspected: three ended servers on which its answer had begun, or
	// five on which it may have.
	suspectWeight = 5
	// soundTTL is the time for which an answer on a part that went on proves that the part doesn't end servers. It
	// keeps parts of many requests out of the evidence when several servers end together, and is shorter than the time
	// in which a part must be held after it starts to end servers.
	soundTTL = 2 * time.Second
	// aliveMargin is how long after its reported end a server must answer to disprove the report. Answers that were on
	// their way arrive earlier.
	aliveMargin = 250 * time.Millisecond
	// aliveWindow is how long after its reported end answers of a server are checked for that.
	aliveWindow = 5 * time.Second
	// evidenceTTL is the time after the last ended server for which the evidence against a part is kept.
	evidenceTTL = 10 * time.Minute
	// maxParts bounds the parts with evidence, maxEnds the ended servers that are kept for each.
	maxParts = 512
	maxEnds  = 32
	// maxSoundParts bounds the parts whose last sound answer is remembered.
	maxSoundParts = 8192
)

// Change is a part that became suspected, or is no longer.
type Change struct {
	Status
	Suspected bool
}

// Status describes a suspected part.
type Status struct {
	Part    uint64
	Since   time.Time
	Until   time.Time // the next trial
	Servers []uint64  // ended servers that are the evidence
}

// Registry holds the evidence of the fleet, as far as this daemon knows it. It is not safe for concurrent use.
type Registry struct {
	mayTry     func(part uint64) bool
	parts      map[uint64]*part
	recentEnds map[uint64]time.Time // by server, for aliveWindow
	sound      *soundParts
	suspects   map[uint64]*part // those of parts that are suspected
	changes    []Change
	refresh    int // rotates the unchanged parts in reports
}

// New returns a Registry without evidence. mayTry reports whether this daemon makes the trials of a part; one daemon of
// the fleet should.
func New(mayTry func(part uint64) bool) *Registry {
	return &Registry{
		mayTry:     mayTry,
		parts:      make(map[uint64]*part),
		suspects:   make(map[uint64]*part),
		recentEnds: make(map[uint64]time.Time),
		sound:      newSoundParts(maxSoundParts),
	}
}

// RecordEnd records that the server ended while a request with the parts was in flight there. parts are those that
// other requests may share.
func (r *Registry) RecordEnd(parts []uint64, e End, now time.Time) {
	for _, id := range parts {
		if soundAt := r.sound.at(id); !soundAt.IsZero() && !e.At.After(soundAt.Add(soundTTL)) {
			continue // never counts, so that peers needn't know it either
		}
		p := r.part(id, now)
		r.addEnd(p, e, now)
		r.update(id, p, now)
	}
}

// RecordSound records that an answer to a request with the parts has gone on after its first event, or is complete.
func (r *Registry) RecordSound(parts []uint64, now time.Time) {
	for _, id := range parts {
		r.sound.put(id, now)
		p, ok := r.parts[id]
		if !ok {
			continue
		}
		if now.Sub(p.soundAt) > soundTTL/4 {
			p.changedAt = now
		}
		p.soundAt = now
		r.update(id, p, now)
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
	for id, p := range r.parts {
		for i := range p.ends {
			e := &p.ends[i]
			if e.Server == server && !e.Disproved {
				e.Disproved, p.changedAt = true, now
				r.update(id, p, now)
			}
		}
	}
}

// AnySuspected reports whether any part is suspected.
func (r *Registry) AnySuspected() bool { return len(r.suspects) > 0 }

// Held returns the part for which a request with the given parts must not be sent, if there is one. That is a suspected
// part, unless suspected parts that the request doesn't have explain the evidence against it: of several parts that
// were always together when servers ended, only requests with all of them are held, so that other requests can show
// which ones are sound.
func (r *Registry) Held(parts []uint64) (Status, bool) {
	for _, id := range r.incriminated(parts) {
		return r.suspects[id].status(id), true
	}
	return Status{}, false
}

// incriminated returns those of a request's parts for which it is held.
func (r *Registry) incriminated(parts []uint64) []uint64 {
	if !slices.ContainsFunc(parts, func(id uint64) bool { return r.suspects[id] != nil }) {
		return nil
	}
	explained := make(map[uint64]bool)
	for id, p := range r.suspects {
		if !slices.Contains(parts, id) {
			p.explain(explained)
		}
	}
	var ids []uint64
	for _, id := range parts {
		if p := r.suspects[id]; p != nil && p.incriminated(explained) {
			ids = append(ids, id)
		}
	}
	return ids
}

// List returns the suspected parts, the earliest first.
func (r *Registry) List(now time.Time) []Status {
	r.expire(now)
	var list []Status
	for id, p := range r.suspects {
		list = append(list, p.status(id))
	}
	slices.SortFunc(list, func(a, b Status) int { return a.Since.Compare(b.Since) })
	return list
}

// Lift clears a suspected part. Evidence from before doesn't count any more. It reports whether the part was suspected.
func (r *Registry) Lift(id uint64, now time.Time) bool {
	p, ok := r.parts[id]
	if !ok || !p.suspected() {
		return false
	}
	p.liftedAt, p.trials, p.changedAt = now, 0, now
	r.update(id, p, now)
	return true
}

// Changes returns the parts that became suspected, or are no longer, since the last call.
func (r *Registry) Changes() []Change {
	changes := r.changes
	r.changes = nil
	return changes
}

// part returns the evidence against a part, and adds an entry if there is none.
func (r *Registry) part(id uint64, now time.Time) *part {
	p, ok := r.parts[id]
	if !ok {
		r.makeRoom(now)
		p = &part{soundAt: r.sound.at(id)}
		r.parts[id] = p
	}
	return p
}

// makeRoom removes the part with the least recent evidence if there are too many, preferably one that isn't suspected.
func (r *Registry) makeRoom(now time.Time) {
	if len(r.parts) < maxParts {
		return
	}
	r.expire(now)
	for len(r.parts) >= maxParts {
		var oldest uint64
		var oldestPart *part
		for id, p := range r.parts {
			if oldestPart == nil || (oldestPart.suspected() && !p.suspected()) ||
				(oldestPart.suspected() == p.suspected() && p.lastEnd().Before(oldestPart.lastEnd())) {
				oldest, oldestPart = id, p
			}
		}
		r.clear(oldest, oldestPart)
		delete(r.parts, oldest)
	}
}

// addEnd adds the end of a server, or completes what is known of it.
func (r *Registry) addEnd(p *part, e End, now time.Time) {
	for i := range p.ends {
		known := &p.ends[i]
		if known.Server != e.Server {
			continue
		}
		if (e.Begun && !known.Begun) || (e.Disproved && !known.Disproved) {
			known.Begun, known.Disproved = known.Begun || e.Begun, known.Disproved || e.Disproved
			p.changedAt = now
		}
		return
	}
	p.ends = append(p.ends, e)
	p.changedAt = now
	if _, ok := r.recentEnds[e.Server]; !ok && !e.Disproved && now.Sub(e.At) < aliveWindow {
		r.recentEnds[e.Server] = e.At
	}
	if len(p.ends) > maxEnds { // the oldest of those that don't count, otherwise the oldest
		oldest := 0
		for i, e := range p.ends {
			if p.counts(e) != p.counts(p.ends[oldest]) {
				if !p.counts(e) {
					oldest = i
				}
			} else if e.At.Before(p.ends[oldest].At) {
				oldest = i
			}
		}
		p.ends = slices.Delete(p.ends, oldest, oldest+1)
	}
}

// update recomputes after a change of the evidence whether the part is suspected.
func (r *Registry) update(id uint64, p *part, now time.Time) {
	switch incriminated := p.incriminated(nil); {
	case incriminated && !p.suspected():
		p.suspectedAt, p.changedAt = now, now
		r.suspects[id] = p
		r.changes = append(r.changes, Change{p.status(id), true})
	case !incriminated:
		r.clear(id, p)
	}
}

// clear ends the suspicion of a part.
func (r *Registry) clear(id uint64, p *part) {
	if !p.suspected() {
		return
	}
	r.changes = append(r.changes, Change{p.status(id), false})
	p.suspectedAt = time.Time{}
	delete(r.suspects, id)
}

// expire removes evidence that is older than evidenceTTL.
func (r *Registry) expire(now time.Time) {
	maps.DeleteFunc(r.recentEnds, func(_ uint64, endedAt time.Time) bool { return now.Sub(endedAt) > aliveWindow })
	for id, p := range r.parts {
		if now.Sub(p.lastEnd()) > evidenceTTL {
			r.clear(id, p)
			delete(r.parts, id)
		}
	}
}

// sortedIDs returns the IDs of the parts in ascending order.
func (r *Registry) sortedIDs() []uint64 { return slices.Sorted(maps.Keys(r.parts)) }
