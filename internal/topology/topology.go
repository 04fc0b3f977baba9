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
	config   atomic.Pointer[versionedConfig]
	onChange func() // called after each change

	mu          sync.Mutex
	servers     map[string]*KnownServer
	withdrawals map[string]Withdrawal
	lastListed  map[string]time.Time // by server: as of when a listing of the store last held it
}

type versionedConfig struct {
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
func (m *State) Config() *routing.Config {
	if v := m.config.Load(); v != nil {
		return v.Config
	}
	return nil
}

// ConfigRecord returns the configuration as the store keeps it.
func (m *State) ConfigRecord() (key string, value []byte) {
	if v := m.config.Load(); v != nil {
		return v.record.Key, v.record.Value
	}
	return "", nil
}

// SetConfig takes a configuration of a higher version and reports whether it did.
func (m *State) SetConfig(c *routing.Config, record Record) bool {
	next := &versionedConfig{c, record}
	for {
		old := m.config.Load()
		if old != nil && old.Version >= c.Version {
			return false
		}
		if m.config.CompareAndSwap(old, next) {
			m.onChange()
			return true
		}
	}
}

// SetServer takes a record of a backend server, unless a newer one is known.
func (m *State) SetServer(s routing.Server, record []byte, now time.Time) bool {
	m.mu.Lock()
	old, ok := m.servers[s.ID]
	if ok && isOlder(s, old.Server) {
		m.mu.Unlock()
		return false
	}
	if w, withdrawn := m.withdrawals[s.ID]; withdrawn && s.Incarnation == w.Incarnation && s.Sequence <= w.Sequence {
		if !ok {
			m.mu.Unlock()
			return false // gone: the record is from a list that is behind
		}
		s.State = routing.Draining
	}
	changed := !ok || old.Server.State != s.State || old.Server.Incarnation != s.Incarnation ||
		old.Server.Address != s.Address || old.Server.Slots != s.Slots || old.Server.Service != s.Service
	recordedAt := now
	if ok && old.Server.Incarnation == s.Incarnation && old.Server.Sequence == s.Sequence {
		recordedAt = old.recordedAt
	}
	m.servers[s.ID] = &KnownServer{Server: s, Record: record, recordedAt: recordedAt}
	if s.State == routing.Draining {
		m.recordWithdrawal(s, now)
	}
	m.mu.Unlock()
	if changed {
		m.onChange()
	}
	return changed
}

// older reports whether the record a was written before b by the same server.
func isOlder(a, b routing.Server) bool {
	return a.Incarnation < b.Incarnation || (a.Incarnation == b.Incarnation && a.Sequence < b.Sequence)
}

// RemoveServer takes the removal of a backend server.
func (m *State) RemoveServer(id string, now time.Time) bool {
	m.mu.Lock()
	old, ok := m.servers[id]
	if ok {
		m.recordWithdrawal(old.Server, now)
		delete(m.servers, id)
	}
	m.mu.Unlock()
	if ok {
		m.onChange()
	}
	return ok
}

// Withdraw takes a withdrawal that a peer has seen.
func (m *State) Withdraw(w Withdrawal) bool {
	m.mu.Lock()
	old, ok := m.servers[w.ID]
	known, isKnown := m.withdrawals[w.ID]
	if (isKnown && known.Incarnation >= w.Incarnation && known.Sequence >= w.Sequence) || m.overriddenByListing(w) {
		m.mu.Unlock()
		return false
	}
	m.withdrawals[w.ID] = w
	applies := ok && old.Server.State == routing.Ready && old.Server.Incarnation == w.Incarnation &&
		old.Server.Sequence <= w.Sequence
	if applies {
		old.Server.State = routing.Draining
	}
	m.mu.Unlock()
	if applies {
		m.onChange()
	}
	return applies
}

// Overrule takes that a listing of the store, complete at asOf, holds the server. It forgets a
// withdrawal, and refuses to hear of it again, unless it is so recent that the listing may be
// stale.
func (m *State) ConfirmListed(id string, asOf time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if asOf.After(m.lastListed[id]) {
		m.lastListed[id] = asOf
	}
	if w, ok := m.withdrawals[id]; ok && m.overriddenByListing(w) {
		delete(m.withdrawals, id)
	}
}

// outlived reports whether the store has listed the server for long after the withdrawal. The
// caller holds the lock.
func (m *State) overriddenByListing(w Withdrawal) bool {
	return m.lastListed[w.ID].Sub(w.FirstSeen) > listingOverrideDelay
}

// withdraw remembers a withdrawal. The caller holds the lock.
func (m *State) recordWithdrawal(s routing.Server, now time.Time) {
	if w, ok := m.withdrawals[s.ID]; ok && w.Incarnation == s.Incarnation && w.Sequence >= s.Sequence {
		return
	}
	m.withdrawals[s.ID] = Withdrawal{s.ID, s.Incarnation, s.Sequence, now}
}

// Withdrawals returns the withdrawals to tell peers.
func (m *State) Withdrawals(now time.Time) []Withdrawal {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make([]Withdrawal, 0, len(m.withdrawals))
	for id, w := range m.withdrawals {
		if now.Sub(w.FirstSeen) > withdrawalTTL {
			delete(m.withdrawals, id)
			delete(m.lastListed, id)
		}
		if now.Sub(w.FirstSeen) <= withdrawalAdvertiseTTL {
			out = append(out, w)
		}
	}
	return out
}

// Servers returns the backend servers.
func (m *State) Servers() []routing.Server {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make([]routing.Server, 0, len(m.servers))
	for _, e := range m.servers {
		out = append(out, e.Server)
	}
	return out
}

// Digest names the list of backend servers: equal lists have equal digests.
func (m *State) Digest() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	var sum uint64
	for _, e := range m.servers {
		s := e.Server
		// Adding up makes the order of the map irrelevant.
		sum += xxhash.Sum64String(s.ID + " " + s.Address + " " + strconv.FormatInt(s.Incarnation, 10) + " " + strconv.Itoa(int(s.State)))
	}
	return sum
}

// Records returns the backend servers as the store keeps them, by id.
func (m *State) Records() map[string][]byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make(map[string][]byte, len(m.servers))
	for id, e := range m.servers {
		out[id] = e.Record
	}
	return out
}

// Missing starts or ends the time that servers have been absent from a full listing, and
// removes those absent for longer than patience. The listing was complete at asOf: it says
// nothing of records learnt since.
func (m *State) RemoveMissing(listed map[string]bool, gracePeriod time.Duration, asOf, now time.Time) {
	var expired []string
	m.mu.Lock()
	for id, e := range m.servers {
		switch {
		case listed[id]:
			e.missingSince = time.Time{}
		case e.recordedAt.After(asOf):
		case e.missingSince.IsZero():
			e.missingSince = now
		}
		if !e.missingSince.IsZero() && now.Sub(e.missingSince) >= gracePeriod {
			expired = append(expired, id)
		}
	}
	m.mu.Unlock()
	for _, id := range expired {
		m.RemoveServer(id, now)
	}
}
