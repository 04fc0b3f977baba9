package forward

import (
	"math/rand/v2"
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
type Pilot struct {
	mu      sync.Mutex
	board   *placement.Board
	shares  *admission.Shares
	budgets map[string]*retry.Window
	options PilotOptions
}

// PilotOptions are the settings of a Pilot.
type PilotOptions struct {
	Zone        string
	FairWindow  time.Duration
	RetryBudget retry.WindowOptions
	Daemons     func() int // of the fleet, those cut off included
}

// NewPilot returns a pilot that knows no servers.
func NewPilot(o PilotOptions) *Pilot {
	return &Pilot{
		board:   placement.NewBoard(o.Zone),
		shares:  admission.NewShares(o.FairWindow),
		budgets: make(map[string]*retry.Window),
		options: o,
	}
}

// AccountHash names an account in the messages between daemons.
func AccountHash(name string) uint64 { return xxhash.Sum64String(name) }

// SetServers takes the backend servers and the configuration that says what they can do.
func (p *Pilot) SetServers(servers []routing.Server, c *routing.Config) {
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
		}
	}
}

// View is what one daemon tells the others of the work that it has under way.
type View struct {
	Loads      map[uint64]placement.Load // by server
	Uses       map[uint64]admission.Use  // by account
	Placements []placement.Placement
}

// SetPeer takes the view of a peer.
func (p *Pilot) SetPeer(id string, v View, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.board.SetPeerLoad(id, v.Loads, now)
	p.board.SetPeerPlacements(v.Placements, now)
	p.shares.SetPeer(id, v.Uses, now)
}

// View returns what this daemon has under way.
func (p *Pilot) View(now time.Time) View {
	p.mu.Lock()
	defer p.mu.Unlock()
	return View{p.board.OwnLoad(), p.shares.Own(now), append([]placement.Placement(nil), p.board.Placements(now)...)}
}

// first decides on the first attempt of a request.
func (p *Pilot) first(c *call, now time.Time) (placement.Choice, bool, admission.Verdict) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.budget(c.service.Name).Request(now)
	request := placementRequest(c)
	tokens := float64(request.Prompt + generatedWeight*request.Output)
	account := AccountHash(c.account)
	if request.Engine {
		p.shares.Ask(account, tokens, now)
	}
	choice, ok := p.board.Choose(request, nil, now)
	if !ok {
		return choice, false, admission.Verdict{}
	}
	verdict := p.decide(c, account, choice, now)
	if verdict.Reason != admission.Admitted {
		// The server that keeps the prompt is busy. An idle one may read it again; on busy ones
		// that would displace other requests.
		other, found := p.board.Quickest(request, now)
		if found && (other.Predicted-other.Idle).Seconds() < idleDelay*c.route.Objective.Seconds() {
			choice, verdict = other, p.decide(c, account, other, now)
		}
	}
	if verdict.Reason == admission.Admitted && request.Engine {
		p.shares.Admit(account, tokens, now)
	}
	return choice, true, verdict
}

// decide asks the admission policy for the request at the server, and keeps what it depended
// on for the log. The caller holds the lock.
func (p *Pilot) decide(c *call, account uint64, choice placement.Choice, now time.Time) admission.Verdict {
	c.question = admission.Question{
		Predicted: choice.Predicted,
		Own:       choice.Own,
		Idle:      choice.Idle,
		Objective: c.route.Objective,
		Taken:     taken(choice),
		Left:      c.limit.Sub(now),
		Use:       p.shares.Use(account, now),
		Levels:    p.shares.Levels(now),
		Window:    p.options.FairWindow,
		Jitter:    rand.Float64(),
	}
	return admission.Decide(c.question)
}

// taken returns the share of the server's places that are taken.
func taken(c placement.Choice) float64 {
	return float64(c.Load.Running) / float64(max(1, c.Server.Slots))
}

// next decides on a further attempt. It reports whether there is a server, and whether
// the budget allows the repeat. A free attempt follows one that no server received.
func (p *Pilot) next(c *call, tried map[string]bool, free bool, now time.Time) (choice placement.Choice, ok, allowed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	choice, ok = p.board.Choose(placementRequest(c), tried, now)
	if !ok {
		return choice, false, false
	}
	return choice, true, free || p.budget(c.service.Name).Take(now, p.options.Daemons())
}

func (p *Pilot) start(c *call, choice placement.Choice, now time.Time) *placement.Attempt {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.board.Start(placementRequest(c), choice, now)
}

func (p *Pilot) begin(a *placement.Attempt, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.board.Begin(a, now)
}

func (p *Pilot) end(a *placement.Attempt, o placement.Outcome, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.board.End(a, o, now)
}

// budget returns the retry budget of the service. The caller holds the lock.
func (p *Pilot) budget(service string) *retry.Window {
	w, ok := p.budgets[service]
	if !ok {
		w = retry.NewWindow(p.options.RetryBudget)
		p.budgets[service] = w
	}
	return w
}

func placementRequest(c *call) placement.Request {
	return placement.Request{
		Service: c.service.Name,
		Engine:  c.route.Engine,
		Parts:   c.envelope.Parts,
		Prompt:  c.envelope.Prompt,
		Output:  c.envelope.Output,
	}
}
