package quarantine

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// soundParts remembers when an answer on a part last went on. It forgets the least recent ones first.
type soundParts struct {
	last *simplelru.LRU[uint64, time.Time]
}

func newSoundParts(size int) *soundParts {
	// NewLRU fails only for a size below 1.
	last, _ := simplelru.NewLRU[uint64, time.Time](size, nil)
	return &soundParts{last}
}

func (s *soundParts) put(part uint64, now time.Time) { s.last.Add(part, now) }

// at returns the time of the last sound answer, zero if none is known.
func (s *soundParts) at(part uint64) time.Time {
	at, _ := s.last.Peek(part)
	return at
}
