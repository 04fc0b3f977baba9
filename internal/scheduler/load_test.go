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

const playLength = 12 * time.Second

func share(part, whole int) float64 { return float64(part) / float64(max(1, whole)) }

// newPlay returns a play on 10 engines. No caller comes back, so that each decision counts.
func newPlay(daemons int, way simulation.Policy) *simulation.Simulation {
	return simulation.New(simulation.Options{Daemons: daemons, Engines: 10, EngineSpec: simulation.ManySlotEngine(), Policy: way, Seed: 1})
}

// Calm: nobody is refused for long, and shared parts are read once.
func TestCalmLoad(t *testing.T) {
	ours, baseline := newPlay(7, simulation.Product), newPlay(7, simulation.LeastRequests)
	for _, p := range []*simulation.Simulation{ours, baseline} {
		for i := range 8 {
			p.Poisson(fmt.Sprint("account", i), 12, 7, simulation.Start, playLength)
		}
		p.Run(playLength)
	}
	got := ours.Total()
	t.Logf("product %+v, read again %d; least requests %+v, read again %d", got, ours.RereadTokens, baseline.Total(), baseline.RereadTokens)
	assert.GreaterOrEqual(t, share(got.OnTime, got.Requests), 0.99)
	assert.Less(t, ours.RereadTokens, baseline.RereadTokens/4)
}

// Flood: one account asks for seven times what the others do, at two daemons of seven, and
// all together ask for more than the engines can read. The others are served in time.
func TestFloodOfOneAccount(t *testing.T) {
	ours, baseline := newPlay(7, simulation.Product), newPlay(7, simulation.LeastRequests)
	for _, p := range []*simulation.Simulation{ours, baseline} {
		for i := range 8 {
			p.Poisson(fmt.Sprint("account", i), 20, 7, simulation.Start, playLength)
		}
		p.Poisson("flood", 350, 2, simulation.Start.Add(2*time.Second), playLength-2*time.Second)
		p.Run(playLength)
	}
	worst := 1.0
	for account, o := range ours.ByAccount {
		if account != "flood" {
			worst = min(worst, share(o.OnTime, o.Requests))
		}
	}
	got, before := ours.Total(), baseline.Total()
	t.Logf("product %+v, worst account %.2f, flood %+v; least requests %+v", got, worst, *ours.ByAccount["flood"], before)
	assert.GreaterOrEqual(t, worst, 0.9)
	assert.Positive(t, ours.ByAccount["flood"].OnTime, "capacity that is left serves the flood")
	assert.Less(t, share(before.OnTime, before.Requests), share(got.OnTime, got.Requests))
}

// Two accounts that both ask for far more than their share receive alike, though one asks
// for three times as much as the other.
func TestLargeAccountsReceiveAlike(t *testing.T) {
	p := newPlay(7, simulation.Product)
	p.Poisson("large", 150, 7, simulation.Start, playLength)
	p.Poisson("larger", 450, 7, simulation.Start, playLength)
	p.Run(playLength)
	large, larger := p.ByAccount["large"], p.ByAccount["larger"]
	t.Logf("large %+v, larger %+v", *large, *larger)
	assert.Less(t, share(larger.Tokens, large.Tokens), 2.0)
	assert.Greater(t, share(larger.Tokens, large.Tokens), 0.5)
}

// yushan-rounds-grown scale-1: a daemon that was short of processor time in its first seconds
// took its own delays for those of the servers, predicted that idle ones are late, and
// refused every request from then on.
func TestSlowStartIsNoReasonToRefuseLater(t *testing.T) {
	slow := simulation.Start.Add(2 * time.Second)
	p := simulation.New(simulation.Options{Daemons: 2, Engines: 10, EngineSpec: simulation.ManySlotEngine(), Policy: simulation.Product, Seed: 1,
		ObservationDelay: func(daemon int, now time.Time) time.Duration {
			if daemon == 0 && now.Before(slow) {
				return time.Second
			}
			return 0
		}})
	p.Poisson("account", 40, 2, simulation.Start, 2*time.Second)
	p.Poisson("later", 40, 2, slow.Add(time.Second), playLength)
	p.Run(playLength + 3*time.Second)
	later := p.ByAccount["later"]
	t.Logf("account %+v, later %+v", *p.ByAccount["account"], *later)
	assert.LessOrEqual(t, share(later.Refused, later.Requests), 0.01)
	assert.GreaterOrEqual(t, share(later.OnTime, later.Requests), 0.99)
}

// playPinned plays four accounts that each ask for more than a quarter of what there is. One of
// them uses only daemon 0, which is slow and takes its own delays for those of servers unless it
// knows better.
func playPinned(knows bool) (pinned, spread simulation.Results) {
	p := simulation.New(simulation.Options{Daemons: 7, Engines: 10, EngineSpec: simulation.ManySlotEngine(), Policy: simulation.Product, Seed: 1,
		ObservationDelay: func(daemon int, now time.Time) time.Duration {
			if daemon == 0 {
				return 300 * time.Millisecond
			}
			return 0
		}})
	p.Schedulers()[0].SetOverloaded(knows)
	p.Poisson("pinned", 250, 1, simulation.Start, playLength)
	for i := range 3 {
		p.Poisson(fmt.Sprint("spread", i), 250, 7, simulation.Start, playLength)
	}
	p.Run(playLength)
	return *p.ByAccount["pinned"], *p.ByAccount["spread0"]
}

// yushan-rounds-grown scale-1, FAIR: the callers of the largest account all came to one daemon
// that was short of processor time. It took its own delays for load of the servers and refused
// what peers admitted for others: 2.97 million tokens in 6 s against 6.25 million.
func TestAccountAtADelayedDaemonReceivesAlike(t *testing.T) {
	pinned, spread := playPinned(true)
	t.Logf("pinned %+v, spread %+v", pinned, spread)
	assert.Greater(t, share(pinned.Tokens, spread.Tokens), 0.5)
}

