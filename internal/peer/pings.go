package peer

import (
	"sync"
	"time"
)

// pingsKept is how many unanswered pings of a session are remembered.
const pingsKept = 16

// pingTimes remembers when the newest pings of a session were sent.
type pingTimes struct {
	mu    sync.Mutex
	seqs  [pingsKept]uint64
	times [pingsKept]time.Time
}

func (p *pingTimes) add(seq uint64, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.seqs[seq%pingsKept], p.times[seq%pingsKept] = seq, now
}

// sent returns when the ping was sent, and false when that is no longer known.
func (p *pingTimes) sent(seq uint64) (time.Time, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if seq == 0 || p.seqs[seq%pingsKept] != seq {
		return time.Time{}, false
	}
	return p.times[seq%pingsKept], true
}
