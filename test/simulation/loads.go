package simulation

import (
	"fmt"
	"math"
	"time"

	"github.com/filbertrill/filbertrill/internal/routing"
)

const (
	subjects  = 150
	ownTokens = 2000 // mean of the part that no other request shares
	accounts  = 8
)

// Poisson sends requests of the account at the mean rate to random daemons of the first few.
func (p *Simulation) Poisson(account string, perSecond float64, daemons int, from time.Time, length time.Duration) {
	p.shaped(account, daemons, from, length, perSecond, func(time.Duration) float64 { return 1 }, p.anySubject)
}

// shaped thins a Poisson stream of the highest rate to the shape, which is at most one
// (Lewis and Shedler 1979).
func (p *Simulation) shaped(account string, daemons int, from time.Time, length time.Duration, perSecond float64,
	shape func(time.Duration) float64, subject func() uint64) {
	gap := func() time.Duration { return time.Duration(p.rng.ExpFloat64() / perSecond * float64(time.Second)) }
	for t := from.Add(gap()); t.Before(from.Add(length)); t = t.Add(gap()) {
		if p.rng.Float64() > shape(t.Sub(from)) {
			continue
		}
		p.At(t, func(now time.Time) {
			p.Send(Request{account, subject(), int(ownTokens * (0.3 + p.rng.ExpFloat64())), p.rng.IntN(daemons)}, now)
		})
	}
}

// About sends requests of the account about one subject, to any daemon.
func (p *Simulation) PoissonWithPrefix(subject uint64, account string, perSecond float64, from time.Time, length time.Duration) {
	p.shaped(account, p.options.Daemons, from, length, perSecond, even, func() uint64 { return subject })
}

func (p *Simulation) anySubject() uint64 { return uint64(p.rng.IntN(subjects)) }

func (p *Simulation) everyone(perSecond float64, length time.Duration, shape func(time.Duration) float64) {
	for i := range accounts {
		p.shaped(fmt.Sprint("account", i), p.options.Daemons, Start, length, perSecond, shape, p.anySubject)
	}
}

func even(time.Duration) float64 { return 1 }

// Load is a load that can be played.
type Load struct {
	Name        string
	Description string
	Schedule    func(p *Simulation, length time.Duration)
}

// Loads lists the loads, after the disruptions of the users' days. Rates are for 10 engines.
func Loads() []Load {
	third := func(d time.Duration) (from time.Time, length time.Duration) { return Start.Add(d / 3), d / 3 }
	return []Load{
		{"calm", "8 accounts, 12 requests a second each", func(p *Simulation, d time.Duration) { p.everyone(12, d, even) }},
		{"wave", "the same, from 4 to 28 a second and back within 4 s", func(p *Simulation, d time.Duration) {
			p.everyone(28, d, func(t time.Duration) float64 {
				return 0.57 - 0.43*math.Cos(2*math.Pi*t.Seconds()/4)
			})
		}},
		{"clump", "60 a second each, in the first quarter of each second", func(p *Simulation, d time.Duration) {
			p.everyone(60, d, func(t time.Duration) float64 {
				if t%time.Second < time.Second/4 {
					return 1
				}
				return 0
			})
		}},
		{"burst", "calm; in the middle third 250 a second more of all accounts", func(p *Simulation, d time.Duration) {
			p.everyone(12, d, even)
			from, length := third(d)
			for i := range accounts {
				p.Poisson(fmt.Sprint("account", i), 31, p.options.Daemons, from, length)
			}
		}},
		{"hot-account", "20 a second each; one sends 350 a second to two daemons, but not in the first 2 s", func(p *Simulation, d time.Duration) {
			p.everyone(20, d, even)
			p.Poisson("hot", 350, min(2, p.options.Daemons), Start.Add(2*time.Second), d-2*time.Second)
		}},
		{"hot-key", "calm; in the middle third 150 a second about one subject", func(p *Simulation, d time.Duration) {
			p.everyone(12, d, even)
			from, length := third(d)
			p.PoissonWithPrefix(0, "account0", 150, from, length)
		}},
		{"crash", "16 a second each; in the middle third three engines answer nothing, known after 1 s", func(p *Simulation, d time.Duration) {
			p.everyone(16, d, even)
			from, length := third(d)
			p.outage(from, length, 3)
		}},
		{"scale-in", "16 a second each; three engines leave for good in the middle", func(p *Simulation, d time.Duration) {
			p.everyone(16, d, even)
			p.At(Start.Add(d/2), func(time.Time) { p.serve(p.ready[3:]) })
		}},
	}
}

// outage makes the first engines silent. Daemons hear of it after a second, and of its end.
func (p *Simulation) outage(from time.Time, length time.Duration, engines int) {
	all := p.ready
	dark := func(on bool) func(time.Time) {
		return func(time.Time) {
			for _, id := range p.ids[:engines] {
				p.engines[id].dark = on
				p.engines[id].kept = map[uint64]bool{}
			}
		}
	}
	p.At(from, dark(true))
	p.At(from.Add(time.Second), func(time.Time) { p.serve(all[engines:]) })
	p.At(from.Add(length), func(now time.Time) {
		dark(false)(now)
		p.serve(all)
	})
}

// serve tells the daemons which servers are there.
func (p *Simulation) serve(servers []routing.Server) {
	p.ready = servers
	for _, each := range p.pilots {
		each.SetServers(servers, p.config)
	}
}
