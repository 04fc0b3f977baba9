// Package dispatch decides which account's request runs next and on which backend server.
// It uses no clock, socket, goroutine or lock: callers pass in the time and an event, and
// carry out the returned actions. Its types are not safe for concurrent use.
package dispatch

import "time"

// Cost is an amount of service: weighted tokens for models, calls for plain services.
type Cost = float64

// ServerSpec is the configuration of a backend server.
type ServerSpec struct {
	ID          string
	Slots       int  // requests that the server runs at once
	Schedulable bool // accepts new requests
}

// Order selects the waiting request that receives the next grant.
type Order string

// The supported orders.
const (
	OrderFair Order = "fair" // the account with the least virtual time first
	OrderFIFO Order = "fifo" // the oldest request first
)

// AccountSpec is the configuration of an account.
type AccountSpec struct {
	Weight      float64 // relative share of capacity; 1 if not positive
	MaxInFlight int     // limit over the whole fleet; 0 means no limit
}

// Pool is the part of the configuration that a dispatcher needs: the servers of a service
// that share one dispatcher, and the accounts.
type Pool struct {
	Name    string // unique within the service
	Standby int    // grants per server beyond its slots
	// RemoteStandby is the number of grants per server beyond its slots for requests of other
	// pools. It keeps slots busy while a grant and its request travel between zones.
	RemoteStandby int
	Servers       []ServerSpec
	Accounts      map[string]AccountSpec
}

// GrantID identifies a grant among the grants of all past and present dispatchers of a pool.
type GrantID struct {
	DispatcherIncarnation uint64
	Seq                   uint64
}

// Origin identifies the other pool's grant that a grant relays.
type Origin struct {
	Pool string // empty if the grant is for a server of the dispatcher's own pool
	ID   GrantID
}

// Demand describes one account at a reporter: its waiting requests and, in reports of other
// pools, the service that it received on the servers of the reporting pool.
type Demand struct {
	Account          string
	Waiting          int
	OldestWait       time.Duration
	Estimate         Cost     // of the first waiting request
	PreferredServers []string // servers that may have the prefix of the first waiting request cached
	VirtualTime      float64  // highest value received with a grant
	Served           Cost     // cost of ended runs on the reporting pool's servers since its dispatcher started
	Charged          Cost     // charges of running grants on the reporting pool's servers
	Running          int      // running grants on the reporting pool's servers

	oldestArrival time.Time // arrival of the first waiting request, by the dispatcher's clock
}

// EndedCost is the cumulative cost of an account's ended runs under one dispatcher
// incarnation.
type EndedCost struct {
	Account string
	Pool    string // pool of the servers; empty for the pool that receives the report
	Cost    Cost
}

// ServerResults counts the ended runs of a server since the reporter started.
type ServerResults struct {
	Server    string
	Failed    uint64
	Succeeded uint64
}

// Run is a grant in use at a reporter.
type Run struct {
	ID       GrantID
	Origin   Origin
	Account  string
	Server   string
	Cost     Cost // so far
	Estimate Cost // of the final cost
}

// Report describes the state of a reporter, which is a daemon or another pool of the
// service, to a dispatcher. The report with the higher (Incarnation, Seq) wins. An account
// that is missing from the Demands of a full report has no waiting requests, and its other
// values have not changed recently.
//
// A partial report contains the complete values of some accounts only. Accounts and runs
// that are missing from it are unchanged. The next full report repairs the loss of a
// partial one.
type Report struct {
	Incarnation           uint64
	Seq                   uint64
	FromPool              string // empty if the reporter is a daemon
	DispatcherIncarnation uint64 // dispatcher that LastGrantSeq and EndedCosts refer to
	LastGrantSeq          uint64 // every grant up to this one that is not in Runs has ended
	Demands               []Demand
	EndedCosts            []EndedCost
	Runs                  []Run
	Partial               bool
	ReleasedSeqs          []uint64 // in partial reports: grants that ended since the last report
	Results               []ServerResults
}

// Grant permits its receiver to start one request of the account on the server.
type Grant struct {
	ID          GrantID
	Origin      Origin
	Account     string
	Server      string
	VirtualTime float64 // of the account, including the charge for this grant
}

// GrantBatch holds the grants for one reporter in answer to its report ReportSeq. They
// expire GrantLease after the reporter sent that report.
type GrantBatch struct {
	DispatcherIncarnation uint64
	ReportSeq             uint64
	Grants                []Grant
}

// Send is the action of sending a batch to a daemon or to the dispatcher of another pool.
type Send struct {
	Reporter string
	ToPool   bool // Reporter is the name of a pool, not of a daemon
	Batch    GrantBatch
}
