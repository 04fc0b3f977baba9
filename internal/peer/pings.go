package peer

import (
	"sync"
	"time"
)

// maxTrackedPings is the number of latest pings of a session whose send time is stored.
const maxTrackedPings = 16

// pingTracker stores the send times of the latest pings of a session in a ring buffer indexed
// by sequence number. Sequence numbers start at 1.
type pingTracker struct {
	mu    sync.Mutex
	seqs  [maxTrackedPings]uint64
	times [maxTrackedPings]time.Time
}

// record stores the send time of a ping.
func (p *pingTracker) record(seq uint64, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.seqs[seq%maxTrackedPings], p.times[seq%maxTrackedPings] = seq, now
}

// sentAt returns the send time of a ping, or false if it is no longer stored.
func (p *pingTracker) sentAt(seq uint64) (time.Time, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if seq == 0 || p.seqs[seq%maxTrackedPings] != seq {
		return time.Time{}, false
	}
	return p.times[seq%maxTrackedPings], true
}
