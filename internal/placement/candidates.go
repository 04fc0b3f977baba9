package placement

import "slices"

const (
	// maxCandidates is the number of servers of a service up to which each request is compared at all of them. Beyond it
	// the time for a choice would grow with the servers.
	maxCandidates = 128
	// nearCandidates and farCandidates are the numbers of servers in this daemon's zone and in others that a request is
	// compared at in services with more servers. Half of them follow from its shared prefix, by rendezvous hashing, so that
	// all daemons look for the prefix at the same servers. The others are taken in turn, so that no server is left out: with
	// the best of a few, the load is nearly as even as with the best of all (Mitzenmacher 2001).
	nearCandidates = 64
	farCandidates  = 32
)

// zoneLists are the ready servers of a service by locality, ordered by ID.
type zoneLists struct{ near, far []*server }

// candidates returns the servers that the request is compared at.
func (b *Balancer) candidates(r Request) []*server {
	ready := b.ready[r.Service]
	if len(ready) <= maxCandidates {
		return ready
	}
	if !r.allowsAll() {
		ready = slices.Clone(ready)
		ready = slices.DeleteFunc(ready, func(s *server) bool { return !r.allows(s) })
		if len(ready) <= maxCandidates {
			return ready
		}
	}
	lists, ok := b.byZone[r.Service]
	if !ok || !r.allowsAll() {
		lists = splitByZone(ready, b.zone)
		if r.allowsAll() {
			b.byZone[r.Service] = lists
		}
	}
	near := b.sample(lists.near, r, min(nearCandidates, len(lists.near)))
	return append(near, b.sample(lists.far, r, maxCandidates/2+farCandidates-len(near))...)
}

func splitByZone(servers []*server, zone string) zoneLists {
	var lists zoneLists
	for _, s := range servers {
		if s.Zone == zone {
			lists.near = append(lists.near, s)
		} else {
			lists.far = append(lists.far, s)
		}
	}
	return lists
}

// sample returns n of the servers: half of them those with the highest weights for the shared prefix of the request, the
// others in turn. A request without a shared prefix gets all in turn.
func (b *Balancer) sample(servers []*server, r Request, n int) []*server {
	if n >= len(servers) {
		return slices.Clone(servers)
	}
	out := make([]*server, 0, n)
	if shared, _, ok := r.sharedPrefix(); ok {
		out = highestWeights(servers, shared, n/2, out)
	}
	b.sampled += n
	for i := 0; len(out) < n && i < len(servers); i++ {
		if s := servers[(b.sampled+i)%len(servers)]; !slices.Contains(out, s) {
			out = append(out, s)
		}
	}
	return out
}

// highestWeights appends the n servers with the highest rendezvous weights for the part.
func highestWeights(servers []*server, part uint64, n int, out []*server) []*server {
	weights := make([]uint64, 0, n)
	for _, s := range servers {
		weight := mix(part, s.hash)
		if len(weights) == n && weight <= weights[n-1] {
			continue
		}
		i, _ := slices.BinarySearchFunc(weights, weight, func(w, target uint64) int {
			if w > target {
				return -1
			}
			return 1
		})
		if len(weights) == n {
			weights, out = weights[:n-1], out[:len(out)-1]
		}
		weights = slices.Insert(weights, i, weight)
		out = slices.Insert(out, i, s)
	}
	return out
}
