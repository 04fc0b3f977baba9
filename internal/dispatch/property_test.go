package dispatch_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"github.com/filbertrill/filbertrill/test/dispatchsim"
)

// Parameters of the random simulations.
const (
	seeds            = 1000
	costPerSecond    = 100.0 // per slot
	maxCost          = 200.0 // per request
	minCost          = 20.0  // per request
	loadTime         = 6 * time.Second
	drainTime        = 5 * time.Minute
	maxRemoteDelay   = 8 * time.Millisecond
	stallTime        = 200 * time.Millisecond
	exchangeInterval = 50 * time.Millisecond
	maxShareFactor   = 2.0
)

func randomCost(r *dispatchsim.Rand) float64 {
	return minCost + (maxCost-minCost)*r.Float64()*r.Float64()
}

// randomOptions returns a small random fleet whose accounts always have waiting requests.
func randomOptions(seed uint64) (dispatchsim.Options, *rand.Rand) {
	r := rand.New(rand.NewPCG(seed, 2))
	o := dispatchsim.Options{
		Seed:          seed,
		Scope:         []dispatchsim.Scope{dispatchsim.ScopeZone, dispatchsim.ScopeZone, dispatchsim.ScopeRegion}[r.IntN(3)],
		Zones:         1 + r.IntN(3),
		Standby:       r.IntN(2),
		RemoteStandby: r.IntN(2),
		Local:         dispatchsim.Link{Delay: 300 * time.Microsecond},
		Remote:        dispatchsim.Link{Delay: 5 * time.Millisecond, Jitter: 3 * time.Millisecond, StallProbability: 0.01, StallDuration: stallTime},
		CostPerSecond: costPerSecond,
		Length:        loadTime,
	}
	o.Daemons = o.Zones + r.IntN(3)
	for i := range 1 + r.IntN(5) {
		o.Servers = append(o.Servers, dispatchsim.Server{Zone: i % o.Zones, Slots: 1 + r.IntN(4)})
	}
	for range 2 + r.IntN(5) {
		a := dispatchsim.Account{Weight: float64(1 + r.IntN(3)), Outstanding: 6 + r.IntN(12), Cost: randomCost}
		for range 1 + r.IntN(3) {
			a.Daemons = append(a.Daemons, r.IntN(o.Daemons))
		}
		o.Accounts = append(o.Accounts, a)
	}
	return o, r
}

// gapBounds returns the upper bounds of the fairness gap between two accounts, counting
// requests when they start and as they are served. docs/design/dispatch.md derives them. The
// unit is the maximum cost divided by weight. maxReportAge is the maximum age of a pool's
// information about another pool.
func gapBounds(o dispatchsim.Options, maxReportAge time.Duration) (byStart, byDelivery float64) {
	totalWeight, maxWeight := 0.0, 0.0
	for _, a := range o.Accounts {
		totalWeight += a.Weight
		maxWeight = max(maxWeight, a.Weight)
	}
	slots := make([]int, o.Zones)
	for _, s := range o.Servers {
		slots[s.Zone] += s.Slots + maxStandby(o)
	}
	maxInFlight := 0.0
	for _, n := range slots {
		maxInFlight += max(1, math.Ceil(maxShareFactor*float64(n)*maxWeight/totalWeight))
	}
	shortestRun := time.Duration(minCost / costPerSecond * float64(time.Second))
	unreported := maxInFlight * (1 + math.Ceil(float64(maxReportAge)/float64(shortestRun)))
	zones := float64(o.Zones)
	remoteWeight := 0.25
	if o.Zones > 3 {
		remoteWeight = 0.5 / (zones - 1)
	}
	step := remoteWeight*unreported + maxInFlight + 1
	byStart = 4 * zones * step / (1 - remoteWeight*(zones-1))
	return byStart, byStart + 2*maxInFlight
}

// maxStandby returns how many requests a server may have beyond its slots.
func maxStandby(o dispatchsim.Options) int { return max(o.Standby, o.RemoteStandby) }

// forEachSeed runs the check for every seed, in parallel.
func forEachSeed(t *testing.T, check func(seed uint64) error) {
	n := seeds
	if testing.Short() {
		n /= 20
	}
	var group errgroup.Group
	group.SetLimit(runtime.GOMAXPROCS(0))
	for seed := range n {
		group.Go(func() error { return check(uint64(seed)) })
	}
	require.NoError(t, group.Wait())
}

// checkAllRanOnce checks that every request ran exactly once.
func checkAllRanOnce(seed uint64, r dispatchsim.Result) error {
	if r.DuplicateRuns > 0 || r.Ended != r.Submitted || r.Waiting > 0 {
		return fmt.Errorf("seed %d: %d submitted, %d ended, %d waiting, %d ran twice", seed, r.Submitted, r.Ended, r.Waiting, r.DuplicateRuns)
	}
	return nil
}