// Whatever keeps an account behind, others that want as much wait for it.
func TestOthersWaitForAnAccountThatFallsBehind(t *testing.T) {
	pinned, spread := playPinned(false)
	t.Logf("pinned %+v, spread %+v", pinned, spread)
	assert.Greater(t, share(pinned.Tokens, spread.Tokens), 0.5)
}

// Hot key: half of all requests are about one subject, more than the server that keeps it can
// read. Others fetch its prompt rather than read it again.
func TestHotPromptsAreFetched(t *testing.T) {
	var readAgain []int
	var got []simulation.Results
	for _, rate := range []float64{0, 900} {
		figures := simulation.BenchmarkedEngine()
		figures.FetchTokensPerMs = rate
		p := simulation.New(simulation.Options{Daemons: 7, Engines: 10, EngineSpec: figures, Policy: simulation.Product, Seed: 1})
		for i := range 8 {
			p.Poisson(fmt.Sprint("account", i), 10, 7, simulation.Start, playLength)
		}
		p.PoissonWithPrefix(0, "account0", 80, simulation.Start, playLength)
		p.Run(playLength)
		readAgain = append(readAgain, p.RereadTokens)
		got = append(got, p.Total())
	}
	t.Logf("without fetches %+v, read again %d; with %+v, read again %d", got[0], readAgain[0], got[1], readAgain[1])
	assert.Less(t, readAgain[1], readAgain[0]/4)
	assert.Greater(t, got[1].OnTime, got[0].OnTime)
	assert.LessOrEqual(t, got[1].Late, got[0].Late)
}

// modelPlain is a server of a plain service: it runs so many requests at once, by arrival.
type modelPlain struct{ free []time.Time }

func (s *modelPlain) arrive(now time.Time, work time.Duration) time.Time {
	place := 0
	for i, at := range s.free {
		if at.Before(s.free[place]) {
			place = i
		}
	}
	start := now
	if s.free[place].After(start) {
		start = s.free[place]
	}
	s.free[place] = start.Add(work)
	return s.free[place]
}

// playPlain plays plain requests at 65 daemons, which know of each other's after a fifth of a
// second, and returns the share of requests that are late or refused.
func playPlain(t *testing.T, perSecond time.Duration) float64 {
	t.Helper()
	const daemons, servers, places = 65, 4, 6
	const work, objective, lag = 30 * time.Millisecond, 150 * time.Millisecond, 200 * time.Millisecond
	p := simulation.New(simulation.Options{Daemons: daemons, Policy: simulation.Product, Seed: 1})
	rng := rand.New(rand.NewPCG(1, 3))
	plain := map[string]*modelPlain{}
	var list []routing.Server
	for i := range servers {
		id := fmt.Sprint("p", i)
		plain[id] = &modelPlain{free: make([]time.Time, places)}
		list = append(list, routing.Server{ID: id, Service: "plain", Zone: fmt.Sprint("z", i), Slots: places})
	}
	config, err := routing.Build(routing.Config{Services: []routing.Service{{Name: "plain"}}})
	require.NoError(t, err)
	for i, each := range p.Schedulers() {
		each.SetServers(list, config)
		for at := simulation.Start; at.Before(simulation.Start.Add(playLength)); at = at.Add(100 * time.Millisecond) {
			p.At(at.Add(time.Duration(i)*time.Millisecond), func(now time.Time) {
				view := each.View(now)
				p.At(now.Add(lag), func(now time.Time) {
					for j, other := range p.Schedulers() {
						if j != i {
							other.SetPeer(fmt.Sprint("d", i), view, now)
						}
					}
				})
			})
		}
	}
	asked, late := 0, 0
	for at := simulation.Start; at.Before(simulation.Start.Add(playLength)); at = at.Add(time.Second / perSecond) {
		p.At(at, func(now time.Time) {
			decider := p.Schedulers()[rng.IntN(daemons)]
			ask := scheduler.Request{Request: placement.Request{Service: "plain"}, Objective: objective, Deadline: now.Add(time.Second)}
			d := decider.Decide(ask, now)
			asked++
			if d.Verdict.Reason != admission.Admitted {
				late++
				return
			}
			attempt := decider.Start(ask, d.Choice, now)
			end := plain[d.Choice.Server.ID].arrive(now, work)
			if end.Sub(now) > objective {
				late++
			}
			p.At(end, func(now time.Time) {
				decider.RecordFirstEvent(attempt, now)
				decider.End(attempt, placement.Served, now)
			})
		})
	}
	p.Run(-10 * time.Second) // no views but those above
	t.Logf("%d of %d late or refused at %d a second", late, asked, perSecond)
	return share(late, asked)
}

// Plain requests do not all go to the server that had the least load when the daemons last heard
// of it: at 280 a second of 800 that the servers can answer, and at 600.
func TestPlainRequestsSpreadOnOldKnowledge(t *testing.T) {
	assert.LessOrEqual(t, playPlain(t, 280), 0.01)
	assert.LessOrEqual(t, playPlain(t, 600), 0.05)
}

// Every request that is admitted ends, and leaves no load behind.
func TestPlaysLeaveNoLoad(t *testing.T) {
	p := simulation.New(simulation.Options{Daemons: 3, Engines: 4, EngineSpec: simulation.ManySlotEngine(), Policy: simulation.Product, Seed: 1})
	p.Poisson("account", 200, 3, simulation.Start, 3*time.Second)
	p.Run(3 * time.Second)
	for _, each := range p.Schedulers() {
		assert.Empty(t, each.View(simulation.Start.Add(time.Hour)).Loads)
	}
}
