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
	applied  int64
	accounts map[string]Versioned[Account]
	services map[string]Versioned[Service]
	servers  map[string]Versioned[Server]
	history  history
	config   *Config // nil after a change
	digest   string  // empty after a change
}

// NewState returns a state that has seen no record. Its next offset is zero.
func NewState() *State { return newState(HistoryLimit) }

func newState(limit int) *State {
	return &State{
		applied:  noOffset,
		accounts: map[string]Versioned[Account]{},
		services: map[string]Versioned[Service]{},
		servers:  map[string]Versioned[Server]{},
		history:  history{limit: limit},
	}
}

// Applied returns the offset of the last record applied; -1 when there is none.
func (s *State) AppliedOffset() int64 { return s.applied }

// Next returns the offset of the record to apply next.
func (s *State) NextOffset() int64 { return s.applied + 1 }

// Apply derives the state after one record. A record at or below the applied
// offset is ignored. A record beyond the next offset leaves the state as it is
// and yields OutcomeGap, unless it is a state record with a later base: that one
// is adopted, and the applied offset becomes its base. The caller then reads on
// from Next, which may lie before the state record.
func (s *State) Apply(offset int64, value []byte) Verdict {
	if offset <= s.applied {
		return Verdict{Offset: offset, Outcome: OutcomeIgnored}
	}
	var record rawRecord
	err := json.Unmarshal(value, &record)
	if offset > s.NextOffset() {
		return s.applyAhead(offset, record, err)
	}
	s.applied = offset
	if err != nil {
		return malformed(offset, err.Error())
	}
	switch record.Kind {
	case RecordTicket:
		return s.applyTicket(offset, record.Ticket)
	case RecordState:
		return checkState(offset, record.Snapshot)
	}
	return malformed(offset, fmt.Sprintf("unknown kind of record %q", record.Kind))
}

// Verdict returns what is kept of the first record of a ticket number. It
// reports false for a number that was never seen or is forgotten.
func (s *State) Verdict(number uint64) (Verdict, bool) {
	kept, found := s.history.find(number)
	if !found {
		return Verdict{}, false
	}
	v := Verdict{Offset: kept.offset, Number: number, Outcome: OutcomeApplied, FirstOffset: kept.offset}
	if kept.reason != ReasonNone {
		v.Outcome, v.Reason = OutcomeRejected, kept.reason
	}
	return v, true
}

func malformed(offset int64, detail string) Verdict {
	return Verdict{Offset: offset, Outcome: OutcomeRejected, Reason: ReasonMalformed, Detail: detail}
}

func (s *State) applyAhead(offset int64, record rawRecord, err error) Verdict {
	gap := Verdict{Offset: offset, Outcome: OutcomeGap, Err: &GapError{Want: s.NextOffset(), Got: offset}}
	if err != nil || record.Kind != RecordState || record.Snapshot == nil {
		return gap
	}
	base := record.Snapshot.AppliedOffset
	if base <= s.applied || base >= offset {
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
func checkState(offset int64, snapshot *Snapshot) Verdict {
	if snapshot == nil {
		return malformed(offset, "the state record has no snapshot")
	}
	if snapshot.AppliedOffset >= offset {
		return malformed(offset, "the base of the state record is not before it")
	}
	return Verdict{Offset: offset, Outcome: OutcomeIgnored}
}

func (s *State) applyTicket(offset int64, data []byte) Verdict {
	t, err := Parse("record", data)
	if err != nil {
		return malformed(offset, err.Error())
	}
	v := Verdict{Offset: offset, Number: t.Number}
	e := entry{number: t.Number, offset: offset}
	sum := digest(t)
	copy(e.digest[:], sum[:])
	if t.Number <= s.history.lowWater {
		return v.reject(ReasonForgotten, fmt.Sprintf("numbers up to %d are closed", s.history.lowWater))
	}
	if first, found := s.history.find(t.Number); found {
		return v.again(first, e)
	}
	var detail string
	e.reason, detail = s.check(t)
	if e.reason != ReasonNone {
		v = v.reject(e.reason, detail)
	} else {
		v.Outcome = OutcomeApplied
		s.set(t)
	}
	s.remember(e)
	return v
}

func (v Verdict) reject(reason Reason, detail string) Verdict {
	v.Outcome, v.Reason, v.Detail = OutcomeRejected, reason, detail
	return v
}

// again judges a number that was seen before. A repeat carries the reason of the first record.
func (v Verdict) again(first, now entry) Verdict {
	v.FirstOffset = first.offset
	if first.digest != now.digest {
		return v.reject(ReasonConflict, fmt.Sprintf("offset %d has this number with other content", first.offset))
	}
	v.Outcome, v.Reason = OutcomeRepeated, first.reason
	v.Detail = fmt.Sprintf("same ticket as at offset %d", first.offset)
	return v
}

// set puts every object of the ticket into the state.
func (s *State) set(t Ticket) {
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
func (s *State) remember(e entry) {
	s.digest = ""
	if !s.history.add(e) {
		return
	}
	low := s.history.lowWater
	maps.DeleteFunc(s.accounts, func(_ string, a Versioned[Account]) bool {
		return a.Number <= low && a.Value.Presence == PresenceRemoved
	})
	maps.DeleteFunc(s.servers, func(_ string, server Versioned[Server]) bool {
		return server.Number <= low && server.Value.State == ServerRemoved
	})
	maps.DeleteFunc(s.services, func(_ string, service Versioned[Service]) bool {
		return service.Number <= low && service.Value.Presence == PresenceRemoved
	})
}
