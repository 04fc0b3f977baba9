package dispatch

// Scope tells which backend servers and daemons share one dispatcher of a service.
type Scope string

// The scopes of a dispatcher.
const (
	ScopeZone   Scope = "zone"   // those of one zone, unless the service asks for the region
	ScopeRegion Scope = "region" // all
	ScopeDaemon Scope = "daemon" // one daemon and its share of every server's slots
)
