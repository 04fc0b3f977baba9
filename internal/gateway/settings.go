// Package gateway is the daemon that forwards traffic on a platform with a store of its
// own: it wires listeners, topology, exchange and forwarding, and stops them in order.
package gateway

import "time"

// Settings are the settings of a gateway.
type Settings struct {
	ID               string
	Zone             string
	Region           string
	EntryAddress     string // ip:port for callers
	ReadinessAddress string // ip:port
	ControlAddress   string // ip:port for other daemons
	DirectoryAddress string // ip:port for callers that ask where to connect
	MetricsAddress   string // ip:port; empty for none
	Seeds            []string

	MemoryLimitBytes    int64         // limit of the process; 0 for none
	FileDescriptorLimit int           // limit of the process; 0 for none
	CPUCores            float64       // cores that the process may use
	GracePeriod         time.Duration // between the signal to stop and the end of the process
	MaxEntryTTL         time.Duration // longest time that callers keep an answer of the directory
	FairWindow          time.Duration // over which shares of accounts are worked out
	RetryRatio          float64
	RetrySlack          float64
	RetryWindow         time.Duration
}

// Entries are the addresses that a caller may connect to.
type Entries struct {
	Addresses []string
	TTL       time.Duration
}
