// Package health holds the pure decisions on which backend servers a daemon avoids,
// from the outcomes of its own attempts. It has no clock, goroutine or lock.
package health

import "time"

// Bounds of the decisions.
const (
	EjectionThreshold = 3 // in a row that close a server
	BaseEjectionTime  = time.Second
	MaxEjectionTime   = 10 * time.Second
)

// State tells whether a server is used.
type State int

// The states of a server.
const (
	Healthy   State = iota
	Ejected         // avoided until the closure ends
	Probation       // one attempt at a time decides whether it opens
)

// Tracker keeps the outcomes of each server. It is not safe for concurrent use.
type Tracker struct {
	servers map[string]*server
}

type server struct {
	consecutiveFailures  int // in a row
	consecutiveEjections int // in a row
	ejectedUntil         time.Time
	probeStarted         time.Time // start of the attempt on probation; zero for none
}

// NewTracker returns a tracker that takes every server for open.
func NewTracker() *Tracker { return &Tracker{servers: map[string]*server{}} }

// Succeeded records an attempt that the server answered.
func (t *Tracker) Succeeded(id string) { delete(t.servers, id) }

// Failed records an attempt that the server did not answer or refused.
func (t *Tracker) Failed(now time.Time, id string) {
	s, ok := t.servers[id]
	if !ok {
		s = &server{}
		t.servers[id] = s
	}
	s.consecutiveFailures++
	if s.consecutiveFailures < EjectionThreshold || now.Before(s.ejectedUntil) {
		return // an attempt that began before the closure does not prolong it
	}
	s.ejectedUntil = now.Add(min(BaseEjectionTime<<min(s.consecutiveEjections, 10), MaxEjectionTime))
	s.consecutiveEjections++
	s.probeStarted = time.Time{}
}

// State returns the state of a server.
func (t *Tracker) State(now time.Time, id string) State {
	s, ok := t.servers[id]
	switch {
	case !ok || s.consecutiveEjections == 0:
		return Healthy
	case now.Before(s.ejectedUntil):
		return Ejected
	default:
		return Probation
	}
}

// Admit reports whether an attempt on the server may start. On probation it admits one
// attempt, and another when that one has no outcome after the longest closure.
func (t *Tracker) Admit(now time.Time, id string) bool {
	switch t.State(now, id) {
	case Ejected:
		return false
	case Probation:
		s := t.servers[id]
		if !s.probeStarted.IsZero() && now.Sub(s.probeStarted) < MaxEjectionTime {
			return false
		}
		s.probeStarted = now
	}
	return true
}

// Until returns when the closure of a server ends; the zero time when it is not closed.
func (t *Tracker) EjectedUntil(id string) time.Time {
	if s, ok := t.servers[id]; ok {
		return s.ejectedUntil
	}
	return time.Time{}
}

// Keep drops the servers that the function does not name.
func (t *Tracker) Retain(known func(id string) bool) {
	for id := range t.servers {
		if !known(id) {
			delete(t.servers, id)
		}
	}
}
