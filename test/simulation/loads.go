package simulation

import (
	"fmt"
	"math"
	"time"

	"github.com/filbertrill/filbertrill/internal/routing"
)

const (
	sharedPrefixes   = 150
	meanUniqueTokens = 2000 // mean of the part that no other request shares
	accounts         = 8
)

// Poisson sends requests of the account at the mean rate to random daemons of the first few.
func (s *Simulation) Poisson(account string, perSecond float64, daemons int, start time.Time, length time.Duration) {
	s.shapedPoisson(account, daemons, start, length, perSecond, func(time.Duration) float64 { return 1 }, s.randomPrefix)
}

// shaped thins a Poisson stream of the highest rate to the shape, which is at most one
// (Lewis and Shedler 1979).
func (s *Simulation) shapedPoisson(account string, daemons int, start time.Time, length time.Duration, perSecond float64,
	shape func(time.Duration) float64, pickPrefix func() uint64) {
	gap := func() time.Duration { return time.Duration(s.rng.ExpFloat64() / perSecond * float64(time.Second)) }
	for t := start.Add(gap()); t.Before(start.Add(length)); t = t.Add(gap()) {
		if s.rng.Float64() > shape(t.Sub(start)) {
			continue
		}
		s.At(t, func(now time.Time) {
			s.Send(Request{account, pickPrefix(), int(meanUniqueTokens * (0.3 + s.rng.ExpFloat64())), s.rng.IntN(daemons)}, now)
		})
	}
}

// About sends requests of the account about one subject, to any daemon.
func (s *Simulation) PoissonWithPrefix(prefix uint64, account string, perSecond float64, start time.Time, length time.Duration) {
	s.shapedPoisson(account, s.options.Daemons, start, length, perSecond, constantRate, func() uint64 { return prefix })
}

func (s *Simulation) randomPrefix() uint64 { return uint64(s.rng.IntN(sharedPrefixes)) }

func (s *Simulation) allAccounts(perSecond float64, length time.Duration, shape func(time.Duration) float64) {
	for i := range accounts {
		s.shapedPoisson(fmt.Sprint("account", i), s.options.Daemons, Start, length, perSecond, shape, s.randomPrefix)
	}
}

func constantRate(time.Duration) float64 { return 1 }

// Load is a load that can be played.
type Load struct {
	Name        string
	Description string
	Schedule    func(s *Simulation, length time.Duration)
}

// Loads lists the loads, after the disruptions of the users' days. Rates are for 10 engines.
func Loads() []Load {
	middleThird := func(duration time.Duration) (start time.Time, length time.Duration) {
		return Start.Add(duration / 3), duration / 3
	}
	return []Load{
		{"calm", "8 accounts, 12 requests a second each", func(s *Simulation, duration time.Duration) { s.allAccounts(12, duration, constantRate) }},
		{"wave", "the same, from 4 to 28 a second and back within 4 s", func(s *Simulation, duration time.Duration) {
			s.allAccounts(28, duration, func(t time.Duration) float64 {
				return 0.57 - 0.43*math.Cos(2*math.Pi*t.Seconds()/4)
			})
		}},
		{"clump", "60 a second each, in the first quarter of each second", func(s *Simulation, duration time.Duration) {
			s.allAccounts(60, duration, func(t time.Duration) float64 {
				if t%time.Second < time.Second/4 {
					return 1
				}
				return 0
			})
		}},
		{"burst", "calm; in the middle third 250 a second more of all accounts", func(s *Simulation, duration time.Duration) {
			s.allAccounts(12, duration, constantRate)
			start, length := middleThird(duration)
			for i := range accounts {
				s.Poisson(fmt.Sprint("account", i), 31, s.options.Daemons, start, length)
			}
		}},
		{"hot-account", "20 a second each; one sends 350 a second to two daemons, but not in the first 2 s", func(s *Simulation, duration time.Duration) {
			s.allAccounts(20, duration, constantRate)
			s.Poisson("hot", 350, min(2, s.options.Daemons), Start.Add(2*time.Second), duration-2*time.Second)
		}},
		{"hot-key", "calm; in the middle third 150 a second about one subject", func(s *Simulation, duration time.Duration) {
			s.allAccounts(12, duration, constantRate)
			start, length := middleThird(duration)
			s.PoissonWithPrefix(0, "account0", 150, start, length)
		}},
		{"crash", "16 a second each; in the middle third three engines answer nothing, known after 1 s", func(s *Simulation, duration time.Duration) {
			s.allAccounts(16, duration, constantRate)
			start, length := middleThird(duration)
			s.outage(start, length, 3)
		}},
		{"scale-in", "16 a second each; three engines leave for good in the middle", func(s *Simulation, duration time.Duration) {
			s.allAccounts(16, duration, constantRate)
			s.At(Start.Add(duration/2), func(time.Time) { s.setServers(s.readyServers[3:]) })
		}},
	}
}

// outage makes the first engines silent. Daemons hear of it after a second, and of its end.
func (s *Simulation) outage(start time.Time, length time.Duration, engines int) {
	all := s.readyServers
	setUnresponsive := func(unresponsive bool) func(time.Time) {
		return func(time.Time) {
			for _, id := range s.engineIDs[:engines] {
				s.engines[id].unresponsive = unresponsive
				s.engines[id].cached = map[uint64]bool{}
			}
		}
	}
	s.At(start, setUnresponsive(true))
	s.At(start.Add(time.Second), func(time.Time) { s.setServers(all[engines:]) })
	s.At(start.Add(length), func(now time.Time) {
		setUnresponsive(false)(now)
		s.setServers(all)
	})
}

// serve tells the daemons which servers are there.
func (s *Simulation) setServers(servers []routing.Server) {
	s.readyServers = servers
	for _, sched := range s.schedulers {
		sched.SetServers(servers, s.config)
	}
}
