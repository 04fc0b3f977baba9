package placement

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// MaxCachedParts bounds the prompt parts tracked for one server. Of more, the most recently used ones are kept.
	MaxCachedParts = 4096
	// cachedPartTTL is how long an unused part counts as cached: requests of other daemons, which
	// this daemon doesn't see, evict it from the engine.
	cachedPartTTL = 15 * time.Second
)

// cacheEntry is the state of one cached part.
type cacheEntry struct {
	tokens   int
	lastUsed time.Time
}

// promptCache estimates which prompt parts an engine has cached, from the requests that this
// daemon sent there and from reports of peers and engines. It evicts the least recently used part
// first.
type promptCache struct {
	parts     *simplelru.LRU[uint64, cacheEntry]
	tokens    int64
	maxTokens int64 // 0 when unknown
}

// newPromptCache returns an empty promptCache whose size in tokens is unknown.
func newPromptCache() *promptCache {
	c := &promptCache{}
	// NewLRU fails only for a size below 1.
	c.parts, _ = simplelru.NewLRU(MaxCachedParts, func(_ uint64, p cacheEntry) { c.tokens -= int64(p.tokens) })
	return c
}

func (c *promptCache) resize(maxTokens int64) {
	c.maxTokens = maxTokens
	c.evict()
}

func (c *promptCache) add(parts []Part, now time.Time) {
	for _, p := range parts {
		c.put(p, now)
	}
	c.evict()
}

func (c *promptCache) put(p Part, now time.Time) {
	c.parts.Remove(p.ID)
	c.parts.Add(p.ID, cacheEntry{p.Tokens, now})
	c.tokens += int64(p.Tokens)
}

// evict removes the least recently used parts until maxTokens is met.
func (c *promptCache) evict() {
	for c.maxTokens > 0 && c.tokens > c.maxTokens {
		if _, _, ok := c.parts.RemoveOldest(); !ok {
			return
		}
	}
}

// removeLast removes the last of the parts.
func (c *promptCache) removeLast(parts []Part) {
	if len(parts) > 0 {
		c.parts.Remove(parts[len(parts)-1].ID)
	}
}

func (c *promptCache) contains(part uint64, now time.Time) bool {
	entry, ok := c.parts.Peek(part)
	return ok && now.Sub(entry.lastUsed) <= cachedPartTTL
}

// cachedParts returns the parts that count as cached, the least recently used first.
func (c *promptCache) cachedParts(now time.Time) []CachedPart {
	var parts []CachedPart
	for _, id := range c.parts.Keys() {
		if entry, ok := c.parts.Peek(id); ok && now.Sub(entry.lastUsed) <= cachedPartTTL {
			parts = append(parts, CachedPart{Part{ID: id, Tokens: entry.tokens}, now.Sub(entry.lastUsed)})
		}
	}
	return parts
}

// prefixTokens returns the tokens up to the last cached part. Earlier parts count as cached, too:
// an engine uses a cached part only for prompts with the same beginning as the one that it was
// computed for.
func (c *promptCache) prefixTokens(parts []Part, now time.Time) int {
	cached, tokens := 0, 0
	for _, p := range parts {
		tokens += p.Tokens
		if c.contains(p.ID, now) {
			cached = tokens
		}
	}
	return cached
}
