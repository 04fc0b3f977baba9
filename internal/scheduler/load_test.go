package scheduler_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/filbertrill/filbertrill/internal/admission"
	"github.com/filbertrill/filbertrill/internal/placement"
	"github.com/filbertrill/filbertrill/internal/routing"
	"github.com/filbertrill/filbertrill/internal/scheduler"
	"github.com/filbertrill/filbertrill/test/simulation"
)

const simulationLength = 12 * time.Second

func ratio(part, whole int) float64 { return float64(part) / float64(max(1, whole)) }

// newSimulation returns a simulation with 10 engines. Callers don't retry, so that each decision
// counts.
func newSimulation(daemons int, policy simulation.Policy) *simulation.Simulation {
	return simulation.New(simulation.Options{Daemons: daemons, Engines: 10, EngineSpec: simulation.ManySlotEngine(), Policy: policy, Seed: 1})
}

// At a load that the engines can serve, nearly all requests are on time, and prompts are sent to
// engines that have the shared parts in their prefix cache.
func TestSteadyLoadIsServedOnTime(t *testing.T) {
	product, baseline := newSimulation(7, simulation.Product), newSimulation(7, simulation.LeastRequests)
	for _, s := range []*simulation.Simulation{product, baseline} {
		for i := range 8 {
			s.Poisson(fmt.Sprint("account", i), 12, 7, simulation.Start, simulationLength)
		}
		s.Run(simulationLength)
	}
	got := product.Total()
	t.Logf("product %+v, reread %d; least requests %+v, reread %d", got, product.RecomputedTokens, baseline.Total(), baseline.RecomputedTokens)
	assert.GreaterOrEqual(t, ratio(got.OnTime, got.Requests), 0.99)
	assert.Less(t, product.RecomputedTokens, baseline.RecomputedTokens/4)
}

// One account sends more than twice as many requests as the eight others together, to two of seven
// daemons, and the total exceeds the prefill capacity of the engines. The others stay on time.
func TestFloodOfOneAccountDoesNotDelayOthers(t *testing.T) {
	product, baseline := newSimulation(7, simulation.Product), newSimulation(7, simulation.LeastRequests)
	for _, s := range []*simulation.Simulation{product, baseline} {
		for i := range 8 {
			s.Poisson(fmt.Sprint("account", i), 20, 7, simulation.Start, simulationLength)
		}
		s.Poisson("flood", 350, 2, simulation.Start.Add(2*time.Second), simulationLength-2*time.Second)
		s.Run(simulationLength)
	}
	lowest := 1.0
	for account, results := range product.ByAccount {
		if account != "flood" {
			lowest = min(lowest, ratio(results.OnTime, results.Requests))
		}
	}
	got, baselineTotal := product.Total(), baseline.Total()
	t.Logf("product %+v, lowest account %.2f, flood %+v; least requests %+v", got, lowest, *product.ByAccount["flood"], baselineTotal)
	assert.GreaterOrEqual(t, lowest, 0.9)
	assert.Positive(t, product.ByAccount["flood"].OnTime, "the remaining capacity serves the flood")
	assert.Less(t, ratio(baselineTotal.OnTime, baselineTotal.Requests), ratio(got.OnTime, got.Requests))
}

// Two accounts with demands far above their shares receive similar shares, although the demand of
// one is three times that of the other.
func TestLargeAccountsReceiveEqualShares(t *testing.T) {
	s := newSimulation(7, simulation.Product)
	s.Poisson("large", 150, 7, simulation.Start, simulationLength)
	s.Poisson("larger", 450, 7, simulation.Start, simulationLength)
	s.Run(simulationLength)
	large, larger := s.ByAccount["large"], s.ByAccount["larger"]
	t.Logf("large %+v, larger %+v", *large, *larger)
	assert.Less(t, ratio(larger.Tokens, large.Tokens), 2.0)
	assert.Greater(t, ratio(larger.Tokens, large.Tokens), 0.5)
}

// A daemon that is overloaded in its first seconds attributes its own delays to the servers. Once the
// overload ends, it must not continue to predict that idle servers are late and refuse all requests.
func TestDaemonRecoversFromOverloadAtStart(t *testing.T) {
	overloadEnd := simulation.Start.Add(2 * time.Second)
	s := simulation.New(simulation.Options{Daemons: 2, Engines: 10, EngineSpec: simulation.ManySlotEngine(), Policy: simulation.Product, Seed: 1,
		ObservationDelay: func(daemon int, now time.Time) time.Duration {
			if daemon == 0 && now.Before(overloadEnd) {
				return time.Second
			}
			return 0
		}})
	s.Poisson("account", 40, 2, simulation.Start, 2*time.Second)
	s.Poisson("later", 40, 2, overloadEnd.Add(time.Second), simulationLength)
	s.Run(simulationLength + 3*time.Second)
	later := s.ByAccount["later"]
	t.Logf("account %+v, later %+v", *s.ByAccount["account"], *later)
	assert.LessOrEqual(t, ratio(later.Refused, later.Requests), 0.01)
	assert.GreaterOrEqual(t, ratio(later.OnTime, later.Requests), 0.99)
}

