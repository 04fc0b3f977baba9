package dispatch

// Scope determines which backend servers and daemons share one dispatcher of a service.
type Scope string

// The scopes of a dispatcher.
const (
	ScopeZone   Scope = "zone"   // one dispatcher per zone, or one for the region if the service is configured so
	ScopeRegion Scope = "region" // one dispatcher for all zones
	ScopeDaemon Scope = "daemon" // one dispatcher per daemon, for its share of every server's slots
)
