package engine

import (
	"container/list"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// maxEvents is the maximum number of retained cache events.
const maxEvents = 10000

// Event is a change of the prefix cache.
type Event struct {
	Seq   int64     `json:"seq"`
	Type  string    `json:"type"`  // stored or removed
	Block string    `json:"block"` // hash of the prompt up to and including this block
	At    time.Time `json:"at"`
}

// cache is a least-recently-used cache of prompt blocks.
type cache struct {
	mu       sync.Mutex
	capacity int
	lag      time.Duration
	gapEvery int64
	now      func() time.Time
	blocks   map[uint64]*list.Element
	lru      *list.List // front is the most recently used
	seq      int64
	events   []Event
}

func newCache(opts Options) *cache {
	return &cache{
		capacity: opts.CacheBlocks,
		lag:      opts.EventLag,
		gapEvery: int64(opts.EventGapEvery),
		now:      opts.Now,
		blocks:   map[uint64]*list.Element{},
		lru:      list.New(),
	}
}

// storePrompt caches the complete blocks of the prompt. It returns the number of tokens in the prefix
// of the prompt that was already cached.
func (c *cache) storePrompt(prompt []string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	cached := 0
	prefixCached := true
	digest := xxhash.New()
	for end := promptTokensPerBlock; end <= len(prompt); end += promptTokensPerBlock {
		block := prompt[end-promptTokensPerBlock : end]
		_, _ = digest.WriteString(strings.Join(block, " ") + " ")
		hash := digest.Sum64()
		element := c.blocks[hash]
		if element == nil {
			prefixCached = false
			c.store(hash)
			continue
		}
		c.lru.MoveToFront(element)
		if prefixCached {
			cached = end
		}
	}
	return cached
}

// store adds a block and evicts the least recently used one if the cache is full. c.mu must be held.
func (c *cache) store(hash uint64) {
	c.blocks[hash] = c.lru.PushFront(hash)
	c.recordEvent("stored", hash)
	if c.lru.Len() <= c.capacity {
		return
	}
	last := c.lru.Back()
	removed := c.lru.Remove(last).(uint64)
	delete(c.blocks, removed)
	c.recordEvent("removed", removed)
}

// recordEvent assigns the next sequence number and records the event, unless it is to be dropped.
// c.mu must be held.
func (c *cache) recordEvent(eventType string, hash uint64) {
	c.seq++
	if c.gapEvery > 0 && c.seq%c.gapEvery == 0 {
		return
	}
	c.events = append(c.events, Event{Seq: c.seq, Type: eventType, Block: strconv.FormatUint(hash, 16), At: c.now()})
	if len(c.events) > maxEvents {
		c.events = c.events[1:]
	}
}

// eventsAfter returns the events with a sequence number above after that are at least c.lag old.
func (c *cache) eventsAfter(after int64) []Event {
	c.mu.Lock()
	defer c.mu.Unlock()
	cutoff := c.now().Add(-c.lag)
	found := []Event{}
	for _, event := range c.events {
		if event.Seq > after && !event.At.After(cutoff) {
			found = append(found, event)
		}
	}
	return found
}
