package ticket

import (
	"encoding/json"
	"fmt"
	"maps"
)

// noOffset is the applied offset of a state that has seen no record.
const noOffset int64 = -1

// Versioned is an object and the number of the ticket that set it.
type Versioned[T any] struct {
	Number uint64 `json:"number"`
	Value  T      `json:"value"`
}

// State is the configuration that results from the records of the log. The same
// records give the same state on every daemon. It has no lock: one goroutine
// at a time may use it, while a Config can be shared.
//
// Every readable ticket takes its number with its first record, also when it is
// rejected: a corrected ticket needs a new number.
type State struct {
	appliedOffset int64
	accounts      map[string]Versioned[Account]
	services      map[string]Versioned[Service]
	servers       map[string]Versioned[Server]
	history       history
	config        *Config // nil after a change
	digest        string  // empty after a change
}

// NewState returns a state that has seen no record. Its next offset is zero.
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

// Applied returns the offset of the last record applied; -1 when there is none.
func (s *State) AppliedOffset() int64 { return s.appliedOffset }

// Next returns the offset of the record to apply next.
func (s *State) NextOffset() int64 { return s.appliedOffset + 1 }

// Apply derives the state after one record. A record at or below the applied
// offset is ignored. A record beyond the next offset leaves the state as it is
// and yields OutcomeGap, unless it is a state record with a later base: that one
// is adopted, and the applied offset becomes its base. The caller then reads on
// from Next, which may lie before the state record.
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
	return malformedRecord(offset, fmt.Sprintf("unknown kind of record %q", record.Kind))
}

// Verdict returns what is kept of the first record of a ticket number. It
// reports false for a number that was never seen or is forgotten.
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

func malformedRecord(offset int64, detail string) Verdict {
	return Verdict{Offset: offset, Outcome: OutcomeRejected, Reason: ReasonMalformed, Detail: detail}
}

func (s *State) applyBeyondNext(offset int64, record rawRecord, err error) Verdict {
	gap := Verdict{Offset: offset, Outcome: OutcomeGap, Err: &GapError{Want: s.NextOffset(), Got: offset}}
	if err != nil || record.Kind != RecordState || record.Snapshot == nil {
		return gap
	}
	base := record.Snapshot.AppliedOffset
	if base <= s.appliedOffset || base >= offset {
		return gap
	}
	adopted, err := restore(*record.Snapshot, s.history.limit)
	if err != nil {
		return gap
	}
	*s = *adopted
	return Verdict{Offset: offset, Outcome: OutcomeAdopted}
}

// checkState judges a state record that comes in order. Its base lies before
// it, so the state is at the base or later and needs nothing of it.
func checkStateRecord(offset int64, snapshot *Snapshot) Verdict {
	if snapshot == nil {
		return malformedRecord(offset, "the state record has no snapshot")
	}
	if snapshot.AppliedOffset >= offset {
		return malformedRecord(offset, "the base of the state record is not before it")
	}
	return Verdict{Offset: offset, Outcome: OutcomeIgnored}
}

func (s *State) applyTicket(offset int64, data []byte) Verdict {
	t, err := Parse("record", data)
	if err != nil {
		return malformedRecord(offset, err.Error())
	}
	v := Verdict{Offset: offset, Number: t.Number}
	e := entry{number: t.Number, offset: offset}
	sum := digest(t)
	copy(e.digestPrefix[:], sum[:])
	if t.Number <= s.history.lowWater {
		return v.reject(ReasonForgotten, fmt.Sprintf("numbers up to %d are closed", s.history.lowWater))
	}
	if first, found := s.history.find(t.Number); found {
		return v.compareWithFirst(first, e)
	}
	var detail string
	e.reason, detail = s.check(t)
	if e.reason != ReasonNone {
		v = v.reject(e.reason, detail)
	} else {
		v.Outcome = OutcomeApplied
		s.setObjects(t)
	}
	s.addToHistory(e)
	return v
}

func (v Verdict) reject(reason Reason, detail string) Verdict {
	v.Outcome, v.Reason, v.Detail = OutcomeRejected, reason, detail
	return v
}

// again judges a number that was seen before. A repeat carries the reason of the first record.
func (v Verdict) compareWithFirst(first, current entry) Verdict {
	v.FirstOffset = first.offset
	if first.digestPrefix != current.digestPrefix {
		return v.reject(ReasonConflict, fmt.Sprintf("offset %d has this number with other content", first.offset))
	}
	v.Outcome, v.Reason = OutcomeRepeated, first.reason
	v.Detail = fmt.Sprintf("same ticket as at offset %d", first.offset)
	return v
}

// set puts every object of the ticket into the state.
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

// remember keeps the entry and, once numbers are forgotten, drops removed objects
// that only forgotten numbers could touch.
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
