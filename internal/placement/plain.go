package placement

import (
	"iter"
	"math"
)

// rotate returns an iterator over the ready servers of the service that starts at the next server
// with each call (round robin): of servers with equal scores the first one is chosen.
func (b *Balancer) rotate(service string) iter.Seq[*server] {
	list := b.ready[service]
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

// meanPeerRunning returns the requests that peers run at the server, assuming that they are
// spread evenly over the slots of its service. Peers' reports for single servers are older than a
// plain request takes: all daemons would choose the server that had the least load at that time.
func (b *Balancer) meanPeerRunning(s *server) int {
	running, slots := 0, 0
	for _, other := range b.ready[s.Service] {
		running += b.peerLoadSum[other.hash].Running
		slots += max(1, other.Slots)
	}
	if slots == 0 {
		return 0
	}
	return int(math.Round(float64(running) * float64(max(1, s.Slots)) / float64(slots)))
}
