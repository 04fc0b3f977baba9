// Package health decides which backend servers a daemon avoids, based on the outcomes of its
// own attempts (outlier ejection). It uses no clock, goroutine or lock: callers pass in the
// time.
package health

import "time"

// Ejection parameters. The ejection time starts at BaseEjectionTime and doubles with each
// consecutive ejection, up to MaxEjectionTime.
const (
	EjectionThreshold = 3 // consecutive failures
	BaseEjectionTime  = time.Second
	MaxEjectionTime   = 10 * time.Second
)

// State is the health state of a server.
type State int

// The health states of a server.
const (
	Healthy   State = iota
	Ejected         // gets no attempts until the ejection time ends
	Probation       // gets one attempt at a time, whose outcome decides whether it is readmitted
)

// Tracker tracks the health of servers. It is not safe for concurrent use.
type Tracker struct {
	servers map[string]*server
}

type server struct {
	consecutiveFailures  int
	consecutiveEjections int
	ejectedUntil         time.Time
	probeStarted         time.Time // start of the attempt on probation; zero if there is none
}

// NewTracker returns a tracker in which every server is healthy.
func NewTracker() *Tracker { return &Tracker{servers: map[string]*server{}} }

// Succeeded records an attempt that the server answered. The server becomes healthy.
func (t *Tracker) Succeeded(id string) { delete(t.servers, id) }

// Failed records an attempt that the server refused or did not answer.
func (t *Tracker) Failed(now time.Time, id string) {
	s, ok := t.servers[id]
	if !ok {
		s = &server{}
		t.servers[id] = s
	}
	s.consecutiveFailures++
	if s.consecutiveFailures < EjectionThreshold || now.Before(s.ejectedUntil) {
		return // attempts that started before the ejection do not prolong it
	}
	s.ejectedUntil = now.Add(min(BaseEjectionTime<<min(s.consecutiveEjections, 10), MaxEjectionTime))
	s.consecutiveEjections++
	s.probeStarted = time.Time{}
}

// State returns the state of a server at the given time.
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
// attempt, and another one if the first has no outcome after MaxEjectionTime.
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

// EjectedUntil returns the end of the server's last ejection, or the zero time if the server
// was not ejected since its last success.
func (t *Tracker) EjectedUntil(id string) time.Time {
	if s, ok := t.servers[id]; ok {
		return s.ejectedUntil
	}
	return time.Time{}
}

// Retain removes the servers for which known returns false.
func (t *Tracker) Retain(known func(id string) bool) {
	for id := range t.servers {
		if !known(id) {
			delete(t.servers, id)
		}
	}
}
