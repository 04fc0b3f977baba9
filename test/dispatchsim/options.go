package dispatchsim

import (
	"time"

	"github.com/filbertrill/filbertrill/internal/dispatch"
)

// Scope tells which daemons and servers share a dispatcher.
type Scope string

// The scopes. Ideal is one dispatcher that knows every cost and whose messages take no time.
const (
	ScopeZone   Scope = "zone"
	ScopeRegion Scope = "region"
	ScopeDaemon Scope = "daemon"
	ScopeIdeal  Scope = "ideal"
)

// Link is the delay and the faults of messages.
type Link struct {
	Delay                time.Duration
	Jitter               time.Duration // at most, either way
	StallProbability     float64       // part of the messages that stall the link
	StallDuration        time.Duration
	DropProbability      float64 // part that is lost
	DuplicateProbability float64 // part that comes twice, the second time late
}

// Server is a backend server.
type Server struct {
	Zone  int
	Slots int
}

// Account is a client account and the load that it offers.
type Account struct {
	Weight         float64
	MaxInFlight    int
	Daemons        []int         // that its callers use
	Outstanding    int           // requests kept waiting or running; 0 with Every
	MeanInterval   time.Duration // mean time between requests when Outstanding is 0
	Cost           func(c *Rand) float64
	SharedPrefixes int           // prompts' beginnings that its requests share; 0 is none
	Start, End     time.Duration // of its load; End 0 is the end of the run
}

// Options describe a run.
type Options struct {
	Seed             uint64
	Scope            Scope
	Order            dispatch.Order
	Zones            int
	Daemons          int // daemon i is in zone i modulo Zones
	Servers          []Server
	Accounts         []Account
	Standby          int
	HopStandby       int
	CachedPrefixes   int     // that a server keeps, the least recently used go
	NoPrefixAffinity bool    // daemons do not know the prefixes
	Local            Link    // inside a zone
	Remote           Link    // between zones
	HintErrorFactor  float64 // factor by which hints are wrong; an account's are all too high or all too low
	Quantile         float64 // of estimates; the default when 0
	CostPerSecond    float64 // cost that a slot delivers in a second
	Length           time.Duration
	ExchangeInterval time.Duration
	Trace            func(line string) // receives messages and runs; may be nil
	WarmUp           time.Duration     // start of the measurement
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
