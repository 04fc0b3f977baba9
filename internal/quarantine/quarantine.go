// Package quarantine identifies prompt parts that end the backend servers which answer them (queries of death, Site
// Reliability Engineering, chapter 22), from what was in flight at servers when they ended, and tells which requests
// must not be sent any more. Daemons exchange the evidence as reports. The package has no clock, socket or lock of its
// own.
package quarantine

import (
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
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
	// trialDelay is the time after the last ended server or trial until one request with a suspected part is sent, in
	// case that the suspicion is wrong. It doubles with each trial, maxTrialDoublings times at most, so that a part
	// that ends servers is found out again before its evidence expires.
	trialDelay        = 20 * time.Second
	maxTrialDoublings = 4
	// maxParts bounds the parts with evidence, maxEnds the ended servers that are kept for each.
	maxParts = 512
	maxEnds  = 32
	// maxSoundParts bounds the parts whose last sound answer is remembered.
	maxSoundParts = 8192
)

// End is the end of a backend server while a request was in flight there. Servers are identified by a hash of their ID
// and incarnation.
type End struct {
	Server    uint64
	At        time.Time
	Begun     bool // a part of the answer had arrived
	Disproved bool // the server has answered since
}

// part is the evidence against a prompt part.
type part struct {
	ends      []End // of different servers
	soundAt   time.Time
	heldAt    time.Time // when it became suspected; zero if it isn't
	liftedAt  time.Time // by an operator; earlier evidence doesn't count
	trials    int       // requests that were sent although it was suspected
	trialAt   time.Time // of the last one
	changedAt time.Time // when something was added that peers may not know
}

// lastEnd returns the time of the last ended server, zero if there is none.
func (p *part) lastEnd() time.Time {
	var last time.Time
	for _, e := range p.ends {
		if e.At.After(last) {
			last = e.At
		}
	}
	return last
}

// counts reports whether the end is evidence against the part.
func (p *part) counts(e End) bool {
	return !e.Disproved && e.At.After(p.liftedAt) && (p.soundAt.IsZero() || e.At.After(p.soundAt.Add(soundTTL)))
}

// weight returns the evidence against the part without the servers whose end is explained otherwise.
func (p *part) weight(explained map[uint64]bool) int {
	total := 0
	for _, e := range p.ends {
		switch {
		case !p.counts(e) || explained[e.Server]:
		case e.Begun:
			total += beginWeight
		default:
			total += waitWeight
		}
	}
	return total
}

// incriminated reports whether the evidence makes the part a suspect, without the servers whose end is explained
// otherwise.
func (p *part) incriminated(explained map[uint64]bool) bool {
	return p.weight(explained) >= suspectWeight
}

// nextTrial returns the time of the next trial.
func (p *part) nextTrial() time.Time {
	last := p.lastEnd()
	if p.trialAt.After(last) {
		last = p.trialAt
	}
	return last.Add(trialDelay << min(p.trials, maxTrialDoublings))
}

func (p *part) suspected() bool { return !p.heldAt.IsZero() }

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
func (r *Registry) Held(parts []uint64, now time.Time) (Status, bool) {
	if !slices.ContainsFunc(parts, func(id uint64) bool { return r.suspects[id] != nil }) {
		return Status{}, false
	}
	explained := make(map[uint64]bool)
	for id, p := range r.suspects {
		if !slices.Contains(parts, id) {
			p.explain(explained)
		}
	}
	for _, id := range parts {
		if p := r.suspects[id]; p != nil && p.incriminated(explained) && !r.startTrial(id, p, now) {
			return p.status(id), true
		}
	}
	return Status{}, false
}

// startTrial reports whether a request with the suspected part is sent as a trial.
func (r *Registry) startTrial(id uint64, p *part, now time.Time) bool {
	if now.Before(p.nextTrial()) || !r.mayTry(id) {
		return false
	}
	p.trials, p.trialAt, p.changedAt = p.trials+1, now, now
	return true
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

func (p *part) status(id uint64) Status {
	s := Status{Part: id, Since: p.heldAt, Until: p.nextTrial()}
	for _, e := range p.ends {
		if !e.Disproved {
			s.Servers = append(s.Servers, e.Server)
		}
	}
	return s
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

// explain adds the servers whose end is evidence against the part.
func (p *part) explain(explained map[uint64]bool) {
	for _, e := range p.ends {
		if p.counts(e) {
			explained[e.Server] = true
		}
	}
}

// update recomputes after a change of the evidence whether the part is suspected.
func (r *Registry) update(id uint64, p *part, now time.Time) {
	switch incriminated := p.incriminated(nil); {
	case incriminated && !p.suspected():
		p.heldAt, p.changedAt = now, now
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
	p.heldAt = time.Time{}
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

// TrialRank returns the rank of a daemon for the trials of a part. The daemon with the highest rank makes them.
func TrialRank(part uint64, daemon string) uint64 {
	var key [8]byte
	binary.LittleEndian.PutUint64(key[:], part)
	hash := xxhash.New()
	_, _ = hash.Write(key[:]) // never fails
	_, _ = hash.WriteString(daemon)
	return hash.Sum64()
}
