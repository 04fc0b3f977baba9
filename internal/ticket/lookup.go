package ticket

import (
	"encoding/hex"
	"encoding/json"
)

// Lookup returns what became of this very ticket, told by its content and not only by its
// number. It reports false while no record of the number is known.
func (s *State) Lookup(t Ticket) (Verdict, bool) {
	v := Verdict{Number: t.Number}
	if t.Number <= s.history.lowWater {
		return v.reject(ReasonForgotten, "the number is closed"), true
	}
	first, found := s.history.find(t.Number)
	if !found {
		return Verdict{}, false
	}
	v.Offset, v.FirstOffset = first.offset, first.offset
	sum := digest(t)
	if first.digestPrefix != [digestPrefixSize]byte(sum[:digestPrefixSize]) {
		return v.reject(ReasonConflict, "another ticket took the number first: "+hex.EncodeToString(first.digestPrefix[:])), true
	}
	if first.reason != ReasonNone {
		return v.reject(first.reason, ""), true
	}
	v.Outcome = OutcomeApplied
	return v, true
}

// KeptDigest returns the kept leading part of the SHA-256 of the ticket that took the
// number, in hexadecimal, and the empty string for a number that is not known.
func (s *State) DigestPrefix(number uint64) string {
	first, found := s.history.find(number)
	if !found {
		return ""
	}
	return hex.EncodeToString(first.digestPrefix[:])
}

// StateRecord returns the snapshot of a state record, and false for other records.
func DecodeStateRecord(value []byte) (Snapshot, bool) {
	var record rawRecord
	if json.Unmarshal(value, &record) != nil || record.Kind != RecordState || record.Snapshot == nil {
		return Snapshot{}, false
	}
	return *record.Snapshot, true
}
