package quarantine

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// trialDelay is the time after the last ended server until one request with a suspected part is sent, in case that
	// the suspicion is wrong. Each trial multiplies the delay by trialBackoff. The second one comes before the evidence
	// expires and the third would not, so that few servers end under a part that does end them.
	trialDelay   = 20 * time.Second
	trialBackoff = 16
)

// nextTrial returns the time of the next trial.
func (p *part) nextTrial() time.Time {
	last := p.lastEnd()
	if p.trialAt.After(last) {
		last = p.trialAt
	}
	delay := trialDelay
	for range min(p.trials, 2) {
		delay *= trialBackoff
	}
	return last.Add(delay)
}

// StartTrial reports whether a request that is held for its parts is sent nevertheless, as a trial. It is if a trial of
// each of these parts is due.
func (r *Registry) StartTrial(parts []uint64, now time.Time) bool {
	held := r.incriminated(parts)
	for _, id := range held {
		if now.Before(r.suspects[id].nextTrial()) || !r.mayTry(id) {
			return false
		}
	}
	for _, id := range held {
		p := r.suspects[id]
		p.trials, p.trialAt, p.changedAt = p.trials+1, now, now
	}
	return true
}

// TrialRank returns the rank of a daemon for the trials of a part. The daemon with the highest rank makes them.
func TrialRank(part uint64, daemon string) uint64 {
	var key [8]byte
	binary.LittleEndian.PutUint64(key[:], part)
	hash := xxhash.New()
	_, _ = hash.Write(key[:]) // never fails
	_, _ = hash.WriteString(daemon)
	return hash.Sum64()
}
