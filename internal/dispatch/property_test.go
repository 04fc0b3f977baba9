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

// Sizes of the random runs.
const (
	seeds      = 1000
	rate       = 100.0 // cost that a slot delivers in a second
	largest    = 200.0 // cost
	smallest   = 20.0  // cost
	loadTime   = 6 * time.Second
	drainTime  = 5 * time.Minute
	farMost    = 8 * time.Millisecond
	stall      = 200 * time.Millisecond
	exchange   = 50 * time.Millisecond
	shareLimit = 2.0
	remotePart = 0.25
)

func cost(r *dispatchsim.Rand) float64 { return smallest + (largest-smallest)*r.Float64()*r.Float64() }

// scenario returns a random small fleet whose accounts wait all the time.
func scenario(seed uint64) (dispatchsim.Options, *rand.Rand) {
	r := rand.New(rand.NewPCG(seed, 2))
	o := dispatchsim.Options{
		Seed:          seed,
		Scope:         []dispatchsim.Scope{dispatchsim.ScopeZone, dispatchsim.ScopeZone, dispatchsim.ScopeRegion}[r.IntN(3)],
		Zones:         1 + r.IntN(3),
		Standby:       r.IntN(2),
		HopStandby:    r.IntN(2),
		Local:         dispatchsim.Link{Delay: 300 * time.Microsecond},
		Remote:        dispatchsim.Link{Delay: 5 * time.Millisecond, Jitter: 3 * time.Millisecond, StallProbability: 0.01, StallDuration: stall},
		CostPerSecond: rate,
		Length:        loadTime,
	}
	o.Daemons = o.Zones + r.IntN(3)
	for i := range 1 + r.IntN(5) {
		o.Servers = append(o.Servers, dispatchsim.Server{Zone: i % o.Zones, Slots: 1 + r.IntN(4)})
	}
	for range 2 + r.IntN(5) {
		a := dispatchsim.Account{Weight: float64(1 + r.IntN(3)), Outstanding: 6 + r.IntN(12), Cost: cost}
		for range 1 + r.IntN(3) {
			a.Daemons = append(a.Daemons, r.IntN(o.Daemons))
		}
		o.Accounts = append(o.Accounts, a)
	}
	return o, r
}

// bounds returns the greatest gaps, by start and delivered, that docs/design/dispatch.md
// derives, in multiples of the largest cost over weight. The lag is how old a pool's
// knowledge of another may be.
func bounds(o dispatchsim.Options, lag time.Duration) (byStart, delivered float64) {
	sum, most := 0.0, 0.0
	for _, a := range o.Accounts {
		sum += a.Weight
		most = max(most, a.Weight)
	}
	slots := make([]int, o.Zones)
	for _, s := range o.Servers {
		slots[s.Zone] += s.Slots + beyond(o)
	}
	held := 0.0
	for _, n := range slots {
		held += max(1, math.Ceil(shareLimit*float64(n)*most/sum))
	}
	shortest := time.Duration(smallest / rate * float64(time.Second))
	unseen := held * (1 + math.Ceil(float64(lag)/float64(shortest)))
	zones := float64(o.Zones)
	step := remotePart*unseen + held + 1
	byStart = 4 * zones * step / (1 - remotePart*(zones-1))
	return byStart, byStart + 2*held
}

// beyond returns how many requests a server may get beyond its slots.
func beyond(o dispatchsim.Options) int { return max(o.Standby, o.HopStandby) }

// overSeeds runs the check for each seed, on all processors.
func overSeeds(t *testing.T, check func(seed uint64) error) {
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

// whole checks that every request ran once.
func whole(seed uint64, r dispatchsim.Result) error {
	if r.DuplicateRuns > 0 || r.Ended != r.Submitted || r.Waiting > 0 {
		return fmt.Errorf("seed %d: %d submitted, %d ended, %d wait, %d ran twice", seed, r.Submitted, r.Ended, r.Waiting, r.DuplicateRuns)
	}
	return nil
}

func within(seed uint64, o dispatchsim.Options, r dispatchsim.Result, lag time.Duration) error {
	byStart, delivered := bounds(o, lag)
	if r.GapByStart > byStart || r.GapByDelivery > delivered {
		return fmt.Errorf("seed %d: gap %.1f by start, above %.1f, or %.1f delivered, above %.1f",
			seed, r.GapByStart, byStart, r.GapByDelivery, delivered)
	}
	return nil
}

const quietLag = exchange + 2*farMost + stall

func TestGapStaysWithinTheDerivedBound(t *testing.T) {
	overSeeds(t, func(seed uint64) error {
		o, _ := scenario(seed)
		r := dispatchsim.New(o).Run(drainTime)
		if r.MaxOverSlots > beyond(o) {
			return fmt.Errorf("seed %d: a server had %d requests beyond its slots", seed, r.MaxOverSlots)
		}
		if err := whole(seed, r); err != nil {
			return err
		}
		return within(seed, o, r, quietLag)
	})
}

func TestLostAndRepeatedMessagesDoNoHarm(t *testing.T) {
	overSeeds(t, func(seed uint64) error {
		o, r := scenario(seed)
		for _, link := range []*dispatchsim.Link{&o.Local, &o.Remote} {
			link.DropProbability = 0.3 * r.Float64()
			link.DuplicateProbability = 0.3 * r.Float64()
		}
		result := dispatchsim.New(o).Run(drainTime)
		if result.MaxOverSlots > beyond(o) {
			return fmt.Errorf("seed %d: a server had %d requests beyond its slots", seed, result.MaxOverSlots)
		}
		return whole(seed, result)
	})
}

func TestTakeoversAndPausesLoseNoRequest(t *testing.T) {
	overSeeds(t, func(seed uint64) error {
		o, r := scenario(seed)
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
		return whole(seed, result)
	})
}
