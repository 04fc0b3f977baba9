// Package topology keeps the configuration and the list of backend servers that a daemon
// works with, as read from a store and heard from peers. It never takes an older version
// for a newer one.
package topology

import (
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/filbertrill/filbertrill/internal/routing"
)

// Entry is what is known of one backend server.
type KnownServer struct {
	Server       routing.Server
	Record       []byte    // as the store keeps it, for peers
	recordedAt   time.Time // when this record was first known here
	missingSince time.Time // when the store was first seen without it; zero while it is there
}

// Map holds the current configuration and backend servers. Its methods are safe for
// concurrent use.
type State struct {
	config   atomic.Pointer[storedConfig]
	onChange func() // called after each change

	mu          sync.Mutex
	servers     map[string]*KnownServer
	withdrawals map[string]Withdrawal
	lastListed  map[string]time.Time // by server: as of when a listing of the store last held it
}

type storedConfig struct {
	*routing.Config
	record Record
}

// Withdrawal says that a start of a backend server takes no new work.
type Withdrawal struct {
	ID          string
	Incarnation int64
	Sequence    int64
	FirstSeen   time.Time // when the first daemon learnt of it, whoever tells of it
}

const (
	// withdrawalTTL is how long a withdrawal is remembered; a server that drains is gone by
	// then, and no older record of it is still read.
	withdrawalTTL = 60 * time.Second
	// withdrawalTold is how long it is told to peers: longer than daemons stand still or are
	// cut off on the users' days. Less than withdrawalTTL: daemons that told what they
	// remember would teach each other anew what they had forgotten.
	withdrawalAdvertiseTTL = 10 * time.Second
	// overruleAfter is the age from which a withdrawal yields to a listing of the store: more
	// than the 3 s by which a store reads stale on the users' days.
	listingOverrideDelay = 5 * time.Second
)

// NewMap returns an empty map. The function is called after each change.
func NewState(onChange func()) *State {
	return &State{
		onChange:    onChange,
		servers:     make(map[string]*KnownServer),
		withdrawals: make(map[string]Withdrawal),
		lastListed:  make(map[string]time.Time),
	}
}

// Config returns the configuration in force, nil before there is one.
func (s *State) Config() *routing.Config {
	if stored := s.config.Load(); stored != nil {
		return stored.Config
	}
	return nil
}

// ConfigRecord returns the configuration as the store keeps it.
func (s *State) ConfigRecord() (key string, value []byte) {
	if stored := s.config.Load(); stored != nil {
		return stored.record.Key, stored.record.Value
	}
	return "", nil
}

// SetConfig takes a configuration of a higher version and reports whether it did.
func (s *State) SetConfig(config *routing.Config, record Record) bool {
	next := &storedConfig{config, record}
	for {
		old := s.config.Load()
		if old != nil && old.Version >= config.Version {
			return false
		}
		if s.config.CompareAndSwap(old, next) {
			s.onChange()
			return true
		}
	}
}

// SetServer takes a record of a backend server, unless a newer one is known.
func (s *State) SetServer(server routing.Server, record []byte, now time.Time) bool {
	s.mu.Lock()
	old, ok := s.servers[server.ID]
	if ok && isOlder(server, old.Server) {
		s.mu.Unlock()
		return false
	}
	if w, withdrawn := s.withdrawals[server.ID]; withdrawn && server.Incarnation == w.Incarnation && server.Sequence <= w.Sequence {
		if !ok {
			s.mu.Unlock()
			return false // gone: the record is from a list that is behind
		}
		server.State = routing.Draining
	}
	changed := !ok || old.Server.State != server.State || old.Server.Incarnation != server.Incarnation ||
		old.Server.Address != server.Address || old.Server.Slots != server.Slots || old.Server.Service != server.Service
	recordedAt := now
	if ok && old.Server.Incarnation == server.Incarnation && old.Server.Sequence == server.Sequence {
		recordedAt = old.recordedAt
	}
	s.servers[server.ID] = &KnownServer{Server: server, Record: record, recordedAt: recordedAt}
	if server.State == routing.Draining {
		s.recordWithdrawal(server, now)
	}
	s.mu.Unlock()
	if changed {
		s.onChange()
	}
	return changed
}

// older reports whether the record a was written before b by the same server.
func isOlder(a, b routing.Server) bool {
	return a.Incarnation < b.Incarnation || (a.Incarnation == b.Incarnation && a.Sequence < b.Sequence)
}

