package simulation

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/filbertrill/filbertrill/internal/admission"
	"github.com/filbertrill/filbertrill/internal/placement"
	"github.com/filbertrill/filbertrill/internal/retry"
	"github.com/filbertrill/filbertrill/internal/routing"
	"github.com/filbertrill/filbertrill/internal/scheduler"
)

const (
	service = "llm"
	// objective is the time within which the first event is in aim.
	objective = 500 * time.Millisecond
	// patience is the time after which a caller gives up.
	patience = 10 * time.Second
	// viewEvery and viewLag are the time between two views of a daemon, and their way.
	viewEvery = 50 * time.Millisecond
	viewLag   = 8 * time.Millisecond
	// fairWindow is the window of shares.
	fairWindow = 4 * time.Second
	// outputTokens is the length of each answer.
	outputTokens = 200
	// retryAnyway is when a caller comes back that was told no time.
	retryAnyway = 100 * time.Millisecond
)

// Start is the time at which plays begin.
var Start = time.Unix(1000, 0)

// Way is how requests are placed and refused.
type Policy string

// The ways.
const (
	Product       Policy = "product"
	LeastRequests Policy = "least-requests" // of the daemon's own; refuses none
	BoundedHash   Policy = "bounded-hash"   // by shared part, to the next server when 1.25 times the mean is taken; refuses none
)

// Ways lists the ways.
func Policies() []Policy { return []Policy{Product, LeastRequests, BoundedHash} }

// Tally is what the callers of one account got. Each request counts once, by its last try.
type Results struct {
	Requests, OnTime, Late, Refused, Failed int
	Tokens                                  int // of prompts that were sent to engines
}

// Add adds another tally.
func (t *Results) Add(o Results) {
	t.Requests += o.Requests
	t.OnTime += o.OnTime
	t.Late += o.Late
	t.Refused += o.Refused
	t.Failed += o.Failed
	t.Tokens += o.Tokens
}

func (t *Results) answered(after time.Duration) {
	switch {
	case after <= objective:
		t.OnTime++
	case after <= patience:
		t.Late++
	default:
		t.Failed++
	}
}

// Options are the settings of a play.
type Options struct {
	Daemons    int
	Engines    int
	EngineSpec EngineSpec // of each engine
	Policy     Policy
	Seed       uint64
	// Returns is how often a refused caller comes back, when it is told to.
	MaxRetries int
	// Lag is the delay that a daemon short of processor time adds to what it observes.
	ObservationDelay func(daemon int, now time.Time) time.Duration
}

// Play is one load on one fleet.
type Simulation struct {
	options Options
	queue   events
	seq     int
	rng     *rand.Rand
	engines map[string]*engine
	ids     []string // of the engines
	ready   []routing.Server
	pilots  []*scheduler.Scheduler
	config  *routing.Config
	own     []map[string]int

	// Outcome is what callers got, by account.
	ByAccount map[string]*Results
	// Seconds is the same by second of the play.
	BySecond []Results
	// ReadAgain is the number of shared tokens that engines read though one had kept them.
	RereadTokens int
	read         map[uint64]bool
}

// New returns a play without loads.
func New(o Options) *Simulation {
	p := &Simulation{
		options: o, rng: rand.New(rand.NewPCG(o.Seed, 2)), engines: map[string]*engine{},
		ByAccount: map[string]*Results{}, read: map[uint64]bool{},
	}
	// Building fails for malformed routes only; there are none.
	p.config, _ = routing.Build(routing.Config{
		Limits:   routing.Limits{TokensPerSecond: float64(o.Engines) * 40_000},
		Services: []routing.Service{{Name: service, EngineSlots: o.EngineSpec.Slots, MemoryTokens: 1 << 20, BytesPerToken: 1, LinkBytesPerSecond: 1000 * o.EngineSpec.FetchTokensPerMs}},
	})
	for i := range o.Engines {
		id := fmt.Sprintf("e%02d", i)
		p.ids = append(p.ids, id)
		p.ready = append(p.ready, routing.Server{ID: id, Service: service, Address: id, Zone: "z", Slots: o.EngineSpec.Slots})
		p.engines[id] = &engine{EngineSpec: o.EngineSpec, kept: map[uint64]bool{}}
	}
	for range o.Daemons {
		each := scheduler.New(scheduler.Options{
			Zone: "z", FairWindow: fairWindow, Daemons: func() int { return o.Daemons },
			RetryBudget: retry.WindowOptions{Ratio: 0.2, Slack: 50, Window: 10 * time.Second},
		})
		each.SetServers(p.ready, p.config)
		p.pilots = append(p.pilots, each)
		p.own = append(p.own, map[string]int{})
	}
	return p
}

// At lets something happen.
func (p *Simulation) At(t time.Time, do func(now time.Time)) {
	p.seq++
	heap.Push(&p.queue, event{t, p.seq, do})
}

// Run plays for the length, and on until the last request has ended.
func (p *Simulation) Run(length time.Duration) {
	for i, each := range p.pilots {
		for t := Start; t.Before(Start.Add(length + patience)); t = t.Add(viewEvery) {
			p.At(t.Add(time.Duration(i)*time.Millisecond), func(now time.Time) {
				view := each.View(now)
				p.At(now.Add(viewLag), func(now time.Time) {
					for j, other := range p.pilots {
						if j != i {
							other.SetPeer(fmt.Sprint("d", i), view, now)
						}
					}
				})
			})
		}
	}
	for p.queue.Len() > 0 {
		e := heap.Pop(&p.queue).(event)
		e.do(e.at)
	}
}

