package placement

import "time"

// CachedPart is a prompt part that an engine is assumed to have cached.
type CachedPart struct {
	Part
	Age time.Duration // time since its last known use
}

// CachedParts returns the cached parts of each engine by Hash of its ID, the least recently used
// first.
func (b *Balancer) CachedParts(now time.Time) map[uint64][]CachedPart {
	cached := make(map[uint64][]CachedPart, len(b.byHash))
	for hash, s := range b.byHash {
		if parts := s.cache.cachedParts(now); len(parts) > 0 {
			cached[hash] = parts
		}
	}
	return cached
}

// AddCachedParts merges the cached parts of an engine, the least recently used first, as reported by
// a peer or by the engine itself. For each part the latest use counts. Unknown servers are
// ignored.
func (b *Balancer) AddCachedParts(server uint64, parts []CachedPart, now time.Time) {
	s, ok := b.byHash[server]
	if !ok {
		return
	}
	parts = parts[max(0, len(parts)-MaxCachedParts):] // the cache would discard the others
	known := s.cache.cachedParts(now)
	reportedAge := make(map[uint64]time.Duration, len(parts))
	for _, p := range parts {
		reportedAge[p.ID] = p.Age
		s.cache.put(p.Part, now.Add(-p.Age))
	}
	for _, p := range known { // known parts count as used after the reported ones, in their order
		if age, ok := reportedAge[p.ID]; !ok || p.Age <= age {
			s.cache.put(p.Part, now.Add(-p.Age))
		}
	}
	s.cache.evict()
}