// checkGaps checks the fairness gaps against gapBounds.
func checkGaps(seed uint64, o dispatchsim.Options, r dispatchsim.Result, maxReportAge time.Duration) error {
	byStart, byDelivery := gapBounds(o, maxReportAge)
	if r.GapByStart > byStart || r.GapByDelivery > byDelivery {
		return fmt.Errorf("seed %d: fairness gap by start %.1f (bound %.1f), by delivery %.1f (bound %.1f)",
			seed, r.GapByStart, byStart, r.GapByDelivery, byDelivery)
	}
	return nil
}

const maxReportAge = exchangeInterval + 2*maxRemoteDelay + stallTime

func TestFairnessGapStaysWithinDerivedBound(t *testing.T) {
	forEachSeed(t, func(seed uint64) error {
		o, _ := randomOptions(seed)
		r := dispatchsim.New(o).Run(drainTime)
		if r.MaxOverSlots > maxStandby(o) {
			return fmt.Errorf("seed %d: a server had %d requests beyond its slots", seed, r.MaxOverSlots)
		}
		if err := checkAllRanOnce(seed, r); err != nil {
			return err
		}
		return checkGaps(seed, o, r, maxReportAge)
	})
}

// The bound must not depend on the number of zones being small.
func TestFairnessGapBoundHoldsForManyZones(t *testing.T) {
	for _, zones := range []int{5, 8, 12} {
		for seed := range uint64(3) {
			o := manyZonesOptions(seed, zones)
			r := dispatchsim.New(o).Run(drainTime)
			require.NoError(t, checkAllRanOnce(seed, r))
			require.NoError(t, checkGaps(seed, o, r, maxReportAge))
		}
	}
}

// manyZonesOptions returns a fleet with one daemon and one server for each zone and two accounts
// for each server, half of them with all callers in one zone.
func manyZonesOptions(seed uint64, zones int) dispatchsim.Options {
	o := dispatchsim.Options{
		Seed: seed, Scope: dispatchsim.ScopeZone, Zones: zones, Daemons: zones, RemoteStandby: 1,
		Local:         dispatchsim.Link{Delay: 300 * time.Microsecond},
		Remote:        dispatchsim.Link{Delay: 5 * time.Millisecond, Jitter: 3 * time.Millisecond, StallProbability: 0.01, StallDuration: stallTime},
		CostPerSecond: costPerSecond, Length: loadTime,
	}
	for zone := range zones {
		o.Servers = append(o.Servers, dispatchsim.Server{Zone: zone, Slots: 2})
	}
	for i := range 2 * zones {
		a := dispatchsim.Account{Weight: 1, Outstanding: 2 * zones, Cost: randomCost, Daemons: []int{i % zones}}
		if i%2 == 0 {
			for zone := range zones {
				a.Daemons = append(a.Daemons, zone)
			}
		}
		o.Accounts = append(o.Accounts, a)
	}
	return o
}

func TestLostAndDuplicateMessagesLoseNoRequest(t *testing.T) {
	forEachSeed(t, func(seed uint64) error {
		o, r := randomOptions(seed)
		for _, link := range []*dispatchsim.Link{&o.Local, &o.Remote} {
			link.DropProbability = 0.3 * r.Float64()
			link.DuplicateProbability = 0.3 * r.Float64()
		}
		result := dispatchsim.New(o).Run(drainTime)
		if result.MaxOverSlots > maxStandby(o) {
			return fmt.Errorf("seed %d: a server had %d requests beyond its slots", seed, result.MaxOverSlots)
		}
		return checkAllRanOnce(seed, result)
	})
}

func TestTakeoversAndPausesLoseNoRequest(t *testing.T) {
	forEachSeed(t, func(seed uint64) error {
		o, r := randomOptions(seed)
		o.Remote.DropProbability = 0.1 * r.Float64()
		f := dispatchsim.New(o)
		for range 1 + r.IntN(4) {
			name := "region"
			if o.Scope == dispatchsim.ScopeZone {
				name = fmt.Sprintf("z%d", r.IntN(o.Zones))
			}
			at := time.Duration(r.Int64N(int64(loadTime)))
			if r.IntN(2) == 0 {
				f.After(at, func() { f.StartDispatcher(name, r.IntN(o.Daemons)) })
				continue
			}
			f.After(at, func() { f.SetPaused(name, true) })
			f.After(at+time.Duration(r.Int64N(int64(8*time.Second))), func() { f.SetPaused(name, false) })
		}
		result := f.Run(drainTime)
		return checkAllRanOnce(seed, result)
	})
}
