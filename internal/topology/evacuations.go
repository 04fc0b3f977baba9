package topology

import "slices"

// Position is a place in the operator's topic. A store that was restored from a copy gives offsets out again, in a higher era.
type Position struct {
	Era    uint64
	Offset int64
}

// after reports whether p is a later place than q.
func (p Position) after(q Position) bool {
	return p.Era > q.Era || (p.Era == q.Era && p.Offset > q.Offset)
}

// Evacuations are the zones whose servers get no new requests, as the operator had asked at a position of the topic.
type Evacuations struct {
	Position
	Zones []string // sorted
}

// Evacuations returns the evacuations in force.
func (s *State) Evacuations() Evacuations {
	if e := s.evacuations.Load(); e != nil {
		return *e
	}
	return Evacuations{}
}

// SetEvacuations replaces the evacuations if the new ones are of a later position. It reports whether it did.
func (s *State) SetEvacuations(e Evacuations) bool {
	for {
		old := s.evacuations.Load()
		if old != nil && !e.after(old.Position) {
			return false
		}
		if s.evacuations.CompareAndSwap(old, &e) {
			if old == nil && len(e.Zones) > 0 || old != nil && !slices.Equal(old.Zones, e.Zones) {
				s.notify()
			}
			return true
		}
	}
}
