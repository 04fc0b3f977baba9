package ticket

import (
	"encoding/hex"
	"encoding/json"
)

// Lookup returns the verdict on the ticket, which it identifies by number and digest. The
// verdict is a rejection with ReasonConflict if another ticket has the number, and with
// ReasonForgotten if the number was evicted from the history. Lookup returns false if no
// record with the number was applied.
func (s *State) Lookup(t Ticket) (Verdict, bool) {
	v := Verdict{Number: t.Number}
	if t.Number <= s.history.lowWater {
		return v.reject(ReasonForgotten, "the number is no longer in the history"), true
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

// DigestPrefix returns the leading 16 bytes, in hexadecimal, of the digest of the first
// ticket with the number. It is empty if the number is not in the history.
func (s *State) DigestPrefix(number uint64) string {
	first, found := s.history.find(number)
	if !found {
		return ""
	}
	return hex.EncodeToString(first.digestPrefix[:])
}

// DecodeStateRecord returns the snapshot of a state record. It returns false for other records.
func DecodeStateRecord(value []byte) (Snapshot, bool) {
	var record rawRecord
	if json.Unmarshal(value, &record) != nil || record.Kind != RecordState || record.Snapshot == nil {
		return Snapshot{}, false
	}
	return *record.Snapshot, true
}
