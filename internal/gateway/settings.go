// Package gateway implements the daemon that forwards traffic on a platform with a
// configuration store of its own. It sets up listeners, topology, exchange and forwarding, and
// shuts them down in order.
package gateway

import "time"

// Settings configure a Gateway. Addresses have the form ip:port.
type Settings struct {
	ID               string
	Zone             string
	Region           string
	ZoneRegions      map[string]string // region of each known zone
	EntryAddress     string            // for callers
	ReadinessAddress string            // for readiness probes
	ControlAddress   string            // for other daemons
	DirectoryAddress string            // for callers that look up entry addresses
	MetricsAddress   string            // empty for no metrics listener
	Seeds            []string          // control addresses of other daemons
	StartedBefore    bool              // the whole system has been started before; false if unknown

	MemoryLimitBytes    int64         // of the process; 0 if unknown or unlimited
	FileDescriptorLimit int           // of the process; 0 if unknown or unlimited
	CPUCores            float64       // that the process may use; may be a fraction
	GracePeriod         time.Duration // from the stop signal to the end of the process
	MaxEntryTTL         time.Duration // for which callers may cache an answer of the directory
	HeartbeatInterval   time.Duration // at which backend servers write their registrations
	FairWindow          time.Duration // over which the accounts' fair shares are computed
	RetryRatio          float64       // see retry.WindowOptions
	RetrySlack          float64       // see retry.WindowOptions
	RetryWindow         time.Duration // see retry.WindowOptions
	ColdOvershoot       float64       // see Gateway.coldRate
	ColdSlack           float64       // see Gateway.coldRate
}

// Entries are the entry addresses (ip:port) that a caller may connect to, and the time for
// which it may cache them.
type Entries struct {
	Addresses []string
	TTL       time.Duration
}