// Request is one request of a caller.
type Request struct {
	Account      string
	Prefix       uint64 // names the shared part of its prompt
	UniqueTokens int    // tokens of its own part
	Daemon       int
}

// Send sends the request, and again when it is told to come back.
func (p *Simulation) Send(r Request, now time.Time) {
	ask := scheduler.Request{
		Request: placement.Request{
			Service: service, Engine: true, Prompt: 4500 + r.UniqueTokens, Output: outputTokens,
			Parts: []placement.Part{{ID: 1, Tokens: 500}, {ID: 10 + r.Prefix, Tokens: 4000}, {ID: p.rng.Uint64(), Tokens: r.UniqueTokens}},
		},
		Account: r.Account, Objective: objective, Deadline: now.Add(patience),
	}
	p.tally(r.Account, now, func(t *Results) { t.Requests++ })
	p.try(ask, r.Daemon, now, now, p.options.MaxRetries)
}

func (p *Simulation) try(ask scheduler.Request, daemon int, asked, now time.Time, returns int) {
	decider := p.pilots[daemon]
	choice, refused, after := p.place(ask, daemon, now)
	if refused {
		if back := now.Add(max(after, retryAnyway)); returns > 0 && back.Before(ask.Deadline) {
			p.At(back, func(now time.Time) { p.try(ask, daemon, asked, now, returns-1) })
			return
		}
		p.tally(ask.Account, asked, func(t *Results) { t.Refused++ })
		return
	}
	p.tally(ask.Account, asked, func(t *Results) { t.Tokens += ask.Prompt })
	attempt := decider.Start(ask, choice, now)
	server := p.engines[choice.Server.ID]
	p.own[daemon][choice.Server.ID]++
	end := func(at time.Time, o placement.Outcome) {
		p.own[daemon][choice.Server.ID]--
		decider.End(attempt, o, at)
	}
	if server.dark {
		p.At(ask.Deadline, func(now time.Time) {
			p.tally(ask.Account, asked, func(t *Results) { t.Failed++ })
			end(now, placement.Abandoned)
		})
		return
	}
	server.enter(now, func(now time.Time) {
		if source, ok := p.engines[choice.Source.ID]; ok {
			now = server.fetch(source, ask.Request, now)
		}
		first, shared := server.read(ask.Request, now)
		if p.read[ask.Parts[1].ID] {
			p.RereadTokens += shared
		}
		p.read[ask.Parts[1].ID] = true
		if p.options.ObservationDelay != nil {
			first = first.Add(p.options.ObservationDelay(daemon, now))
		}
		p.At(first, func(at time.Time) {
			decider.RecordFirstEvent(attempt, at)
			p.tally(ask.Account, asked, func(t *Results) { t.answered(at.Sub(asked)) })
			p.At(at.Add(server.stream(outputTokens)), func(now time.Time) {
				server.leave(now)
				end(now, placement.Served)
			})
		})
	})
}

// place decides by the way of the play.
func (p *Simulation) place(ask scheduler.Request, daemon int, now time.Time) (choice placement.Choice, refused bool, after time.Duration) {
	switch p.options.Policy {
	case LeastRequests:
		choice.Server.ID = p.least(daemon)
	case BoundedHash:
		choice.Server.ID = p.bounded(ask, daemon)
	case Product:
		d := p.pilots[daemon].Decide(ask, now)
		return d.Choice, !d.Found || d.Verdict.Reason != admission.Admitted, d.Verdict.RetryAfter
	}
	return choice, false, 0
}

// least returns the ready server with the least requests of the daemon under way.
func (p *Simulation) least(daemon int) string {
	best := ""
	for _, s := range p.ready {
		if best == "" || p.own[daemon][s.ID] < p.own[daemon][best] {
			best = s.ID
		}
	}
	return best
}

// bounded returns the first server, in an order of the shared part's own, with less than 1.25
// times the mean of requests (Mirrokni, Thorup, Zadimoghaddam 2018).
func (p *Simulation) bounded(ask scheduler.Request, daemon int) string {
	total := 1
	for _, s := range p.ready {
		total += p.own[daemon][s.ID]
	}
	limit := 1.25 * float64(total) / float64(len(p.ready))
	start := int(xxhash.Sum64String(fmt.Sprint(ask.Parts[1].ID)) % uint64(len(p.ready)))
	for i := range p.ready {
		id := p.ready[(start+i)%len(p.ready)].ID
		if float64(p.own[daemon][id])+1 <= limit+1 {
			return id
		}
	}
	return p.ready[start].ID
}

func (p *Simulation) tally(account string, asked time.Time, change func(*Results)) {
	t, ok := p.ByAccount[account]
	if !ok {
		t = &Results{}
		p.ByAccount[account] = t
	}
	change(t)
	second := int(asked.Sub(Start) / time.Second)
	for len(p.BySecond) <= second {
		p.BySecond = append(p.BySecond, Results{})
	}
	change(&p.BySecond[second])
}

// Total returns what all callers got.
func (p *Simulation) Total() Results {
	var total Results
	for _, t := range p.ByAccount {
		total.Add(*t)
	}
	return total
}

// Pilots returns the deciders of the daemons.
func (p *Simulation) Schedulers() []*scheduler.Scheduler { return p.pilots }

// event is a step of the play.
type event struct {
	at  time.Time
	seq int
	do  func(now time.Time)
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || (e[i].at.Equal(e[j].at) && e[i].seq < e[j].seq)
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any     { old := *e; x := old[len(old)-1]; *e = old[:len(old)-1]; return x }
