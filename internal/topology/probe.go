package topology

import (
	"sync"
	"time"
)

const (
	// minBackoff and maxBackoff bound the time between failing calls of a topic when up to backoffReaders
	// daemons read the store. With more readers the upper bound grows in proportion (see
	// maxBackoffFor): without that, 85 daemons made 2,362 calls in 50 s with an outage of 7 s.
	minBackoff     = 100 * time.Millisecond
	maxBackoff     = 800 * time.Millisecond
	backoffReaders = 4
	// fastRetries is the number of failures after which a topic is called at the longest interval.
	fastRetries = 2
	// backoffJitter is the part of a backoff by which it is longer or shorter at random.
	backoffJitter = 0.02
)

// maxBackoffFor returns the upper bound of the time between two failing calls of one daemon. It
// grows with the number of readers, so that the total rate of calls is bounded.
func maxBackoffFor(readers int) time.Duration {
	return maxBackoff * time.Duration(max(readers, backoffReaders)) / backoffReaders
}

// probeSchedule plans the calls of a daemon to a store that is down. Those of the two topics alternate, since either of them
// shows that the store is back. Daemons notice an outage together, so that each has a phase of its own by its rank: otherwise
// they would all wait at the same time. Its methods are safe for concurrent use.
type probeSchedule struct {
	mu       sync.Mutex
	failures [2]int // in a row, by topic
	planned  time.Time
}

// failed returns when to call the topic again after a call failed. rank is that of the daemon among the readers, from 0 on, and random
// returns a number in [0, 1).
func (p *probeSchedule) failed(t Topic, now time.Time, rank, readers int, random func() float64) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	limit := maxBackoffFor(readers)
	p.failures[t]++
	backoff := time.Duration(float64(limit) * (1 + backoffJitter*(2*random()-1)))
	switch n := p.failures[t]; {
	case n <= fastRetries:
		return now.Add(time.Duration(float64(minBackoff<<(n-1)) * (0.5 + random())))
	case n == fastRetries+1:
		phase := (float64(rank) + random()) / float64(readers)
		backoff = time.Duration(float64(limit) / 2 * phase)
	}
	next := now.Add(backoff)
	if alternate := p.planned.Add(limit / 2); alternate.After(next) {
		next = alternate
	}
	p.planned = next
	return next
}

// backsOff reports whether so many calls of the topic have failed that they are made at the longest interval.
func (p *probeSchedule) backsOff(t Topic) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.failures[t] > fastRetries
}

// failing reports whether a series of failures of a topic goes on.
func (p *probeSchedule) failing() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.failures != [2]int{}
}

// reset ends a series of failures: a call of the topic was answered, or peers read it.
func (p *probeSchedule) reset(t Topic) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.failures[t] = 0
	if p.failures == [2]int{} {
		p.planned = time.Time{} // calls that the end of the outage has overtaken
	}
}
