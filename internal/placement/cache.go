package placement

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// maxParts bounds the prompt parts remembered for one server.
	maxCachedParts = 4096
	// partTTL is how long a part is taken for cached without another use: other daemons'
	// requests drive it out unseen.
	cachedPartTTL = 15 * time.Second
)

type cacheEntry struct {
	tokens   int
	lastUsed time.Time
}

// promptCache estimates which prompt parts an engine keeps, from the requests that this
// daemon sent there. The least recently used part is taken to yield first.
type promptCache struct {
	parts     *simplelru.LRU[uint64, cacheEntry]
	tokens    int64
	maxTokens int64 // 0 when not known
}

func newPromptCache() *promptCache {
	c := &promptCache{}
	// The only error is a size below one.
	c.parts, _ = simplelru.NewLRU(maxCachedParts, func(_ uint64, p cacheEntry) { c.tokens -= int64(p.tokens) })
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

func (c *promptCache) evict() {
	for c.maxTokens > 0 && c.tokens > c.maxTokens {
		if _, _, ok := c.parts.RemoveOldest(); !ok {
			return
		}
	}
}

func (c *promptCache) removeLast(parts []Part) {
	if len(parts) > 0 {
		c.parts.Remove(parts[len(parts)-1].ID)
	}
}

func (c *promptCache) contains(part uint64, now time.Time) bool {
	entry, ok := c.parts.Peek(part)
	return ok && now.Sub(entry.lastUsed) <= cachedPartTTL
}

// list returns the parts that are taken for kept, the least recently used first.
func (c *promptCache) cachedParts(now time.Time) []CachedPart {
	var parts []CachedPart
	for _, id := range c.parts.Keys() {
		if entry, ok := c.parts.Peek(id); ok && now.Sub(entry.lastUsed) <= cachedPartTTL {
			parts = append(parts, CachedPart{Part{ID: id, Tokens: entry.tokens}, now.Sub(entry.lastUsed)})
		}
	}
	return parts
}

// prefix returns the tokens up to the last part that is kept: an engine keeps a part only
// for prompts that begin like the one it was read in.
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
