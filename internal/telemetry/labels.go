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
	scope     tally.Scope
	labelName string
	limit     int
	other     *series
	current   atomic.Pointer[map[string]*series]

	mu       sync.Mutex
	assigned map[string]*series // every label value since the start
}

func newLabelSet(scope tally.Scope, labelName string, limit int) *labelSet {
	s := &labelSet{
		scope:     scope,
		labelName: labelName,
		limit:     limit,
		other:     newSeries(scope, labelName, Other),
		assigned:  make(map[string]*series),
	}
	s.current.Store(&map[string]*series{})
	return s
}

// get returns the series of id. It takes no lock and allocates nothing.
func (s *labelSet) seriesFor(id string) *series {
	if found, ok := (*s.current.Load())[id]; ok {
		return found
	}
	return s.other
}

func (s *labelSet) setIDs(ids []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	current := make(map[string]*series, len(ids))
	for _, id := range slices.Sorted(slices.Values(ids)) {
		current[id] = s.assign(id)
	}
	s.current.Store(&current)
}

func (s *labelSet) assign(id string) *series {
	if found, ok := s.assigned[id]; ok {
		return found
	}
	if len(s.assigned) >= s.limit {
		return s.other
	}
	created := newSeries(s.scope, s.labelName, strings.ToValidUTF8(id, "_"))
	s.assigned[id] = created
	return created
}
