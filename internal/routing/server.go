package routing

import "time"

// ServerState is the state that a backend server reports.
type ServerState int

// States of a backend server.
const (
	Ready ServerState = iota
	Draining
)

// Server is the registration of a backend server.
type Server struct {
	ID          string
	Service     string
	Address     string // ip:port
	Zone        string
	Version     string // of its software; empty if it names none
	Slots       int    // requests that it runs concurrently
	State       ServerState
	Incarnation int64 // start time in Unix milliseconds; tells a process from earlier ones at its address
	Sequence    int64 // increases with each record of the same incarnation

	// ColdRemaining is how much longer the server was cold when it wrote the record: it then bears few requests, and may be
	// slow.
	ColdRemaining time.Duration
	// ColdUntil is when the server is warm again, as far as this daemon knows. It is zero for a warm server.
	ColdUntil time.Time
	ColdRate  float64 // requests per second that it bears from all daemons together while it is cold; 0 for no limit
	Region    string  // of the zone; empty if it is not known
	Evacuated bool    // the operator wants nothing more to be sent to its zone
}

// Usable reports whether new requests may be sent to the server.
func (s Server) Usable() bool { return s.State == Ready && !s.Evacuated }
