package quarantine

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
)

// triersDoubling is the time that a due trial waits until twice as many daemons may make it. One of many daemons may never
// receive a request with the subject.
const triersDoubling = 5 * time.Second

// nextTrial returns the time of the next trial, or the expiry of the evidence if there is none before.
func (v *evidence) nextTrial() time.Time {
	if v.trials >= len(v.rule.trialDelays) {
		return v.expiry()
	}
	last := v.lastEnd()
	if v.trialAt.After(last) {
		last = v.trialAt
	}
	return last.Add(v.rule.trialDelays[v.trials])
}

// trialDue reports whether this daemon may send a request with the subject as a trial.
func (r *Registry) trialDue(s Subject, v *evidence, now time.Time) bool {
	overdue := now.Sub(v.nextTrial())
	if overdue < 0 || v.trials >= len(v.rule.trialDelays) {
		return false
	}
	doublings := min(int(overdue/triersDoubling), 30)
	return r.mayTry(s.ID, 1<<doublings)
}

// StartTrial reports whether a request that is held for its subjects is sent nevertheless, as a trial. It is if a trial of
// each of these subjects is due.
func (r *Registry) StartTrial(subjects []Subject, now time.Time) bool {
	held := r.incriminated(subjects)
	for _, s := range held {
		if !r.trialDue(s, r.suspects[s], now) {
			return false
		}
	}
	for _, s := range held {
		v := r.suspects[s]
		v.trials, v.trialAt, v.changedAt, v.observedAt = v.trials+1, now, now, now
	}
	return true
}

// TrialRank returns the rank of a daemon for the trials of a subject. The daemons with the highest ranks make them.
func TrialRank(subject uint64, daemon string) uint64 {
	var key [8]byte
	binary.LittleEndian.PutUint64(key[:], subject)
	hash := xxhash.New()
	_, _ = hash.Write(key[:]) // never fails
	_, _ = hash.WriteString(daemon)
	return hash.Sum64()
}
