package peer

import (
	"sync"
	"time"
)

// pingsKept is how many unanswered pings of a session are remembered.
const maxTrackedPings = 16

// pingTimes remembers when the newest pings of a session were sent.
type pingTracker struct {
	mu    sync.Mutex
	seqs  [maxTrackedPings]uint64
	times [maxTrackedPings]time.Time
}

func (p *pingTracker) record(seq uint64, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.seqs[seq%maxTrackedPings], p.times[seq%maxTrackedPings] = seq, now
}

// sent returns when the ping was sent, and false when that is no longer known.
func (p *pingTracker) sentAt(seq uint64) (time.Time, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if seq == 0 || p.seqs[seq%maxTrackedPings] != seq {
		return time.Time{}, false
	}
	return p.times[seq%maxTrackedPings], true
}
