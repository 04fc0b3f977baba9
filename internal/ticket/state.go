package ticket

import (
	"encoding/json"
	"fmt"
	"maps"
)

// noOffset is the applied offset of a state to which no record was applied.
const noOffset int64 = -1

// Versioned is an object and the number of the ticket that last set it.
type Versioned[T any] struct {
	Number uint64 `json:"number"`
	Value  T      `json:"value"`
}

// State is the configuration that results from applying the records of the log in
// order. The same records result in the same state on every daemon. State is not
// safe for concurrent use, but the Config that it returns is.
//
// The first record of a well-formed ticket claims the ticket's number, even if the
// ticket is rejected: a corrected ticket needs a new number.
type State struct {
	appliedOffset int64
	accounts      map[string]Versioned[Account]
	services      map[string]Versioned[Service]
	servers       map[string]Versioned[Server]
	history       history
	config        *Config // nil after a change
	digest        string  // empty after a change
}

// NewState returns an empty state. Its next offset is 0.
func NewState() *State { return newState(HistoryLimit) }

func newState(historyLimit int) *State {
	return &State{
		appliedOffset: noOffset,
		accounts:      map[string]Versioned[Account]{},
		services:      map[string]Versioned[Service]{},
		servers:       map[string]Versioned[Server]{},
		history:       history{limit: historyLimit},
	}
}

// AppliedOffset returns the offset of the last applied record, or -1 if there is none.
func (s *State) AppliedOffset() int64 { return s.appliedOffset }

// NextOffset returns the offset of the record to apply next.
func (s *State) NextOffset() int64 { return s.appliedOffset + 1 }

// Apply applies the record at an offset of the log. A record at or below the
// applied offset is ignored. A record beyond the next offset leaves the state
// unchanged and returns OutcomeGap, unless it is a state record whose base (the
// applied offset of its snapshot) is above the applied offset of the state. The
// state is then replaced by the snapshot, and the caller continues reading at
// NextOffset, which may be before the state record.
func (s *State) Apply(offset int64, value []byte) Verdict {
	if offset <= s.appliedOffset {
		return Verdict{Offset: offset, Outcome: OutcomeIgnored}
	}
	var record rawRecord
	err := json.Unmarshal(value, &record)
	if offset > s.NextOffset() {
		return s.applyBeyondNext(offset, record, err)
	}
	s.appliedOffset = offset
	if err != nil {
		return malformedRecord(offset, err.Error())
	}
	switch record.Kind {
	case RecordTicket:
		return s.applyTicket(offset, record.Ticket)
	case RecordState:
		return checkStateRecord(offset, record.Snapshot)
	}
	return malformedRecord(offset, fmt.Sprintf("unknown record kind %q", record.Kind))
}

// Verdict returns the verdict on the first record of a ticket number, without
// Detail. It returns false if the number is not in the history.
func (s *State) Verdict(number uint64) (Verdict, bool) {
	first, found := s.history.find(number)
	if !found {
		return Verdict{}, false
	}
	v := Verdict{Offset: first.offset, Number: number, Outcome: OutcomeApplied, FirstOffset: first.offset}
	if first.reason != ReasonNone {
		v.Outcome, v.Reason = OutcomeRejected, first.reason
	}
	return v, true
}

// malformedRecord returns the verdict on a record that can't be decoded.
func malformedRecord(offset int64, detail string) Verdict {
	return Verdict{Offset: offset, Outcome: OutcomeRejected, Reason: ReasonMalformed, Detail: detail}
}

// applyBeyondNext applies a record beyond the next offset. Only a state record
// has an effect. The error is that of decoding the record.
func (s *State) applyBeyondNext(offset int64, record rawRecord, err error) Verdict {
	gap := Verdict{Offset: offset, Outcome: OutcomeGap, Err: &GapError{Want: s.NextOffset(), Got: offset}}
	if err != nil || record.Kind != RecordState || record.Snapshot == nil {
		return gap
	}
	base := record.Snapshot.AppliedOffset
	if base <= s.appliedOffset || base >= offset {
		return gap
	}
	restored, err := restore(*record.Snapshot, s.history.limit)
	if err != nil {
		return gap
	}
	*s = *restored
	return Verdict{Offset: offset, Outcome: OutcomeAdopted}
}

