// Package ticket defines change tickets, their validation, and the pure function
// that derives the fleet's configuration from the platform's log.
package ticket

// Ticket is one numbered change. It carries the whole new state of every object it touches.
type Ticket struct {
	Number   uint64    `yaml:"number" json:"number"`
	Author   string    `yaml:"author" json:"author"`
	Reason   string    `yaml:"reason" json:"reason"`
	Accounts []Account `yaml:"accounts,omitempty" json:"accounts,omitempty"`
	Services []Service `yaml:"services,omitempty" json:"services,omitempty"`
	Servers  []Server  `yaml:"servers,omitempty" json:"servers,omitempty"`
}

// Presence tells whether an object is in use.
type Presence string

// The presences of accounts and services.
const (
	PresenceActive  Presence = "active"
	PresenceRemoved Presence = "removed"
)

// ServerState tells whether a backend server receives new work.
type ServerState string

// The states of a backend server.
const (
	ServerJoined  ServerState = "joined"
	ServerLeaving ServerState = "leaving"
	ServerRemoved ServerState = "removed"
)

// ServiceKind tells model engines from plain services.
type ServiceKind string

// The kinds of services.
const (
	ServiceModel ServiceKind = "model"
	ServicePlain ServiceKind = "plain"
)

// Account is a client account.
type Account struct {
	ID     string  `yaml:"id" json:"id"`
	Weight float64 `yaml:"weight" json:"weight"`
	// KeyHashes holds the lower-case hexadecimal SHA-256 of each API key.
	KeyHashes      []string `yaml:"keyHashes" json:"keyHashes"`
	MaxQueued      int      `yaml:"maxQueued" json:"maxQueued"`           // requests waiting on one daemon
	MaxQueuedBytes int64    `yaml:"maxQueuedBytes" json:"maxQueuedBytes"` // bytes of request bodies waiting on one daemon
	MaxInFlight    int      `yaml:"maxInFlight" json:"maxInFlight"`       // requests running over the fleet; 0 is no limit
	Presence       Presence `yaml:"presence" json:"presence"`
}

// Service is a model or a plain service that backend servers offer.
type Service struct {
	ID         string       `yaml:"id" json:"id"`
	Kind       ServiceKind  `yaml:"kind" json:"kind"`
	Repeatable bool         `yaml:"repeatable" json:"repeatable"`
	Deadline   Duration     `yaml:"deadline" json:"deadline"`   // from arrival to the start of the answer
	IdleLimit  Duration     `yaml:"idleLimit" json:"idleLimit"` // longest silence of a running answer
	Standby    int          `yaml:"standby" json:"standby"`     // grants beyond the slots of each backend server
	CutOff     CutOffPolicy `yaml:"cutOff" json:"cutOff"`       // what a cut-off daemon does
	Scope      Scope        `yaml:"scope" json:"scope"`         // what one dispatcher grants for
	Presence   Presence     `yaml:"presence" json:"presence"`
}

// Scope tells which backend servers of a service share one dispatcher.
type Scope string

// The scopes of a service.
const (
	ScopeZone   Scope = "zone"   // those of a zone; the zones' dispatchers exchange demand
	ScopeRegion Scope = "region" // all of the region, for the smallest fairness gap
)

// CutOffPolicy tells what a daemon does that hears neither the log nor a majority of its members.
type CutOffPolicy string

// The policies of a cut-off daemon.
const (
	CutOffRefuse CutOffPolicy = "refuse"
	CutOffServe  CutOffPolicy = "serve"
)

// Server is a backend server.
type Server struct {
	ID           string      `yaml:"id" json:"id"`
	Service      string      `yaml:"service" json:"service"`
	Address      string      `yaml:"address" json:"address"` // ip:port
	Zone         string      `yaml:"zone" json:"zone"`       // data centre
	Slots        int         `yaml:"slots" json:"slots"`     // requests that run at once
	ChecksOrders bool        `yaml:"checksOrders" json:"checksOrders"`
	State        ServerState `yaml:"state" json:"state"`
}
