// Package pilot joins the decisions on a request: who is refused, which backend server it goes
// to, and whether it may be repeated. It has no clock and no socket, so that loads can be
// played on it in virtual time (test/plays).
package scheduler

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/filbertrill/filbertrill/internal/admission"
	"github.com/filbertrill/filbertrill/internal/placement"
	"github.com/filbertrill/filbertrill/internal/retry"
	"github.com/filbertrill/filbertrill/internal/routing"
)

// generatedWeight is the cost of a generated token in prompt tokens, as the capacity of
// engines counts both.
const generatedTokenWeight = 2

// idleDelay is the share of the objective that the load of an idle server adds at most to a
// prediction. The share of places that are taken says little: engines with 128 places are far
// from idle when a fifth is taken.
const maxIdleDelayShare = 0.006

// Pilot joins the decisions on requests: admission, placement and retry budgets. Its
// methods are safe for concurrent use.
type Scheduler struct {
	mu           sync.Mutex
	balancer     *placement.Board
	shares       *admission.Shares
	retryBudgets map[string]*retry.Window
	options      Options
}

// Ask is what a decision needs of a request.
type Request struct {
	placement.Request
	Account   string
	Objective time.Duration // for the first event
	Deadline  time.Time     // the end of the caller's patience
}

// Decision is the decision on the first attempt of a request.
type Decision struct {
	Choice  placement.Choice
	Found   bool // false when no backend server is ready
	Verdict admission.Verdict
	Input   admission.Question // what the verdict depended on
}

// Options are the settings of a Pilot.
type Options struct {
	Zone        string
	FairWindow  time.Duration
	RetryBudget retry.WindowOptions
	Daemons     func() int // of the fleet, those cut off included
}

// New returns a pilot that knows no servers.
func New(options Options) *Scheduler {
	return &Scheduler{
		balancer:     placement.NewBoard(options.Zone),
		shares:       admission.NewShares(options.FairWindow),
		retryBudgets: make(map[string]*retry.Window),
		options:      options,
	}
}

// AccountHash names an account in the messages between daemons.
func AccountHash(name string) uint64 { return xxhash.Sum64String(name) }

// SetServers takes the backend servers and the configuration that says what they can do.
func (s *Scheduler) SetServers(servers []routing.Server, config *routing.Config) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.balancer.SetServers(servers)
	if config == nil {
		return
	}
	s.shares.SetCapacity(config.Limits.TokensPerSecond)
	for i := range config.Services {
		service := &config.Services[i]
		ready := 0
		for _, server := range servers {
			if server.Service == service.Name && server.State == routing.Ready {
				ready++
			}
		}
		if service.EngineSlots > 0 && ready > 0 {
			s.balancer.SetCapacity(service.Name, config.Limits.TokensPerSecond/float64(ready), service.MemoryTokens)
			s.balancer.SetFetchRate(service.Name, service.FetchRate())
		}
	}
}

// View is what one daemon tells the others of the work that it has under way.
type View struct {
	Loads      map[uint64]placement.Load // by server
	Usage      map[uint64]admission.Use  // by account
	Placements []placement.Placement
	Models     map[uint64]placement.Model // by service
}

// SetPeer takes the view of a peer.
func (s *Scheduler) SetPeer(id string, view View, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.balancer.SetPeerLoad(id, view.Loads, now)
	s.balancer.SetPeerPlacements(view.Placements, now)
	s.balancer.SetPeerModels(id, view.Models, now)
	s.shares.SetPeer(id, view.Usage, now)
}

// View returns what this daemon has under way.
func (s *Scheduler) View(now time.Time) View {
	s.mu.Lock()
	defer s.mu.Unlock()
	return View{
		Loads:      s.balancer.OwnLoad(),
		Usage:      s.shares.Own(now),
		Placements: slices.Clone(s.balancer.Placements(now)),
		Models:     s.balancer.Models(),
	}
}

// Kept returns which engines are taken to keep which parts of prompts.
func (s *Scheduler) CachedParts(now time.Time) map[uint64][]placement.KeptPart {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.balancer.Kept(now)
}

