// Command policy compares ways of sharing capacity in virtual time, and prints one
// name=value line for each figure.
package main

import (
	"flag"
	"fmt"
	"regexp"
	"time"

	"github.com/filbertrill/filbertrill/internal/dispatch"
	"github.com/filbertrill/filbertrill/test/dispatchsim"
)

func main() {
	only := flag.String("only", "", "Regular expression of the size.load.way to run; all when empty.")
	flag.Parse()
	pattern := regexp.MustCompile(*only)
	for _, size := range sizes() {
		for _, l := range loads() {
			for _, way := range ways() {
				if pattern.MatchString(size.name + "." + l.name + "." + way.name) {
					run(size, l, way)
				}
			}
		}
	}
}

// way is a way of sharing capacity.
type way struct {
	name       string
	scope      dispatchsim.Scope
	order      dispatch.Order
	standby    int
	hop        int
	exchange   time.Duration
	noAffinity bool
}

func ways() []way {
	return []way{
		{name: "ideal", scope: dispatchsim.ScopeIdeal},
		{name: "zone", scope: dispatchsim.ScopeZone, hop: 1},
		{name: "zone_hop0", scope: dispatchsim.ScopeZone},
		{name: "zone_standby1", scope: dispatchsim.ScopeZone, standby: 1},
		{name: "zone_exchange200ms", scope: dispatchsim.ScopeZone, hop: 1, exchange: 200 * time.Millisecond},
		{name: "zone_no_affinity", scope: dispatchsim.ScopeZone, hop: 1, noAffinity: true},
		{name: "region", scope: dispatchsim.ScopeRegion},
		{name: "daemon_fair", scope: dispatchsim.ScopeDaemon},
		{name: "daemon_fifo", scope: dispatchsim.ScopeDaemon, order: dispatch.OrderFIFO},
	}
}

func run(s size, l load, w way) {
	opts := dispatchsim.Options{
		Seed:             1,
		Scope:            w.scope,
		Order:            w.order,
		Standby:          w.standby,
		HopStandby:       w.hop,
		ExchangeInterval: w.exchange,
		Zones:            zones,
		Daemons:          daemons,
		Servers:          s.servers(),
		Accounts:         l.accounts(),
		HintErrorFactor:  l.hintOff,
		Local:            dispatchsim.Link{Delay: 300 * time.Microsecond, Jitter: 100 * time.Microsecond},
		Remote: dispatchsim.Link{
			Delay:            5 * time.Millisecond,
			Jitter:           3 * time.Millisecond,
			StallProbability: 0.01,
			StallDuration:    200 * time.Millisecond,
		},
		CachedPrefixes:   cachedPrefixes,
		NoPrefixAffinity: w.noAffinity,
		CostPerSecond:    rate,
		Length:           length,
		WarmUp:           settle,
	}
	r := dispatchsim.New(opts).Run(0)
	seconds := length.Seconds()
	show := func(name string, value float64) {
		fmt.Printf("%s.%s.%s.%s=%.3f\n", s.name, l.name, w.name, name, value)
	}
	show("gap_start", r.GapByStart)
	show("gap_delivered", r.GapByDelivery)
	show("utilisation", r.Utilisation)
	show("small_wait_p50_s", r.WaitQuantile(smallAccount, 0.5).Seconds())
	show("small_wait_p99_s", r.WaitQuantile(smallAccount, 0.99).Seconds())
	if r.PrefixLookups > 0 {
		show("prefix_hit_rate", float64(r.PrefixHits)/float64(r.PrefixLookups))
	}
	show("remote_messages_per_s", float64(r.RemoteMessages)/seconds)
	show("remote_bytes_per_s", float64(r.RemoteBytes)/seconds)
}
