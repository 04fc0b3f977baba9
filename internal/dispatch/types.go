// Package dispatch holds the pure decisions on which account's request runs next and
// on which backend server. It has no clock, socket, goroutine or lock: callers pass the
// time and an event, and carry out the actions it returns.
package dispatch

import "time"

// Cost is service in the units of a service: tokens for models, calls for plain services.
type Cost = float64

// ServerSpec is a backend server as the configuration names it.
type ServerSpec struct {
	ID      string
	Address string
	Slots   int
	Open    bool // receives new work
}

// Order tells which waiting request a grant goes to.
type Order string

// The orders of grants.
const (
	OrderFair Order = "fair" // to the account with the least virtual time
	OrderFIFO Order = "fifo" // to the request that arrived first
)

// Pool is what a dispatcher needs of the configuration.
type Pool struct {
	Service string
	Order   Order
	Standby int // grants beyond the slots of each server
	Servers []ServerSpec
	Weights map[string]float64 // by account
}

// Demand is what one account wants and got through one daemon.
type Demand struct {
	Account     string
	Waiting     int
	OldestWait  time.Duration
	Estimate    Cost // of the first waiting request
	Ended       Cost // cumulative cost of ended runs under grants of the dispatcher's incarnation
	VirtualTime float64
}

// Run is a grant that a daemon holds.
type Run struct {
	GrantID  uint64
	Account  string
	Server   string
	Cost     Cost // so far
	Estimate Cost // at the end
}

// Report is the whole state of a daemon at a dispatcher. Higher (DaemonIncarnation, Seq) wins.
type Report struct {
	DaemonIncarnation     uint64
	Seq                   uint64
	DispatcherIncarnation uint64 // that LastGrantID, Ended and Runs refer to
	LastGrantID           uint64 // every grant up to it that is not in Runs has ended
	Demands               []Demand
	Runs                  []Run
}

// Grant allows a daemon to start one request of the account on the server within the lease.
type Grant struct {
	ID          uint64
	Account     string
	Server      string
	Charged     Cost
	VirtualTime float64
	Lease       time.Duration
}

// Send is the action that sends grants to a daemon.
type Send struct {
	Daemon string
	Grants []Grant
}
