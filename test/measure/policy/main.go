// Command policy compares policies of sharing capacity in simulations in virtual time. It prints
// name=value lines.
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
	only := flag.String("only", "", "Regular expression for the size.load.policy combinations to run; all when empty.")
	flag.Parse()
	pattern := regexp.MustCompile(*only)
	for _, size := range sizes() {
		for _, l := range loads() {
			for _, p := range policies() {
				if pattern.MatchString(size.name + "." + l.name + "." + p.name) {
					run(size, l, p)
				}
			}
		}
	}
}

// policy is a configuration of the dispatchers that determines how capacity is shared.
type policy struct {
	name             string
	scope            dispatchsim.Scope
	order            dispatch.Order
	standby          int
	remoteStandby    int
	exchangeInterval time.Duration
	noPrefixAffinity bool
}

func policies() []policy {
	return []policy{
		{name: "ideal", scope: dispatchsim.ScopeIdeal},
		{name: "zone", scope: dispatchsim.ScopeZone, remoteStandby: 1},
		{name: "zone_hop0", scope: dispatchsim.ScopeZone},
		{name: "zone_standby1", scope: dispatchsim.ScopeZone, standby: 1},
		{name: "zone_exchange200ms", scope: dispatchsim.ScopeZone, remoteStandby: 1, exchangeInterval: 200 * time.Millisecond},
		{name: "zone_no_affinity", scope: dispatchsim.ScopeZone, remoteStandby: 1, noPrefixAffinity: true},
		{name: "region", scope: dispatchsim.ScopeRegion},
		{name: "daemon_fair", scope: dispatchsim.ScopeDaemon},
		{name: "daemon_fifo", scope: dispatchsim.ScopeDaemon, order: dispatch.OrderFIFO},
	}
}

func run(s size, l load, p policy) {
	opts := dispatchsim.Options{
		Seed:             1,
		Scope:            p.scope,
		Order:            p.order,
		Standby:          p.standby,
		RemoteStandby:    p.remoteStandby,
		ExchangeInterval: p.exchangeInterval,
		Zones:            zones,
		Daemons:          daemons,
		Servers:          s.servers(),
		Accounts:         l.accounts(),
		HintErrorFactor:  l.hintErrorFactor,
		Local:            dispatchsim.Link{Delay: 300 * time.Microsecond, Jitter: 100 * time.Microsecond},
		Remote: dispatchsim.Link{
			Delay:            5 * time.Millisecond,
			Jitter:           3 * time.Millisecond,
			StallProbability: 0.01,
			StallDuration:    200 * time.Millisecond,
		},
		CachedPrefixes:   cachedPrefixesPerServer,
		NoPrefixAffinity: p.noPrefixAffinity,
		CostPerSecond:    costPerSecond,
		Length:           length,
		WarmUp:           warmUp,
	}
	r := dispatchsim.New(opts).Run(0)
	seconds := length.Seconds()
	printFigure := func(name string, value float64) {
		fmt.Printf("%s.%s.%s.%s=%.3f\n", s.name, l.name, p.name, name, value)
	}
	printFigure("gap_start", r.GapByStart)
	printFigure("gap_delivered", r.GapByDelivery)
	printFigure("utilisation", r.Utilisation)
	printFigure("small_wait_p50_s", r.WaitQuantile(smallAccount, 0.5).Seconds())
	printFigure("small_wait_p99_s", r.WaitQuantile(smallAccount, 0.99).Seconds())
	if r.PrefixLookups > 0 {
		printFigure("prefix_hit_rate", float64(r.PrefixHits)/float64(r.PrefixLookups))
	}
	printFigure("remote_messages_per_s", float64(r.RemoteMessages)/seconds)
	printFigure("remote_bytes_per_s", float64(r.RemoteBytes)/seconds)
}
