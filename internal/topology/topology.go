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
	Server  routing.Server
	Record  []byte    // as the store keeps it, for peers
	learnt  time.Time // when this record was first known here
	missing time.Time // when the store was first seen without it; zero while it is there
}

// Map holds the current configuration and backend servers. Its methods are safe for
// concurrent use.
type State struct {
	config atomic.Pointer[versioned]
	change func() // called after each change

	mu        sync.Mutex
	servers   map[string]*KnownServer
	withdrawn map[string]Withdrawal
	listed    map[string]time.Time // by server: as of when a listing of the store last held it
}

type versioned struct {
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
	withdrawalTold = 10 * time.Second
	// overruleAfter is the age from which a withdrawal yields to a listing of the store: more
	// than the 3 s by which a store reads stale on the users' days.
	overruleAfter = 5 * time.Second
)

// NewMap returns an empty map. The function is called after each change.
func NewState(change func()) *State {
	return &State{
		change:    change,
		servers:   make(map[string]*KnownServer),
		withdrawn: make(map[string]Withdrawal),
		listed:    make(map[string]time.Time),
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
	next := &versioned{c, record}
	for {
		old := m.config.Load()
		if old != nil && old.Version >= c.Version {
			return false
		}
		if m.config.CompareAndSwap(old, next) {
			m.change()
			return true
		}
	}
}

// SetServer takes a record of a backend server, unless a newer one is known.
func (m *State) SetServer(s routing.Server, record []byte, now time.Time) bool {
	m.mu.Lock()
	old, ok := m.servers[s.ID]
	if ok && older(s, old.Server) {
		m.mu.Unlock()
		return false
	}
	if w, withdrawn := m.withdrawn[s.ID]; withdrawn && s.Incarnation == w.Incarnation && s.Sequence <= w.Sequence {
		if !ok {
			m.mu.Unlock()
			return false // gone: the record is from a list that is behind
		}
		s.State = routing.Draining
	}
	changed := !ok || old.Server.State != s.State || old.Server.Incarnation != s.Incarnation ||
		old.Server.Address != s.Address || old.Server.Slots != s.Slots || old.Server.Service != s.Service
	learnt := now
	if ok && old.Server.Incarnation == s.Incarnation && old.Server.Sequence == s.Sequence {
		learnt = old.learnt
	}
	m.servers[s.ID] = &KnownServer{Server: s, Record: record, learnt: learnt}
	if s.State == routing.Draining {
		m.withdraw(s, now)
	}
	m.mu.Unlock()
	if changed {
		m.change()
	}
	return changed
}

// older reports whether the record a was written before b by the same server.
func older(a, b routing.Server) bool {
	return a.Incarnation < b.Incarnation || (a.Incarnation == b.Incarnation && a.Sequence < b.Sequence)
}

// RemoveServer takes the removal of a backend server.
func (m *State) RemoveServer(id string, now time.Time) bool {
	m.mu.Lock()
	old, ok := m.servers[id]
	if ok {
		m.withdraw(old.Server, now)
		delete(m.servers, id)
	}
	m.mu.Unlock()
	if ok {
		m.change()
	}
	return ok
}

// Withdraw takes a withdrawal that a peer has seen.
func (m *State) Withdraw(w Withdrawal) bool {
	m.mu.Lock()
	old, ok := m.servers[w.ID]
	known, have := m.withdrawn[w.ID]
	if (have && known.Incarnation >= w.Incarnation && known.Sequence >= w.Sequence) || m.outlived(w) {
		m.mu.Unlock()
		return false
	}
	m.withdrawn[w.ID] = w
	applies := ok && old.Server.State == routing.Ready && old.Server.Incarnation == w.Incarnation &&
		old.Server.Sequence <= w.Sequence
	if applies {
		old.Server.State = routing.Draining
	}
	m.mu.Unlock()
	if applies {
		m.change()
	}
	return applies
}

// Overrule takes that a listing of the store, complete at asOf, holds the server. It forgets a
// withdrawal, and refuses to hear of it again, unless it is so recent that the listing may be
// stale.
func (m *State) ConfirmListed(id string, asOf time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if asOf.After(m.listed[id]) {
		m.listed[id] = asOf
	}
	if w, ok := m.withdrawn[id]; ok && m.outlived(w) {
		delete(m.withdrawn, id)
	}
}

// outlived reports whether the store has listed the server for long after the withdrawal. The
// caller holds the lock.
func (m *State) outlived(w Withdrawal) bool { return m.listed[w.ID].Sub(w.FirstSeen) > overruleAfter }

// withdraw remembers a withdrawal. The caller holds the lock.
func (m *State) withdraw(s routing.Server, now time.Time) {
	if w, ok := m.withdrawn[s.ID]; ok && w.Incarnation == s.Incarnation && w.Sequence >= s.Sequence {
		return
	}
	m.withdrawn[s.ID] = Withdrawal{s.ID, s.Incarnation, s.Sequence, now}
}

// Withdrawals returns the withdrawals to tell peers.
func (m *State) Withdrawals(now time.Time) []Withdrawal {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make([]Withdrawal, 0, len(m.withdrawn))
	for id, w := range m.withdrawn {
		if now.Sub(w.FirstSeen) > withdrawalTTL {
			delete(m.withdrawn, id)
			delete(m.listed, id)
		}
		if now.Sub(w.FirstSeen) <= withdrawalTold {
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
func (m *State) RemoveMissing(listed map[string]bool, patience time.Duration, asOf, now time.Time) {
	var gone []string
	m.mu.Lock()
	for id, e := range m.servers {
		switch {
		case listed[id]:
			e.missing = time.Time{}
		case e.learnt.After(asOf):
		case e.missing.IsZero():
			e.missing = now
		}
		if !e.missing.IsZero() && now.Sub(e.missing) >= patience {
			gone = append(gone, id)
		}
	}
	m.mu.Unlock()
	for _, id := range gone {
		m.RemoveServer(id, now)
	}
}
