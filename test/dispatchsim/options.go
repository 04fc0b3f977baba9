package dispatchsim

import (
	"time"

	"github.com/filbertrill/filbertrill/internal/dispatch"
)

// Scope determines which daemons and servers share a dispatcher.
type Scope string

// The scopes. ScopeIdeal has one dispatcher for all daemons and servers, with exact hints and
// with messages that arrive without delay or loss.
const (
	ScopeZone   Scope = "zone"
	ScopeRegion Scope = "region"
	ScopeDaemon Scope = "daemon"
	ScopeIdeal  Scope = "ideal"
)

// Link describes the delay and the faults of messages. Probabilities are per message.
type Link struct {
	Delay                time.Duration // mean
	Jitter               time.Duration // largest deviation from Delay in either direction
	StallProbability     float64       // that the message and those behind it are delayed
	StallDuration        time.Duration // added to Delay by a stall
	DropProbability      float64       // that the message is lost
	DuplicateProbability float64       // that the message arrives a second time, later
}

// Server is a simulated backend server.
type Server struct {
	Zone  int
	Slots int
}

// Account is a client account and the load that it offers.
type Account struct {
	Weight         float64
	MaxInFlight    int
	Daemons        []int                 // indexes of the daemons that its callers use
	Outstanding    int                   // requests kept waiting or running; 0 selects MeanInterval
	MeanInterval   time.Duration         // mean of exponentially distributed intervals between requests
	Cost           func(c *Rand) float64 // draws the cost of a request
	SharedPrefixes int                   // number of prompt prefixes that its requests share; 0 means none
	Start, End     time.Duration         // of its load since the start of the run; an End of 0 means Options.Length
}

// Options configures a Fleet.
type Options struct {
	Seed           uint64
	Scope          Scope
	Order          dispatch.Order
	Zones          int
	Daemons        int // daemon i is in zone i modulo Zones
	Servers        []Server
	Accounts       []Account
	Standby        int // grants beyond the slots of each server
	RemoteStandby  int // grants beyond the slots of each server for other pools
	CachedPrefixes int // size of a server's prefix cache, which evicts the least recently used

	NoPrefixAffinity bool    // hides the prefixes from the daemons
	Local            Link    // within a zone
	Remote           Link    // between zones
	HintErrorFactor  float64 // by which hints of even accounts are too high, of odd ones too low; 0 and 1 mean exact
	EstimateQuantile float64 // of past costs that an estimate covers; 0 selects the default of dispatch
	CostPerSecond    float64 // cost that one slot delivers
	Length           time.Duration
	ExchangeInterval time.Duration     // between pools; 0 means 50 ms
	Trace            func(line string) // receives a line per event of the run; may be nil
	WarmUp           time.Duration     // initial time that fairness gaps, waits and utilisation exclude
}

func (o *Options) setDefaults() {
	if o.ExchangeInterval == 0 {
		o.ExchangeInterval = 50 * time.Millisecond
	}
	if o.HintErrorFactor == 0 {
		o.HintErrorFactor = 1
	}
	if o.Order == "" {
		o.Order = dispatch.OrderFair
	}
	if o.Scope == ScopeIdeal {
		o.Local, o.Remote, o.HintErrorFactor = Link{}, Link{}, 1
	}
}

func (o *Options) slots() int {
	n := 0
	for _, s := range o.Servers {
		n += s.Slots
	}
	return n
}
