package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/filbertrill/filbertrill/test/dispatchsim"
)

// Targets for the fairness gap counted at request start, in units of the maximum cost divided
// by weight.
const (
	maxGapOneZone      = 4.0
	maxGapRegion       = 8.0
	wrongHintGapFactor = 2.0
)

// fleetOptions returns a fleet of the size that users run: 7 daemons and 12 servers.
func fleetOptions(zones int) dispatchsim.Options {
	o := dispatchsim.Options{
		Seed:          1,
		Scope:         dispatchsim.ScopeZone,
		Zones:         zones,
		Daemons:       7,
		Local:         dispatchsim.Link{Delay: 300 * time.Microsecond},
		Remote:        dispatchsim.Link{Delay: 5 * time.Millisecond, Jitter: 3 * time.Millisecond, StallProbability: 0.01, StallDuration: stallTime},
		CostPerSecond: costPerSecond,
		RemoteStandby: 1,
		Length:        40 * time.Second,
	}
	for i := range 12 {
		o.Servers = append(o.Servers, dispatchsim.Server{Zone: i % zones, Slots: 4})
	}
	addAccounts(&o, 16, 40)
	return o
}

// addAccounts adds n accounts. Every second one sends all its requests to one daemon.
func addAccounts(o *dispatchsim.Options, n, outstanding int) {
	everywhere := []int{0, 1, 2, 3, 4, 5, 6}
	for i := range n {
		daemons := everywhere
		if i%2 == 1 {
			daemons = []int{i % o.Daemons}
		}
		o.Accounts = append(o.Accounts, dispatchsim.Account{Weight: 1, Daemons: daemons, Outstanding: outstanding, Cost: randomCost})
	}
}

func TestFairnessGapMeetsTargets(t *testing.T) {
	cases := []struct {
		name            string
		zones           int
		hintErrorFactor float64
		target          float64
	}{
		{"one zone", 1, 1, maxGapOneZone},
		{"three zones", 3, 1, maxGapRegion},
		{"one zone, wrong hints", 1, 10, wrongHintGapFactor * maxGapOneZone},
		{"three zones, wrong hints", 3, 10, wrongHintGapFactor * maxGapRegion},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(5) {
				o := fleetOptions(c.zones)
				o.Seed, o.HintErrorFactor = seed, c.hintErrorFactor
				r := dispatchsim.New(o).Run(0)
				require.LessOrEqual(t, r.GapByStart, c.target, "seed %d", seed)
			}
		})
	}
}

func TestFairnessGapIsIndependentOfScale(t *testing.T) {
	cases := map[string]func(o *dispatchsim.Options){
		"time":     func(o *dispatchsim.Options) { o.Length *= 6 },
		"accounts": func(o *dispatchsim.Options) { addAccounts(o, 48, 40) },
		"load": func(o *dispatchsim.Options) {
			for i := range o.Accounts {
				o.Accounts[i].Outstanding *= 10
			}
		},
		"daemons": func(o *dispatchsim.Options) { o.Daemons *= 3 },
		"zones": func(o *dispatchsim.Options) {
			o.Zones = 6
			for i := range o.Servers {
				o.Servers[i].Zone = i % o.Zones
			}
		},
		"placement": func(o *dispatchsim.Options) {
			for i := range o.Accounts {
				o.Accounts[i].Daemons = []int{0}
			}
		},
	}
	for name, change := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			o := fleetOptions(3)
			change(&o)
			require.LessOrEqual(t, dispatchsim.New(o).Run(0).GapByStart, maxGapRegion)
		})
	}
}

// Guards against an account with 12,000 outstanding requests delaying an account with few. A
// request of the small account may wait for one run of maximum cost, and then for at most one
// request of each other account with the same virtual time.
func TestFloodDoesNotStarveSmallAccount(t *testing.T) {
	o := fleetOptions(3)
	oneRun := time.Duration(maxCost / costPerSecond * float64(time.Second))
	slots := 12 * 4
	bound := oneRun + time.Duration(len(o.Accounts)+1)*oneRun/time.Duration(slots) + maxReportAge
	for _, daemons := range [][]int{{0}, {0, 1, 2, 3, 4, 5, 6}} {
		t.Run(fmt.Sprintf("through %d daemons", len(daemons)), func(t *testing.T) {
			t.Parallel()
			o := fleetOptions(3)
			small := 15
			for i := range o.Accounts {
				o.Accounts[i].Outstanding = 12
			}
			o.Accounts[0] = dispatchsim.Account{Weight: 1, Daemons: daemons, Outstanding: 12_000, Cost: randomCost}
			o.Accounts[small] = dispatchsim.Account{Weight: 1, Daemons: []int{1, 4}, MeanInterval: 2 * time.Second, Cost: randomCost}
			r := dispatchsim.New(o).Run(0)
			require.LessOrEqual(t, r.WaitQuantile(small, 1), bound)
		})
	}
}

func TestUtilisationIsIndependentOfCallerPlacement(t *testing.T) {
	const target = 0.97
	for name, daemons := range map[string][]int{"one daemon": {0}, "one zone": {0, 3, 6}, "everywhere": {0, 1, 2, 3, 4, 5, 6}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			o := fleetOptions(3)
			o.WarmUp = 5 * time.Second
			for i := range o.Accounts {
				o.Accounts[i].Daemons = daemons
			}
			require.GreaterOrEqual(t, dispatchsim.New(o).Run(0).Utilisation, target)
		})
	}
}
