package telemetry

import (
	"slices"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/uber-go/tally/v4"
)

// labelSet gives known ids a label value each, up to a limit, and Other to the rest.
type labelSet struct {
	scope tally.Scope
	key   string
	limit int
	other *series
	known atomic.Pointer[map[string]*series]

	mu       sync.Mutex
	allotted map[string]*series // every label value since the start
}

func newLabelSet(scope tally.Scope, key string, limit int) *labelSet {
	s := &labelSet{
		scope:    scope,
		key:      key,
		limit:    limit,
		other:    newSeries(scope, key, Other),
		allotted: make(map[string]*series),
	}
	s.known.Store(&map[string]*series{})
	return s
}

// get returns the series of id. It takes no lock and allocates nothing.
func (s *labelSet) get(id string) *series {
	if found, ok := (*s.known.Load())[id]; ok {
		return found
	}
	return s.other
}

func (s *labelSet) setKnown(ids []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	known := make(map[string]*series, len(ids))
	for _, id := range slices.Sorted(slices.Values(ids)) {
		known[id] = s.allot(id)
	}
	s.known.Store(&known)
}

func (s *labelSet) allot(id string) *series {
	if found, ok := s.allotted[id]; ok {
		return found
	}
	if len(s.allotted) >= s.limit {
		return s.other
	}
	created := newSeries(s.scope, s.key, strings.ToValidUTF8(id, "_"))
	s.allotted[id] = created
	return created
}