// simulateOverloadedDaemon runs four accounts that each demand more than a quarter of the capacity.
// The pinned account uses only daemon 0, which is overloaded and attributes its own delays to the
// servers unless the overload is known. It returns the results of the pinned account and of one of
// the accounts that use all daemons.
func simulateOverloadedDaemon(overloadKnown bool) (pinned, spread simulation.Results) {
	s := simulation.New(simulation.Options{Daemons: 7, Engines: 10, EngineSpec: simulation.ManySlotEngine(), Policy: simulation.Product, Seed: 1,
		ObservationDelay: func(daemon int, now time.Time) time.Duration {
			if daemon == 0 {
				return 300 * time.Millisecond
			}
			return 0
		}})
	s.Schedulers()[0].SetOverloaded(overloadKnown)
	s.Poisson("pinned", 250, 1, simulation.Start, simulationLength)
	for i := range 3 {
		s.Poisson(fmt.Sprint("spread", i), 250, 7, simulation.Start, simulationLength)
	}
	s.Run(simulationLength)
	return *s.ByAccount["pinned"], *s.ByAccount["spread0"]
}

// All callers of the largest account use one overloaded daemon. A daemon that mistakes its own delays
// for load of the servers refuses requests like those that its peers admit for other accounts: the
// account received 2.97 million tokens in 6 s, the others 6.25 million.
func TestAccountAtOverloadedDaemonReceivesItsShare(t *testing.T) {
	pinned, spread := simulateOverloadedDaemon(true)
	t.Logf("pinned %+v, spread %+v", pinned, spread)
	assert.Greater(t, ratio(pinned.Tokens, spread.Tokens), 0.5)
}

// Accounts with the same demand yield to an account that has received less than its share, whatever
// the reason is. Here the daemon has not detected its overload.
func TestAccountBelowItsShareTakesPrecedence(t *testing.T) {
	pinned, spread := simulateOverloadedDaemon(false)
	t.Logf("pinned %+v, spread %+v", pinned, spread)
	assert.Greater(t, ratio(pinned.Tokens, spread.Tokens), 0.5)
}

// newPinnedFlood returns a simulation in which the account "pinned" sends all requests to one daemon
// that can process a small part of them, while three floods that begin at different times are spread
// over all daemons, and engines crash and return idle.
func newPinnedFlood(seed uint64, daemons int, capacity float64) *simulation.Simulation {
	const perDaemon = 12 * time.Millisecond // views are sent less often in a larger fleet
	s := simulation.New(simulation.Options{
		Daemons: daemons, Engines: 20, EngineSpec: simulation.BenchmarkedEngine(), Policy: simulation.Product, Seed: seed,
		ViewInterval: min(time.Duration(daemons)*perDaemon, 250*time.Millisecond), ViewDelay: 100 * time.Millisecond,
		DaemonCapacity: func(daemon int) float64 {
			if daemon == 0 {
				return capacity
			}
			return 0
		},
	})
	at := func(second float64) time.Time {
		return simulation.Start.Add(time.Duration(second * float64(time.Second)))
	}
	for i := range 8 {
		s.Poisson(fmt.Sprint("calm", i), 4, daemons, simulation.Start, 20*time.Second)
	}
	s.Poisson("pinned", 500, 1, at(1), 19*time.Second)
	s.Poisson("flood0", 200, daemons, at(3), 17*time.Second)
	s.Poisson("flood1", 400, daemons, at(7), 13*time.Second)
	s.Poisson("flood2", 800, daemons, at(10), 10*time.Second)
	s.Outage(at(11), 2*time.Second, 5)
	return s
}

func TestAccountAtSlowDaemonReceivesHalfOfBestServedDuringFloods(t *testing.T) {
	for _, daemons := range []int{7, 30} {
		for _, capacity := range []float64{40, 80} {
			for seed := range uint64(3) {
				s := newPinnedFlood(seed+1, daemons, capacity)
				s.Run(20 * time.Second)
				gap := s.Shares.LargestGap(2, 20)
				t.Logf("%d daemons, %v requests/s, seed %d: %v; admitted %.1f million", daemons, capacity, seed+1, gap, s.Shares.Admitted()/1e6)
				assert.GreaterOrEqual(t, gap.Ratio, 0.5)
			}
		}
	}
}

// Half of all requests share one prompt prefix, more than the server with the cached prefix can
// serve. Other servers fetch the prefix instead of processing it again.
func TestPopularPrefixIsFetched(t *testing.T) {
	var rereadTokens []int
	var got []simulation.Results
	for _, rate := range []float64{0, 900} {
		spec := simulation.BenchmarkedEngine()
		spec.FetchTokensPerMs = rate
		s := simulation.New(simulation.Options{Daemons: 7, Engines: 10, EngineSpec: spec, Policy: simulation.Product, Seed: 1})
		for i := range 8 {
			s.Poisson(fmt.Sprint("account", i), 10, 7, simulation.Start, simulationLength)
		}
		s.PoissonWithPrefix(0, "account0", 80, simulation.Start, simulationLength)
		s.Run(simulationLength)
		rereadTokens = append(rereadTokens, s.RecomputedTokens)
		got = append(got, s.Total())
	}
	t.Logf("without fetches %+v, reread %d; with fetches %+v, reread %d", got[0], rereadTokens[0], got[1], rereadTokens[1])
	assert.Less(t, rereadTokens[1], rereadTokens[0]/4)
	assert.Greater(t, got[1].OnTime, got[0].OnTime)
	assert.LessOrEqual(t, got[1].Late, got[0].Late)
}