// Learn takes the parts of prompts that an engine keeps.
func (s *Scheduler) AddCachedParts(server uint64, parts []placement.KeptPart, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.balancer.Learn(server, parts, now)
}

// SetDelayed tells whether this daemon gets too little processor time to judge the servers by
// the time that their answers take.
func (s *Scheduler) SetOverloaded(overloaded bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.balancer.SetDelayed(overloaded)
}

// Tokens returns what a request counts for in the shares of accounts.
func RequestCost(promptTokens, outputTokens int) float64 {
	return float64(promptTokens + generatedTokenWeight*outputTokens)
}

// Ask records what a request of the account asked for that was refused without a decision.
func (s *Scheduler) RecordDemand(account string, cost float64, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.shares.Ask(AccountHash(account), cost, now)
}

// Decide decides on the first attempt of a request.
func (s *Scheduler) Decide(r Request, now time.Time) Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retryBudget(r.Service).RecordRequest(now)
	cost := RequestCost(r.Prompt, r.Output)
	account := AccountHash(r.Account)
	if r.Engine {
		s.shares.Ask(account, cost, now)
	}
	choice, ok := s.balancer.Choose(r.Request, nil, now)
	if !ok {
		return Decision{}
	}
	d := s.checkAdmission(r, account, choice, now)
	if d.Verdict.Reason != admission.Admitted {
		// The server that keeps the prompt is busy. An idle one may read it again; on busy ones
		// that would displace other requests.
		fastest, found := s.balancer.Quickest(r.Request, now)
		if found && (fastest.Predicted-fastest.Idle).Seconds() < maxIdleDelayShare*r.Objective.Seconds() {
			d = s.checkAdmission(r, account, fastest, now)
		}
	}
	if d.Verdict.Reason == admission.Admitted && r.Engine {
		s.shares.Admit(account, cost, now)
	}
	return d
}

// decide asks the admission policy for the request at the server. The caller holds the lock.
func (s *Scheduler) checkAdmission(r Request, account uint64, choice placement.Choice, now time.Time) Decision {
	input := admission.Question{
		Predicted: choice.Predicted,
		Own:       choice.Own,
		Idle:      choice.Idle,
		Objective: r.Objective,
		Taken:     slotUtilization(choice),
		Left:      r.Deadline.Sub(now),
		Use:       s.shares.Use(account, now),
		Levels:    s.shares.Levels(now),
		Window:    s.options.FairWindow,
		Jitter:    rand.Float64(),
	}
	return Decision{Choice: choice, Found: true, Verdict: admission.Decide(input), Input: input}
}

// taken returns the share of the server's places that are taken.
func slotUtilization(c placement.Choice) float64 {
	return float64(c.Load.Running) / float64(max(1, c.Server.Slots))
}

// Next decides on a further attempt. It reports whether there is a server, and whether the
// budget allows the repeat. A free attempt follows one that no server received.
func (s *Scheduler) DecideRetry(r Request, tried map[string]bool, free bool, now time.Time) (choice placement.Choice, ok, allowed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	choice, ok = s.balancer.Choose(r.Request, tried, now)
	if !ok {
		return choice, false, false
	}
	return choice, true, free || s.retryBudget(r.Service).Take(now, s.options.Daemons())
}

// Daemons returns the number of daemons of the fleet, those cut off included.
func (s *Scheduler) Daemons() int { return s.options.Daemons() }

// Start records that the request is sent to the server of the choice.
func (s *Scheduler) Start(r Request, choice placement.Choice, now time.Time) *placement.Attempt {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.balancer.Start(r.Request, choice, now)
}

// Begin records the first event, or the answer of a plain service.
func (s *Scheduler) RecordFirstEvent(a *placement.Attempt, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.balancer.Begin(a, now)
}

// End records the end of an attempt.
func (s *Scheduler) End(a *placement.Attempt, o placement.Outcome, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.balancer.End(a, o, now)
}

// budget returns the retry budget of the service. The caller holds the lock.
func (s *Scheduler) retryBudget(service string) *retry.Window {
	budget, ok := s.retryBudgets[service]
	if !ok {
		budget = retry.NewWindow(s.options.RetryBudget)
		s.retryBudgets[service] = budget
	}
	return budget
}