// checkStateRecord returns the verdict on a state record at the next offset. The
// record is not needed: its base is below its offset, so the state already has
// all records up to the base.
func checkStateRecord(offset int64, snapshot *Snapshot) Verdict {
	if snapshot == nil {
		return malformedRecord(offset, "the state record has no snapshot")
	}
	if snapshot.AppliedOffset >= offset {
		return malformedRecord(offset, "the applied offset of the snapshot is not below the offset of the state record")
	}
	return Verdict{Offset: offset, Outcome: OutcomeIgnored}
}

// applyTicket applies the record of a ticket at the next offset.
func (s *State) applyTicket(offset int64, data []byte) Verdict {
	t, err := Parse("record", data)
	if err != nil {
		return malformedRecord(offset, err.Error())
	}
	v := Verdict{Offset: offset, Number: t.Number}
	current := entry{number: t.Number, offset: offset}
	sum := digest(t)
	copy(current.digestPrefix[:], sum[:])
	if t.Number <= s.history.lowWater {
		return v.reject(ReasonForgotten, fmt.Sprintf("numbers up to %d are no longer in the history", s.history.lowWater))
	}
	if first, found := s.history.find(t.Number); found {
		return v.compareWithFirst(first, current)
	}
	var detail string
	current.reason, detail = s.check(t)
	if current.reason != ReasonNone {
		v = v.reject(current.reason, detail)
	} else {
		v.Outcome = OutcomeApplied
		s.setObjects(t)
	}
	s.addToHistory(current)
	return v
}

// reject returns the verdict changed to a rejection.
func (v Verdict) reject(reason Reason, detail string) Verdict {
	v.Outcome, v.Reason, v.Detail = OutcomeRejected, reason, detail
	return v
}

// compareWithFirst returns the verdict on a ticket whose number is in the history.
// A ticket with another digest is rejected as a conflict. A repeated ticket has the
// reason of its first record.
func (v Verdict) compareWithFirst(first, current entry) Verdict {
	v.FirstOffset = first.offset
	if first.digestPrefix != current.digestPrefix {
		return v.reject(ReasonConflict, fmt.Sprintf("the record at offset %d has this number and different content", first.offset))
	}
	v.Outcome, v.Reason = OutcomeRepeated, first.reason
	v.Detail = fmt.Sprintf("same ticket as at offset %d", first.offset)
	return v
}

// setObjects replaces the objects that the ticket contains.
func (s *State) setObjects(t Ticket) {
	for _, a := range t.Accounts {
		s.accounts[a.ID] = Versioned[Account]{Number: t.Number, Value: a}
	}
	for _, service := range t.Services {
		s.services[service.ID] = Versioned[Service]{Number: t.Number, Value: service}
	}
	for _, server := range t.Servers {
		s.servers[server.ID] = Versioned[Server]{Number: t.Number, Value: server}
	}
	s.config = nil
}

// addToHistory adds the entry. If that evicts a number, it also deletes removed
// objects last set by a ticket at or below it: tickets that old are rejected by
// number, so the objects are no longer needed to reject them as stale.
func (s *State) addToHistory(e entry) {
	s.digest = ""
	if !s.history.add(e) {
		return
	}
	lowWater := s.history.lowWater
	maps.DeleteFunc(s.accounts, func(_ string, a Versioned[Account]) bool {
		return a.Number <= lowWater && a.Value.Presence == PresenceRemoved
	})
	maps.DeleteFunc(s.servers, func(_ string, server Versioned[Server]) bool {
		return server.Number <= lowWater && server.Value.State == ServerRemoved
	})
	maps.DeleteFunc(s.services, func(_ string, service Versioned[Service]) bool {
		return service.Number <= lowWater && service.Value.Presence == PresenceRemoved
	})
}
