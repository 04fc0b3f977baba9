// Package dispatch holds the pure decisions on which account's request runs next and
// on which backend server. It has no clock, socket, goroutine or lock: callers pass the
// time and an event, and carry out the actions it returns.
package dispatch

import "time"

// Cost is service in the units of a service: tokens for models, calls for plain services.
type Cost = float64

// ServerSpec is a backend server as the configuration names it.
type ServerSpec struct {
	ID          string
	Slots       int
	Schedulable bool // receives new work
}

// Order tells which waiting request a grant goes to.
type Order string

// The orders of grants.
const (
	OrderFair Order = "fair" // to the account with the least virtual time
	OrderFIFO Order = "fifo" // to the request that arrived first
)

// AccountSpec is an account as the configuration names it.
type AccountSpec struct {
	Weight      float64
	MaxInFlight int // over the fleet; 0 is no limit
}

// Pool is what a dispatcher needs of the configuration.
type Pool struct {
	Name    string // unique among the pools of the service
	Standby int    // grants beyond the slots of each server
	// HopStandby is the grants beyond the slots for requests of other pools, so that a slot
	// is not idle while a grant and its request travel between zones.
	RemoteStandby int
	Servers       []ServerSpec
	Accounts      map[string]AccountSpec
}

// GrantID identifies a grant among all dispatchers that a pool ever had.
type GrantID struct {
	DispatcherIncarnation uint64 // incarnation
	Seq                   uint64
}

// Origin names the grant of another pool that a grant passes on.
type Origin struct {
	Pool string // empty when the grant is for a server of the dispatcher's own pool
	ID   GrantID
}

// Demand is what one account wants through a reporter, and what it got.
type Demand struct {
	Account          string
	Waiting          int
	OldestWait       time.Duration
	Estimate         Cost     // of the first waiting request
	PreferredServers []string // servers that may hold the prefix of the first waiting request
	VirtualTime      float64  // highest that a grant has told the reporter
	Served           Cost     // by ended runs on the servers of the reporting pool since its dispatcher began
	Charged          Cost     // for running ones
	Running          int      // on the servers of the reporting pool

	oldestArrival time.Time // arrival of the first waiting request, by the dispatcher\'s clock
}

// Ended is the cumulative cost of an account's ended runs under one dispatcher incarnation.
type EndedCost struct {
	Account string
	Pool    string // that the servers belong to; empty for the pool reported to
	Cost    Cost
}

// ServerResults counts the ended runs of a server since the reporter began.
type ServerResults struct {
	Server    string
	Failed    uint64
	Succeeded uint64
}

// Run is a grant that a reporter holds.
type Run struct {
	ID       GrantID
	Origin   Origin
	Account  string
	Server   string
	Cost     Cost // so far
	Estimate Cost // at the end
}

// Report is the whole state of a reporter at a dispatcher: of a daemon, or of another
// pool of the service. The higher (Incarnation, Seq) wins. An account without a demand
// has none; its other values have not changed for a while.
//
// A partial report holds the whole values of some accounts, and of no others: it says
// nothing on accounts and runs that it leaves out. Losing one costs the time until the
// next whole report.
type Report struct {
	Incarnation           uint64
	Seq                   uint64
	FromPool              string // empty when a daemon reports
	DispatcherIncarnation uint64 // incarnation that LastGrant and Ended refer to
	LastGrantSeq          uint64 // every grant up to it that is not in Runs has ended
	Demands               []Demand
	EndedCosts            []EndedCost
	Runs                  []Run
	Partial               bool
	ReleasedSeqs          []uint64 // of a partial report: grants that ended lately
	Results               []ServerResults
}

// Grant allows its receiver to start one request of the account on the server.
type Grant struct {
	ID          GrantID
	Origin      Origin
	Account     string
	Server      string
	VirtualTime float64 // of the account after the charge
}

// Batch is the grants to one reporter that follow from its report ReportSeq. They lapse
// GrantLease after the reporter sent that report.
type GrantBatch struct {
	DispatcherIncarnation uint64
	ReportSeq             uint64
	Grants                []Grant
}

// Send is the action that sends a batch to a daemon, or to the dispatcher of another pool.
type Send struct {
	Reporter string
	ToPool   bool // Reporter names a pool
	Batch    GrantBatch
}
