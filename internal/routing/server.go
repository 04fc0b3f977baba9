package routing

// ServerState is what a backend server says of itself.
type ServerState int

// The states of backend servers.
const (
	Ready ServerState = iota
	Draining
)

// Server is a backend server as it is registered.
type Server struct {
	ID          string
	Service     string
	Address     string // ip:port
	Zone        string
	Slots       int // requests that it runs at once
	State       ServerState
	Incarnation int64 // Unix milliseconds of its start; a restart has a later one
	Sequence    int64 // grows with each record of the same start
}
