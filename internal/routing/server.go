package routing

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
}
