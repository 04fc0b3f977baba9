package quarantine

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// soundParts remembers when an answer on a prompt part last went on. It forgets the least recent ones first. Requests are
// too many, and most come once only: their last sound answer is kept with the evidence against them.
type soundParts struct {
	last *simplelru.LRU[uint64, time.Time]
}

func newSoundParts(size int) *soundParts {
	// NewLRU fails only for a size below 1.
	last, _ := simplelru.NewLRU[uint64, time.Time](size, nil)
	return &soundParts{last}
}

func (s *soundParts) put(subject Subject, now time.Time) {
	if subject.Kind == PromptPart {
		s.last.Add(subject.ID, now)
	}
}

// at returns the time of the last sound answer, zero if none is known.
func (s *soundParts) at(subject Subject) time.Time {
	if subject.Kind != PromptPart {
		return time.Time{}
	}
	at, _ := s.last.Peek(subject.ID)
	return at
}
