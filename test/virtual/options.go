package virtual

import (
	"time"

	"github.com/filbertrill/filbertrill/internal/dispatch"
)

// Scope tells which daemons and servers share a dispatcher.
type Scope string

// The scopes. Ideal is one dispatcher that knows every cost and whose messages take no time.
const (
	Zone   Scope = "zone"
	Region Scope = "region"
	Daemon Scope = "daemon"
	Ideal  Scope = "ideal"
)

// Link is the delay and the faults of messages.
type Link struct {
	Delay     time.Duration
	Jitter    time.Duration // at most, either way
	Stall     float64       // part of the messages that stall the link
	StallTime time.Duration
	Drop      float64 // part that is lost
	Repeat    float64 // part that comes twice, the second time late
}

// Server is a backend server.
type Server struct {
	Zone  int
	Slots int
}

// Account is a client account and the load that it offers.
type Account struct {
	Weight      float64
	MaxInFlight int
	Daemons     []int         // that its callers use
	Outstanding int           // requests kept waiting or running; 0 with Every
	Every       time.Duration // mean time between requests when Outstanding is 0
	Cost        func(c *Rand) float64
	Prefixes    int           // prompts' beginnings that its requests share; 0 is none
	Begin, End  time.Duration // of its load; End 0 is the end of the run
}

// Options describe a run.
type Options struct {
	Seed           uint64
	Scope          Scope
	Order          dispatch.Order
	Zones          int
	Daemons        int // daemon i is in zone i modulo Zones
	Servers        []Server
	Accounts       []Account
	Standby        int
	HopStandby     int
	CachedPrefixes int     // that a server keeps, the least recently used go
	NoAffinity     bool    // daemons do not know the prefixes
	Local          Link    // inside a zone
	Remote         Link    // between zones
	HintOff        float64 // factor by which hints are wrong; an account's are all too high or all too low
	Quantile       float64 // of estimates; the default when 0
	Rate           float64 // cost that a slot delivers in a second
	Length         time.Duration
	Exchange       time.Duration
	Trace          func(line string) // receives messages and runs; may be nil
	Settle         time.Duration     // start of the measurement
}

func (o *Options) setDefaults() {
	if o.Exchange == 0 {
		o.Exchange = 50 * time.Millisecond
	}
	if o.HintOff == 0 {
		o.HintOff = 1
	}
	if o.Order == "" {
		o.Order = dispatch.OrderFair
	}
	if o.Scope == Ideal {
		o.Local, o.Remote, o.HintOff = Link{}, Link{}, 1
	}
}

func (o *Options) slots() int {
	n := 0
	for _, s := range o.Servers {
		n += s.Slots
	}
	return n
}