// plainServer models a server of a plain service, with a fixed number of slots and a queue in order
// of arrival.
type plainServer struct{ slotFreeAt []time.Time }

// enqueue adds a request and returns the time at which it ends.
func (s *plainServer) enqueue(now time.Time, serviceTime time.Duration) time.Time {
	slot := 0
	for i, at := range s.slotFreeAt {
		if at.Before(s.slotFreeAt[slot]) {
			slot = i
		}
	}
	start := now
	if s.slotFreeAt[slot].After(start) {
		start = s.slotFreeAt[slot]
	}
	s.slotFreeAt[slot] = start.Add(serviceTime)
	return s.slotFreeAt[slot]
}

// simulatePlainService runs requests of a plain service at 65 daemons that receive each other's views
// with a delay of 200 ms. It returns the share of requests that are late or refused.
func simulatePlainService(t *testing.T, requestsPerSecond time.Duration) float64 {
	t.Helper()
	const daemons, servers, slots = 65, 4, 6
	const serviceTime, objective, viewDelay = 30 * time.Millisecond, 150 * time.Millisecond, 200 * time.Millisecond
	s := simulation.New(simulation.Options{Daemons: daemons, Policy: simulation.Product, Seed: 1})
	rng := rand.New(rand.NewPCG(1, 3))
	plainServers := map[string]*plainServer{}
	var serverList []routing.Server
	for i := range servers {
		id := fmt.Sprint("p", i)
		plainServers[id] = &plainServer{slotFreeAt: make([]time.Time, slots)}
		serverList = append(serverList, routing.Server{ID: id, Service: "plain", Zone: fmt.Sprint("z", i), Slots: slots})
	}
	config, err := routing.Build(routing.Config{Services: []routing.Service{{Name: "plain"}}})
	require.NoError(t, err)
	for i, sched := range s.Schedulers() {
		sched.SetServers(serverList, config)
		for at := simulation.Start; at.Before(simulation.Start.Add(simulationLength)); at = at.Add(100 * time.Millisecond) {
			s.At(at.Add(time.Duration(i)*time.Millisecond), func(now time.Time) {
				view := sched.View(450*time.Millisecond, now)
				s.At(now.Add(viewDelay), func(now time.Time) {
					for j, other := range s.Schedulers() {
						if j != i {
							other.SetPeer(fmt.Sprint("d", i), view, now)
						}
					}
				})
			})
		}
	}
	requests, lateOrRefused := 0, 0
	for at := simulation.Start; at.Before(simulation.Start.Add(simulationLength)); at = at.Add(time.Second / requestsPerSecond) {
		s.At(at, func(now time.Time) {
			sched := s.Schedulers()[rng.IntN(daemons)]
			request := scheduler.Request{Request: placement.Request{Service: "plain"}, Objective: objective, Deadline: now.Add(time.Second)}
			d := sched.Decide(request, now)
			requests++
			if d.Verdict.Reason != admission.Admitted {
				lateOrRefused++
				return
			}
			attempt := sched.Start(request, d.Choice, now)
			end := plainServers[d.Choice.Server.ID].enqueue(now, serviceTime)
			if end.Sub(now) > objective {
				lateOrRefused++
			}
			s.At(end, func(now time.Time) {
				sched.RecordFirstEvent(attempt, now)
				sched.End(attempt, placement.Served, now)
			})
		})
	}
	s.Run(-10 * time.Second) // a negative length, so that no views are sent but those above
	t.Logf("%d of %d late or refused at %d requests/s", lateOrRefused, requests, requestsPerSecond)
	return ratio(lateOrRefused, requests)
}

// With stale views, plain requests must not all go to the server that had the least load when the
// views were sent: at 280 and at 600 requests per second of the 800 that the servers can answer.
func TestPlainRequestsSpreadOnStaleViews(t *testing.T) {
	assert.LessOrEqual(t, simulatePlainService(t, 280), 0.01)
	assert.LessOrEqual(t, simulatePlainService(t, 600), 0.05)
}

// All admitted requests end, and their load is removed.
func TestNoLoadRemainsAfterSimulation(t *testing.T) {
	s := simulation.New(simulation.Options{Daemons: 3, Engines: 4, EngineSpec: simulation.ManySlotEngine(), Policy: simulation.Product, Seed: 1})
	s.Poisson("account", 200, 3, simulation.Start, 3*time.Second)
	s.Run(3 * time.Second)
	for _, sched := range s.Schedulers() {
		assert.Empty(t, sched.View(450*time.Millisecond, simulation.Start.Add(time.Hour)).Loads)
	}
}
