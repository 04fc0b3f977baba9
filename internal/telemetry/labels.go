package telemetry

import (
	"slices"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/uber-go/tally/v4"
)

// labelSet maps ids to metric series. Each configured id gets a label value of its own until
// the limit is reached; all other ids share the value Other, which bounds the cardinality.
type labelSet struct {
	scope     tally.Scope
	labelName string
	limit     int
	other     *series
	current   atomic.Pointer[map[string]*series] // series of the configured ids

	mu       sync.Mutex
	assigned map[string]*series // every label value assigned since the start
}

// newLabelSet returns a set of which every id has the label value Other until setIDs is called.
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

// seriesFor returns the series of an id. It takes no lock and does not allocate.
func (s *labelSet) seriesFor(id string) *series {
	if found, ok := (*s.current.Load())[id]; ok {
		return found
	}
	return s.other
}

// setIDs replaces the configured ids. New label values are assigned in sorted order of the ids.
func (s *labelSet) setIDs(ids []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	current := make(map[string]*series, len(ids))
	for _, id := range slices.Sorted(slices.Values(ids)) {
		current[id] = s.assign(id)
	}
	s.current.Store(&current)
}

// assign returns the series of an id and creates it if the limit allows. The caller holds s.mu.
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
