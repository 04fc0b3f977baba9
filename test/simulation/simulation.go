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
	callerTimeout = 10 * time.Second
	// viewEvery and viewLag are the time between two views of a daemon, and their way.
	viewInterval = 50 * time.Millisecond
	viewDelay    = 8 * time.Millisecond
	// fairWindow is the window of shares.
	fairWindow = 4 * time.Second
	// outputTokens is the length of each answer.
	outputTokens = 200
	// retryAnyway is when a caller comes back that was told no time.
	defaultRetryDelay = 100 * time.Millisecond
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
func (r *Results) Add(other Results) {
	r.Requests += other.Requests
	r.OnTime += other.OnTime
	r.Late += other.Late
	r.Refused += other.Refused
	r.Failed += other.Failed
	r.Tokens += other.Tokens
}

func (r *Results) recordLatency(latency time.Duration) {
	switch {
	case latency <= objective:
		r.OnTime++
	case latency <= callerTimeout:
		r.Late++
	default:
		r.Failed++
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
	options      Options
	queue        events
	seq          int
	rng          *rand.Rand
	engines      map[string]*engine
	engineIDs    []string // of the engines
	readyServers []routing.Server
	schedulers   []*scheduler.Scheduler
	config       *routing.Config
	inFlight     []map[string]int

	// Outcome is what callers got, by account.
	ByAccount map[string]*Results
	// Seconds is the same by second of the play.
	BySecond []Results
	// ReadAgain is the number of shared tokens that engines read though one had kept them.
	RereadTokens int
	prefilled    map[uint64]bool
}

// New returns a play without loads.
func New(o Options) *Simulation {
	s := &Simulation{
		options: o, rng: rand.New(rand.NewPCG(o.Seed, 2)), engines: map[string]*engine{},
		ByAccount: map[string]*Results{}, prefilled: map[uint64]bool{},
	}
	// Building fails for malformed routes only; there are none.
	s.config, _ = routing.Build(routing.Config{
		Limits:   routing.Limits{TokensPerSecond: float64(o.Engines) * 40_000},
		Services: []routing.Service{{Name: service, EngineSlots: o.EngineSpec.Slots, MemoryTokens: 1 << 20, BytesPerToken: 1, LinkBytesPerSecond: 1000 * o.EngineSpec.FetchTokensPerMs}},
	})
	for i := range o.Engines {
		id := fmt.Sprintf("e%02d", i)
		s.engineIDs = append(s.engineIDs, id)
		s.readyServers = append(s.readyServers, routing.Server{ID: id, Service: service, Address: id, Zone: "z", Slots: o.EngineSpec.Slots})
		s.engines[id] = &engine{EngineSpec: o.EngineSpec, cached: map[uint64]bool{}}
	}
	for range o.Daemons {
		sched := scheduler.New(scheduler.Options{
			Zone: "z", FairWindow: fairWindow, Daemons: func() int { return o.Daemons },
			RetryBudget: retry.WindowOptions{Ratio: 0.2, Slack: 50, Window: 10 * time.Second},
		})
		sched.SetServers(s.readyServers, s.config)
		s.schedulers = append(s.schedulers, sched)
		s.inFlight = append(s.inFlight, map[string]int{})
	}
	return s
}

// At lets something happen.
func (s *Simulation) At(t time.Time, run func(now time.Time)) {
	s.seq++
	heap.Push(&s.queue, event{t, s.seq, run})
}

// Run plays for the length, and on until the last request has ended.
func (s *Simulation) Run(length time.Duration) {
	for i, sched := range s.schedulers {
		for t := Start; t.Before(Start.Add(length + callerTimeout)); t = t.Add(viewInterval) {
			s.At(t.Add(time.Duration(i)*time.Millisecond), func(now time.Time) {
				view := sched.View(now)
				s.At(now.Add(viewDelay), func(now time.Time) {
					for j, other := range s.schedulers {
						if j != i {
							other.SetPeer(fmt.Sprint("d", i), view, now)
						}
					}
				})
			})
		}
	}
	for s.queue.Len() > 0 {
		e := heap.Pop(&s.queue).(event)
		e.run(e.at)
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
func (s *Simulation) Send(r Request, now time.Time) {
	request := scheduler.Request{
		Request: placement.Request{
			Service: service, Engine: true, Prompt: 4500 + r.UniqueTokens, Output: outputTokens,
			Parts: []placement.Part{{ID: 1, Tokens: 500}, {ID: 10 + r.Prefix, Tokens: 4000}, {ID: s.rng.Uint64(), Tokens: r.UniqueTokens}},
		},
		Account: r.Account, Objective: objective, Deadline: now.Add(callerTimeout),
	}
	s.record(r.Account, now, func(results *Results) { results.Requests++ })
	s.attempt(request, r.Daemon, now, now, s.options.MaxRetries)
}

func (s *Simulation) attempt(request scheduler.Request, daemon int, sentAt, now time.Time, retriesLeft int) {
	sched := s.schedulers[daemon]
	choice, refused, retryAfter := s.choose(request, daemon, now)
	if refused {
		if retryAt := now.Add(max(retryAfter, defaultRetryDelay)); retriesLeft > 0 && retryAt.Before(request.Deadline) {
			s.At(retryAt, func(now time.Time) { s.attempt(request, daemon, sentAt, now, retriesLeft-1) })
			return
		}
		s.record(request.Account, sentAt, func(results *Results) { results.Refused++ })
		return
	}
	s.record(request.Account, sentAt, func(results *Results) { results.Tokens += request.Prompt })
	attempt := sched.Start(request, choice, now)
	server := s.engines[choice.Server.ID]
	s.inFlight[daemon][choice.Server.ID]++
	end := func(at time.Time, outcome placement.Outcome) {
		s.inFlight[daemon][choice.Server.ID]--
		sched.End(attempt, outcome, at)
	}
	if server.unresponsive {
		s.At(request.Deadline, func(now time.Time) {
			s.record(request.Account, sentAt, func(results *Results) { results.Failed++ })
			end(now, placement.Abandoned)
		})
		return
	}
	server.acquireSlot(now, func(now time.Time) {
		if source, ok := s.engines[choice.Source.ID]; ok {
			now = server.fetchParts(source, request.Request, now)
		}
		firstEvent, sharedTokens := server.prefill(request.Request, now)
		if s.prefilled[request.Parts[1].ID] {
			s.RereadTokens += sharedTokens
		}
		s.prefilled[request.Parts[1].ID] = true
		if s.options.ObservationDelay != nil {
			firstEvent = firstEvent.Add(s.options.ObservationDelay(daemon, now))
		}
		s.At(firstEvent, func(at time.Time) {
			sched.RecordFirstEvent(attempt, at)
			s.record(request.Account, sentAt, func(results *Results) { results.recordLatency(at.Sub(sentAt)) })
			s.At(at.Add(server.streamTime(outputTokens)), func(now time.Time) {
				server.releaseSlot(now)
				end(now, placement.Served)
			})
		})
	})
}

// place decides by the way of the play.
func (s *Simulation) choose(request scheduler.Request, daemon int, now time.Time) (choice placement.Choice, refused bool, retryAfter time.Duration) {
	switch s.options.Policy {
	case LeastRequests:
		choice.Server.ID = s.leastRequests(daemon)
	case BoundedHash:
		choice.Server.ID = s.boundedHash(request, daemon)
	case Product:
		d := s.schedulers[daemon].Decide(request, now)
		return d.Choice, !d.Found || d.Verdict.Reason != admission.Admitted, d.Verdict.RetryAfter
	}
	return choice, false, 0
}

// least returns the ready server with the least requests of the daemon under way.
func (s *Simulation) leastRequests(daemon int) string {
	best := ""
	for _, server := range s.readyServers {
		if best == "" || s.inFlight[daemon][server.ID] < s.inFlight[daemon][best] {
			best = server.ID
		}
	}
	return best
}

// bounded returns the first server, in an order of the shared part's own, with less than 1.25
// times the mean of requests (Mirrokni, Thorup, Zadimoghaddam 2018).
func (s *Simulation) boundedHash(request scheduler.Request, daemon int) string {
	total := 1
	for _, server := range s.readyServers {
		total += s.inFlight[daemon][server.ID]
	}
	limit := 1.25 * float64(total) / float64(len(s.readyServers))
	start := int(xxhash.Sum64String(fmt.Sprint(request.Parts[1].ID)) % uint64(len(s.readyServers)))
	for i := range s.readyServers {
		id := s.readyServers[(start+i)%len(s.readyServers)].ID
		if float64(s.inFlight[daemon][id])+1 <= limit+1 {
			return id
		}
	}
	return s.readyServers[start].ID
}

func (s *Simulation) record(account string, sentAt time.Time, update func(*Results)) {
	results, ok := s.ByAccount[account]
	if !ok {
		results = &Results{}
		s.ByAccount[account] = results
	}
	update(results)
	second := int(sentAt.Sub(Start) / time.Second)
	for len(s.BySecond) <= second {
		s.BySecond = append(s.BySecond, Results{})
	}
	update(&s.BySecond[second])
}

// Total returns what all callers got.
func (s *Simulation) Total() Results {
	var total Results
	for _, results := range s.ByAccount {
		total.Add(*results)
	}
	return total
}

// Pilots returns the deciders of the daemons.
func (s *Simulation) Schedulers() []*scheduler.Scheduler { return s.schedulers }

// event is a step of the play.
type event struct {
	at  time.Time
	seq int
	run func(now time.Time)
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || (e[i].at.Equal(e[j].at) && e[i].seq < e[j].seq)
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any     { old := *e; x := old[len(old)-1]; *e = old[:len(old)-1]; return x }
