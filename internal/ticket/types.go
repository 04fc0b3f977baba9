// Package ticket defines change tickets, validates them, and derives the
// configuration of the fleet from the tickets in the platform's log.
package ticket

// Ticket is a numbered configuration change. It contains the complete new
// version of every object that it changes.
type Ticket struct {
	Number   uint64    `yaml:"number" json:"number"`
	Author   string    `yaml:"author" json:"author"`
	Reason   string    `yaml:"reason" json:"reason"`
	Accounts []Account `yaml:"accounts,omitempty" json:"accounts,omitempty"`
	Services []Service `yaml:"services,omitempty" json:"services,omitempty"`
	Servers  []Server  `yaml:"servers,omitempty" json:"servers,omitempty"`
}

// Presence is the lifecycle state of an account or service.
type Presence string

// Presences of accounts and services.
const (
	PresenceActive  Presence = "active"
	PresenceRemoved Presence = "removed"
)

// ServerState is the lifecycle state of a backend server. Only a joined server
// receives new work.
type ServerState string

// States of a backend server.
const (
	ServerJoined  ServerState = "joined"
	ServerLeaving ServerState = "leaving"
	ServerRemoved ServerState = "removed"
)

// ServiceKind is the type of a service.
type ServiceKind string

// Kinds of services.
const (
	ServiceModel ServiceKind = "model" // model on engines
	ServicePlain ServiceKind = "plain" // HTTP service other than a model
)

// Account holds the API keys, the weight and the limits of a client account.
type Account struct {
	ID     string  `yaml:"id" json:"id"`
	Weight float64 `yaml:"weight" json:"weight"`
	// KeyHashes holds the lower-case hexadecimal SHA-256 of each API key.
	KeyHashes      []string `yaml:"keyHashes" json:"keyHashes"`
	MaxQueued      int      `yaml:"maxQueued" json:"maxQueued"`           // requests queued on one daemon
	MaxQueuedBytes int64    `yaml:"maxQueuedBytes" json:"maxQueuedBytes"` // request body bytes queued on one daemon
	MaxInFlight    int      `yaml:"maxInFlight" json:"maxInFlight"`       // requests running in the whole fleet; 0 means no limit
	Presence       Presence `yaml:"presence" json:"presence"`
}

// Service is a model or plain service that backend servers offer.
type Service struct {
	ID         string       `yaml:"id" json:"id"`
	Kind       ServiceKind  `yaml:"kind" json:"kind"`
	Repeatable bool         `yaml:"repeatable" json:"repeatable"`
	Deadline   Duration     `yaml:"deadline" json:"deadline"`   // from arrival to the start of the answer
	IdleLimit  Duration     `yaml:"idleLimit" json:"idleLimit"` // maximum time without data in a running answer
	Standby    int          `yaml:"standby" json:"standby"`     // grants per backend server in addition to its slots
	CutOff     CutOffPolicy `yaml:"cutOff" json:"cutOff"`       // behaviour of a cut-off daemon
	Scope      Scope        `yaml:"scope" json:"scope"`         // servers that share one dispatcher
	Presence   Presence     `yaml:"presence" json:"presence"`
}

// Scope is the set of backend servers of a service that share one dispatcher.
type Scope string

// Scopes of a service.
const (
	ScopeZone   Scope = "zone"   // the servers of a zone; the dispatchers of the zones exchange their demand
	ScopeRegion Scope = "region" // all servers of the region, for the smallest deviation from fair shares
)

// CutOffPolicy is the behaviour of a daemon that is cut off: it reaches neither the log
// nor a majority of the members.
type CutOffPolicy string

// Policies of a cut-off daemon.
const (
	CutOffRefuse CutOffPolicy = "refuse" // reject new requests
	CutOffServe  CutOffPolicy = "serve"  // use the last known configuration for repeatable services
)

// Server is a backend server of a service.
type Server struct {
	ID           string      `yaml:"id" json:"id"`
	Service      string      `yaml:"service" json:"service"`
	Address      string      `yaml:"address" json:"address"` // IP:port
	Zone         string      `yaml:"zone" json:"zone"`       // data centre
	Slots        int         `yaml:"slots" json:"slots"`     // maximum concurrent requests
	ChecksOrders bool        `yaml:"checksOrders" json:"checksOrders"`
	State        ServerState `yaml:"state" json:"state"`
}
