package placement

import (
	"iter"
	"math"
)

// inTurn returns the ready servers of the service, beginning with another one each time: of
// servers that are alike, the first is chosen.
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

// meanForeign returns the requests that peers have under way at the server, were they spread
// evenly over the places of its service. What they say of each server is older than a plain
// request takes: all daemons would send to the one that was least loaded then.
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
