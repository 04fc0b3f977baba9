package placement

import "time"

// KeptPart is a part of prompts that an engine is taken to keep.
type CachedPart struct {
	Part
	Age time.Duration // since its last use, as known
}

// Kept returns the parts that each engine is taken to keep, by Hash of its id, the least
// recently used first.
func (b *Balancer) Cached(now time.Time) map[uint64][]CachedPart {
	cached := make(map[uint64][]CachedPart, len(b.byHash))
	for hash, s := range b.byHash {
		if parts := s.cache.cachedParts(now); len(parts) > 0 {
			cached[hash] = parts
		}
	}
	return cached
}

// Learn takes the parts that an engine keeps, the least recently used first, as a peer or the
// engine itself says. What is known to have been used later stays.
func (b *Balancer) MergeCached(server uint64, parts []CachedPart, now time.Time) {
	s, ok := b.byHash[server]
	if !ok {
		return
	}
	known := s.cache.cachedParts(now)
	reportedAge := make(map[uint64]time.Duration, len(parts))
	for _, p := range parts {
		reportedAge[p.ID] = p.Age
		s.cache.put(p.Part, now.Add(-p.Age))
	}
	for _, p := range known { // taken for used later than what is told, in their order
		if age, ok := reportedAge[p.ID]; !ok || p.Age <= age {
			s.cache.put(p.Part, now.Add(-p.Age))
		}
	}
	s.cache.evict()
}
