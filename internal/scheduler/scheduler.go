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
const generatedWeight = 2

// idleDelay is the share of the objective that the load of an idle server adds at most to a
// prediction. The share of places that are taken says little: engines with 128 places are far
// from idle when a fifth is taken.
const idleDelay = 0.006

// Pilot joins the decisions on requests: admission, placement and retry budgets. Its
// methods are safe for concurrent use.
type Scheduler struct {
	mu      sync.Mutex
	board   *placement.Board
	shares  *admission.Shares
	budgets map[string]*retry.Window
	options Options
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
func New(o Options) *Scheduler {
	return &Scheduler{
		board:   placement.NewBoard(o.Zone),
		shares:  admission.NewShares(o.FairWindow),
		budgets: make(map[string]*retry.Window),
		options: o,
	}
}

// AccountHash names an account in the messages between daemons.
func AccountHash(name string) uint64 { return xxhash.Sum64String(name) }

// SetServers takes the backend servers and the configuration that says what they can do.
func (p *Scheduler) SetServers(servers []routing.Server, c *routing.Config) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.board.SetServers(servers)
	if c == nil {
		return
	}
	p.shares.SetCapacity(c.Limits.TokensPerSecond)
	for i := range c.Services {
		s := &c.Services[i]
		ready := 0
		for _, server := range servers {
			if server.Service == s.Name && server.State == routing.Ready {
				ready++
			}
		}
		if s.EngineSlots > 0 && ready > 0 {
			p.board.SetCapacity(s.Name, c.Limits.TokensPerSecond/float64(ready), s.MemoryTokens)
			p.board.SetFetchRate(s.Name, s.FetchRate())
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
func (p *Scheduler) SetPeer(id string, v View, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.board.SetPeerLoad(id, v.Loads, now)
	p.board.SetPeerPlacements(v.Placements, now)
	p.board.SetPeerModels(id, v.Models, now)
	p.shares.SetPeer(id, v.Usage, now)
}

// View returns what this daemon has under way.
func (p *Scheduler) View(now time.Time) View {
	p.mu.Lock()
	defer p.mu.Unlock()
	return View{
		Loads:      p.board.OwnLoad(),
		Usage:      p.shares.Own(now),
		Placements: slices.Clone(p.board.Placements(now)),
		Models:     p.board.Models(),
	}
}

// Kept returns which engines are taken to keep which parts of prompts.
func (p *Scheduler) CachedParts(now time.Time) map[uint64][]placement.KeptPart {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.board.Kept(now)
}

// Learn takes the parts of prompts that an engine keeps.
func (p *Scheduler) AddCachedParts(server uint64, parts []placement.KeptPart, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.board.Learn(server, parts, now)
}

// SetDelayed tells whether this daemon gets too little processor time to judge the servers by
// the time that their answers take.
func (p *Scheduler) SetOverloaded(delayed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.board.SetDelayed(delayed)
}

// Tokens returns what a request counts for in the shares of accounts.
func RequestCost(prompt, output int) float64 { return float64(prompt + generatedWeight*output) }

// Ask records what a request of the account asked for that was refused without a decision.
func (p *Scheduler) RecordDemand(account string, tokens float64, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.shares.Ask(AccountHash(account), tokens, now)
}

// Decide decides on the first attempt of a request.
func (p *Scheduler) Decide(a Request, now time.Time) Decision {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.budget(a.Service).RecordRequest(now)
	tokens := RequestCost(a.Prompt, a.Output)
	account := AccountHash(a.Account)
	if a.Engine {
		p.shares.Ask(account, tokens, now)
	}
	choice, ok := p.board.Choose(a.Request, nil, now)
	if !ok {
		return Decision{}
	}
	d := p.decide(a, account, choice, now)
	if d.Verdict.Reason != admission.Admitted {
		// The server that keeps the prompt is busy. An idle one may read it again; on busy ones
		// that would displace other requests.
		other, found := p.board.Quickest(a.Request, now)
		if found && (other.Predicted-other.Idle).Seconds() < idleDelay*a.Objective.Seconds() {
			d = p.decide(a, account, other, now)
		}
	}
	if d.Verdict.Reason == admission.Admitted && a.Engine {
		p.shares.Admit(account, tokens, now)
	}
	return d
}

// decide asks the admission policy for the request at the server. The caller holds the lock.
func (p *Scheduler) decide(a Request, account uint64, choice placement.Choice, now time.Time) Decision {
	q := admission.Question{
		Predicted: choice.Predicted,
		Own:       choice.Own,
		Idle:      choice.Idle,
		Objective: a.Objective,
		Taken:     taken(choice),
		Left:      a.Deadline.Sub(now),
		Use:       p.shares.Use(account, now),
		Levels:    p.shares.Levels(now),
		Window:    p.options.FairWindow,
		Jitter:    rand.Float64(),
	}
	return Decision{Choice: choice, Found: true, Verdict: admission.Decide(q), Input: q}
}

// taken returns the share of the server's places that are taken.
func taken(c placement.Choice) float64 {
	return float64(c.Load.Running) / float64(max(1, c.Server.Slots))
}

// Next decides on a further attempt. It reports whether there is a server, and whether the
// budget allows the repeat. A free attempt follows one that no server received.
func (p *Scheduler) DecideRetry(a Request, tried map[string]bool, free bool, now time.Time) (choice placement.Choice, ok, allowed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	choice, ok = p.board.Choose(a.Request, tried, now)
	if !ok {
		return choice, false, false
	}
	return choice, true, free || p.budget(a.Service).Take(now, p.options.Daemons())
}

// Daemons returns the number of daemons of the fleet, those cut off included.
func (p *Scheduler) Daemons() int { return p.options.Daemons() }

// Start records that the request is sent to the server of the choice.
func (p *Scheduler) Start(a Request, choice placement.Choice, now time.Time) *placement.Attempt {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.board.Start(a.Request, choice, now)
}

// Begin records the first event, or the answer of a plain service.
func (p *Scheduler) RecordFirstEvent(a *placement.Attempt, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.board.Begin(a, now)
}

// End records the end of an attempt.
func (p *Scheduler) End(a *placement.Attempt, o placement.Outcome, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.board.End(a, o, now)
}

// budget returns the retry budget of the service. The caller holds the lock.
func (p *Scheduler) budget(service string) *retry.Window {
	w, ok := p.budgets[service]
	if !ok {
		w = retry.NewWindow(p.options.RetryBudget)
		p.budgets[service] = w
	}
	return w
}
