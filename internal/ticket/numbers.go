package ticket

import "slices"

// Numbers returns the highest ticket numbers of the history in descending order, at most
// limit of them. It returns all numbers if limit is not positive.
func (s *State) Numbers(limit int) []uint64 {
	entries := s.history.entries
	if limit > 0 && len(entries) > limit {
		entries = entries[len(entries)-limit:]
	}
	numbers := make([]uint64, 0, len(entries))
	for _, e := range slices.Backward(entries) {
		numbers = append(numbers, e.number)
	}
	return numbers
}
