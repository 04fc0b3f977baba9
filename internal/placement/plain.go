package placement

import "iter"

const (
	// plainGain is the weight of the newest time in plainTiming.average.
	plainGain = 0.1
	// plainIdleGain is the weight of a longer time in plainTiming.idle.
	plainIdleGain = 0.01
	// maxPlainRatio bounds the influence of a single request: a time counts as at most so many times the average, or the time that is
	// assumed for idle servers.
	maxPlainRatio = 4
)

// plainTiming is what is known of the times of a plain server, in seconds. The zero value knows nothing.
type plainTiming struct {
	known   bool
	average float64 // moving average
	idle    float64 // on the idle server: about the least of late
}

// observe records the time that a request has taken.
func (p *plainTiming) observe(took float64) {
	if !p.known {
		*p = plainTiming{true, took, took}
	}
	took = min(took, maxPlainRatio*max(p.average, priorBaseSeconds))
	p.average += plainGain * (took - p.average)
	p.idle = min(took, p.idle+plainIdleGain*(took-p.idle))
}

// rotate returns an iterator over the servers that starts at the next one with each call (round robin): of servers with
// equal scores the first one is chosen.
func (b *Balancer) rotate(list []*server) iter.Seq[*server] {
	b.rotation++
	start := b.rotation
	return func(yield func(*server) bool) {
		for i := range list {
			if !yield(list[(start+i)%len(list)]) {
				return
			}
		}
	}
}

// peerRunningPerSlot returns the requests that peers run for each slot of the service's servers, assuming that they are
// spread evenly. Peers' reports for single servers are older than a plain request takes: all daemons would choose the server
// that had the least load at that time.
func (b *Balancer) peerRunningPerSlot(service string) float64 {
	running, slots := 0, 0
	for _, s := range b.ready[service] {
		running += b.peerLoadSum[s.hash].Running
		slots += max(1, s.Slots)
	}
	if slots == 0 {
		return 0
	}
	return float64(running) / float64(slots)
}
