package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/filbertrill/filbertrill/internal/exchange"
	"github.com/filbertrill/filbertrill/test/simulation"
)

// fairnessFleet is a fleet in which shares are compared.
type fairnessFleet struct {
	name                    string
	daemons, engines, zones int
	summaries               *simulation.SummaryOptions // nil for direct views
}

// fairnessFleets returns fleets with direct views and with summaries of zones. Intervals are the longest that the exchange allows.
func fairnessFleets() []fairnessFleet {
	summaries := simulation.SummaryOptions{StateInterval: exchange.AggregateInterval, SummaryInterval: exchange.MaxSummaryInterval, ForwardInterval: exchange.ForwardInterval}
	lost := summaries
	lost.SilentFrom, lost.SilentTo = 10*time.Second, 11*time.Second
	// Daemons of a zone learn of each other at once, of others each 0.4 s, from delegates that do so too.
	direct := simulation.SummaryOptions{StateInterval: 400 * time.Millisecond, SummaryInterval: 200 * time.Millisecond, ForwardInterval: 400 * time.Millisecond}
	return []fairnessFleet{
		{"30 daemons", 30, 20, 1, nil},
		{"195 daemons with direct views in zones", 195, 60, 5, &direct},
		{"195 daemons", 195, 60, 5, &summaries},
		{"195 daemons and loss of an aggregator", 195, 60, 5, &lost},
	}
}

// newFloodsInTurn returns a simulation in which the account "pinned" sends all requests to one daemon that can process a part of
// them, for each 20 engines the given number a second. Floods that use all daemons begin at different times, one of them grows,
// and engines crash and return idle. Refused callers retry.
func newFloodsInTurn(f fairnessFleet, capacity float64, seed uint64) *simulation.Simulation {
	scale := float64(f.engines) / 20
	s := simulation.New(simulation.Options{
		Daemons: f.daemons, Engines: f.engines, EngineSpec: simulation.BenchmarkedEngine(), Policy: simulation.Product, Seed: seed, Zones: f.zones,
		ViewInterval: 250 * time.Millisecond, ViewDelay: 20 * time.Millisecond, Summaries: f.summaries, MaxRetries: 1,
		DaemonCapacity: func(daemon int) float64 {
			if daemon == 0 {
				return capacity * scale
			}
			return 0
		},
	})
	at := func(second float64) time.Time {
		return simulation.Start.Add(time.Duration(second * float64(time.Second)))
	}
	for i := range 8 {
		s.Poisson(fmt.Sprint("calm", i), 4*scale, f.daemons, simulation.Start, 20*time.Second)
	}
	s.Poisson("pinned", 400*scale, 1, at(1), 19*time.Second)
	s.Poisson("flood0", 200*scale, f.daemons, at(3), 17*time.Second)
	s.Poisson("flood1", 400*scale, f.daemons, at(7), 13*time.Second)
	s.Poisson("flood2", 800*scale, f.daemons, at(10), 10*time.Second)
	s.Poisson("flood0", 800*scale, f.daemons, at(13), 7*time.Second)
	s.Outage(at(11), 2*time.Second, f.engines/4)
	return s
}

// Guards against floods at many daemons that receive more than twice as much as an account at one slow daemon, as daemons learn
// of each other late.
func TestFloodsLeaveHalfToAccountAtSlowDaemonOfLargeFleet(t *testing.T) {
	for _, f := range fairnessFleets() {
		for _, capacity := range []float64{40, 80} {
			for seed := range uint64(2) {
				t.Run(fmt.Sprintf("%s, %v requests a second, seed %d", f.name, capacity, seed+1), func(t *testing.T) {
					t.Parallel()
					s := newFloodsInTurn(f, capacity, seed+1)
					s.Run(20 * time.Second)
					gap := s.Shares.LargestGap(1, 20)
					t.Logf("%v; admitted %.1f million", gap, s.Shares.Admitted()/1e6)
					assert.GreaterOrEqual(t, gap.Ratio, 0.5)
				})
			}
		}
	}
}
