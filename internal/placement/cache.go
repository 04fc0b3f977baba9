package placement

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// maxParts bounds the prompt parts remembered for one server.
	maxParts = 4096
	// partTTL is how long a part is taken for cached without another use: other daemons'
	// requests drive it out unseen.
	partTTL = 15 * time.Second
)

type cachedPart struct {
	tokens int
	used   time.Time
}

// promptCache estimates which prompt parts an engine keeps, from the requests that this
// daemon sent there. The least recently used part is taken to yield first.
type promptCache struct {
	parts  *simplelru.LRU[uint64, cachedPart]
	tokens int64
	limit  int64 // 0 when not known
}

func newPromptCache() *promptCache {
	c := &promptCache{}
	// The only error is a size below one.
	c.parts, _ = simplelru.NewLRU(maxParts, func(_ uint64, p cachedPart) { c.tokens -= int64(p.tokens) })
	return c
}

func (c *promptCache) resize(limit int64) {
	c.limit = limit
	c.shrink()
}

func (c *promptCache) add(parts []Part, now time.Time) {
	for _, p := range parts {
		c.parts.Remove(p.ID)
		c.parts.Add(p.ID, cachedPart{p.Tokens, now})
		c.tokens += int64(p.Tokens)
	}
	c.shrink()
}

func (c *promptCache) shrink() {
	for c.limit > 0 && c.tokens > c.limit {
		if _, _, ok := c.parts.RemoveOldest(); !ok {
			return
		}
	}
}

func (c *promptCache) forget(parts []Part) {
	if len(parts) > 0 {
		c.parts.Remove(parts[len(parts)-1].ID)
	}
}

// prefix returns the tokens of the leading parts that are kept without a gap.
func (c *promptCache) prefix(parts []Part, now time.Time) int {
	tokens := 0
	for _, p := range parts {
		kept, ok := c.parts.Peek(p.ID)
		if !ok || now.Sub(kept.used) > partTTL {
			break
		}
		tokens += p.Tokens
	}
	return tokens
}