// RemoveServer takes the removal of a backend server.
func (s *State) RemoveServer(id string, now time.Time) bool {
	s.mu.Lock()
	old, ok := s.servers[id]
	if ok {
		s.recordWithdrawal(old.Server, now)
		delete(s.servers, id)
	}
	s.mu.Unlock()
	if ok {
		s.onChange()
	}
	return ok
}

// Withdraw takes a withdrawal that a peer has seen.
func (s *State) Withdraw(w Withdrawal) bool {
	s.mu.Lock()
	old, ok := s.servers[w.ID]
	known, isKnown := s.withdrawals[w.ID]
	if (isKnown && known.Incarnation >= w.Incarnation && known.Sequence >= w.Sequence) || s.overriddenByListing(w) {
		s.mu.Unlock()
		return false
	}
	s.withdrawals[w.ID] = w
	applies := ok && old.Server.State == routing.Ready && old.Server.Incarnation == w.Incarnation &&
		old.Server.Sequence <= w.Sequence
	if applies {
		old.Server.State = routing.Draining
	}
	s.mu.Unlock()
	if applies {
		s.onChange()
	}
	return applies
}

// Overrule takes that a listing of the store, complete at asOf, holds the server. It forgets a
// withdrawal, and refuses to hear of it again, unless it is so recent that the listing may be
// stale.
func (s *State) ConfirmListed(id string, listedAt time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if listedAt.After(s.lastListed[id]) {
		s.lastListed[id] = listedAt
	}
	if w, ok := s.withdrawals[id]; ok && s.overriddenByListing(w) {
		delete(s.withdrawals, id)
	}
}

// outlived reports whether the store has listed the server for long after the withdrawal. The
// caller holds the lock.
func (s *State) overriddenByListing(w Withdrawal) bool {
	return s.lastListed[w.ID].Sub(w.FirstSeen) > listingOverrideDelay
}

// withdraw remembers a withdrawal. The caller holds the lock.
func (s *State) recordWithdrawal(server routing.Server, now time.Time) {
	if w, ok := s.withdrawals[server.ID]; ok && w.Incarnation == server.Incarnation && w.Sequence >= server.Sequence {
		return
	}
	s.withdrawals[server.ID] = Withdrawal{server.ID, server.Incarnation, server.Sequence, now}
}

// Withdrawals returns the withdrawals to tell peers.
func (s *State) Withdrawals(now time.Time) []Withdrawal {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]Withdrawal, 0, len(s.withdrawals))
	for id, w := range s.withdrawals {
		if now.Sub(w.FirstSeen) > withdrawalTTL {
			delete(s.withdrawals, id)
			delete(s.lastListed, id)
		}
		if now.Sub(w.FirstSeen) <= withdrawalAdvertiseTTL {
			out = append(out, w)
		}
	}
	return out
}

// Servers returns the backend servers.
func (s *State) Servers() []routing.Server {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]routing.Server, 0, len(s.servers))
	for _, server := range s.servers {
		out = append(out, server.Server)
	}
	return out
}

// Digest names the list of backend servers: equal lists have equal digests.
func (s *State) Digest() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	var sum uint64
	for _, known := range s.servers {
		server := known.Server
		// Adding up makes the order of the map irrelevant.
		sum += xxhash.Sum64String(server.ID + " " + server.Address + " " + strconv.FormatInt(server.Incarnation, 10) + " " + strconv.Itoa(int(server.State)))
	}
	return sum
}

// Records returns the backend servers as the store keeps them, by id.
func (s *State) Records() map[string][]byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string][]byte, len(s.servers))
	for id, server := range s.servers {
		out[id] = server.Record
	}
	return out
}

// Missing starts or ends the time that servers have been absent from a full listing, and
// removes those absent for longer than patience. The listing was complete at asOf: it says
// nothing of records learnt since.
func (s *State) RemoveMissing(listed map[string]bool, gracePeriod time.Duration, listedAt, now time.Time) {
	var expired []string
	s.mu.Lock()
	for id, server := range s.servers {
		switch {
		case listed[id]:
			server.missingSince = time.Time{}
		case server.recordedAt.After(listedAt):
		case server.missingSince.IsZero():
			server.missingSince = now
		}
		if !server.missingSince.IsZero() && now.Sub(server.missingSince) >= gracePeriod {
			expired = append(expired, id)
		}
	}
	s.mu.Unlock()
	for _, id := range expired {
		s.RemoveServer(id, now)
	}
}
