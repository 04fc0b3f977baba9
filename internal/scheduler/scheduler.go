// Package scheduler combines the decisions on a request: whether it is admitted, which backend
// server it is sent to, and whether it may be retried. It uses neither clocks nor sockets, so
// that simulations can run it in virtual time (test/simulation).
package scheduler

import (
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/filbertrill/filbertrill/internal/admission"
	"github.com/filbertrill/filbertrill/internal/notice"
	"github.com/filbertrill/filbertrill/internal/placement"
	"github.com/filbertrill/filbertrill/internal/quarantine"
	"github.com/filbertrill/filbertrill/internal/retry"
	"github.com/filbertrill/filbertrill/internal/routing"
	"github.com/filbertrill/filbertrill/internal/serverlimit"
)

// generatedTokenWeight is the cost of a generated token in prompt tokens. The capacity of engines,
// routing.Limits.TokensPerSecond, counts generated tokens with the same weight.
const generatedTokenWeight = 2

// maxIdleDelayShare bounds the delay that load adds to the prediction for a server that counts as
// idle, as a share of the objective. Slot occupancy is a poor measure of this: an engine with 128
// slots is far from idle when a fifth of them are in use.
const maxIdleDelayShare = 0.006

// maxQuietDelayShare bounds the delay that load adds to the prediction for a server that is not busy, as a
// share of the objective.
const maxQuietDelayShare = 0.12

// Scheduler decides on admission, placement and retries of requests. Its methods are safe for
// concurrent use.
type Scheduler struct {
	mu           sync.Mutex
	balancer     *placement.Balancer
	shares       *admission.Shares
	retryBudgets map[string]*retry.Window
	quarantine   *quarantine.Registry
	limiter      *serverlimit.Limiter
	notices      *notice.Registry
	options      Options
}

// Request holds the properties of a request that decisions depend on.
type Request struct {
	placement.Request
	Account   string
	Rank      int           // 0 for the most urgent requests, see routing.Config.Rank
	Objective time.Duration // for the first event
	Deadline  time.Time     // by which the caller wants its answer
	// Digest returns the identity of the request, see quarantine.RequestDigest. It is nil before the body was read.
	Digest func() uint64
}

// Decision is the decision on the first attempt of a request.
type Decision struct {
	Choice  placement.Choice
	Found   bool // false when no backend server is ready, or none may receive another request
	Limited bool // if none was found: some are ready, but have reached their limits
	// PauseEnd is the time until the first server ends the pause that it has asked for, if none was found because all do.
	PauseEnd time.Duration
	Verdict  admission.Verdict
	Input    admission.Input // of the verdict
	Cost     float64         // of the request, see RequestCost
	// Trial tells that the request is sent although it is held for a prompt part, to find out whether that still ends
	// servers.
	Trial bool
	// Quarantined is the prompt part for which the request must not be sent. It is nil for none, and nothing else is
	// set otherwise.
	Quarantined *quarantine.Status
}

// Options are the settings of a Scheduler.
type Options struct {
	ID          string // of this daemon
	Zone        string
	FairWindow  time.Duration
	RetryBudget retry.WindowOptions
	Daemons     func() int // returns the known size of the fleet, unreachable daemons included
	// Shares returns the number of daemons among which limits on the whole fleet are divided, see exchange.Exchange.Shares. If
	// it is nil, Daemons is called.
	Shares func() int
	// ListAsOf returns the time as of which the list of servers was last known to be complete. If it is nil, the list is always.
	ListAsOf func(now time.Time) time.Time
	// RegistrationLag is the time within which the list tells that a process has ended, see placement.Balancer.SetRegistrationLag.
	RegistrationLag time.Duration
	// MayTry reports whether this daemon is one of those that make the trials of a suspect, see quarantine.New. If it is
	// nil, it is.
	MayTry func(suspect uint64, triers int) bool
	// Random returns a number in [0, 1), by which admission draws requests. It is called by one goroutine at a time. If it is nil,
	// rand.Float64 is used.
	Random func() float64
}

// New returns a scheduler without servers.
func New(options Options) *Scheduler {
	if options.MayTry == nil {
		options.MayTry = func(uint64, int) bool { return true }
	}
	if options.Shares == nil {
		options.Shares = options.Daemons
	}
	if options.Random == nil {
		options.Random = rand.Float64
	}
	if options.ListAsOf == nil {
		options.ListAsOf = func(now time.Time) time.Time { return now }
	}
	s := &Scheduler{
		balancer:     placement.NewBalancer(options.Zone),
		shares:       admission.NewShares(options.FairWindow),
		retryBudgets: make(map[string]*retry.Window),
		quarantine:   quarantine.New(options.MayTry),
		limiter:      serverlimit.New(serverlimit.Options{ID: options.ID, Zone: options.Zone, Daemons: options.Shares}),
		notices:      notice.NewRegistry(),
		options:      options,
	}
	s.balancer.SetRegistrationLag(options.RegistrationLag)
	s.balancer.SetAvailable(s.available)
	return s
}

// AccountHash returns the identifier of an account in messages between daemons.
func AccountHash(name string) uint64 { return xxhash.Sum64String(name) }

// SetServers replaces the backend servers and sets their capacity from the configuration. A
// nil configuration leaves capacities unchanged.
func (s *Scheduler) SetServers(servers []routing.Server, config *routing.Config) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.balancer.SetServers(servers)
	limited := make([]serverlimit.Server, 0, len(servers))
	listed := make([]notice.Server, 0, len(servers))
	for _, server := range servers {
		limited = append(limited, serverlimit.Server{
			ID: placement.ServerIdentity(server), Service: placement.Hash(server.Service), ColdUntil: server.ColdUntil, ColdRate: server.ColdRate,
		})
		listed = append(listed, notice.Server{Identity: placement.ServerIdentity(server), HasIncarnation: server.Incarnation != 0})
	}
	s.limiter.SetServers(limited)
	s.notices.SetServers(listed)
	if config == nil {
		return
	}
	s.shares.SetCapacity(config.Limits.TokensPerSecond)
	for i := range config.Services {
		service := &config.Services[i]
		ready := 0
		for _, server := range servers {
			if server.Service == service.Name && server.Usable() {
				ready++
			}
		}
		if service.EngineSlots > 0 && ready > 0 {
			s.balancer.SetCapacity(service.Name, config.Limits.TokensPerSecond/float64(ready), service.MemoryTokens)
			s.balancer.SetFetchRate(service.Name, service.FetchRate())
		}
	}
}

// View is what a daemon reports to its peers about its requests in flight and the state that it
// has derived from them.
type View struct {
	Loads        map[uint64]placement.Load  // by hash of the server's ID
	Usage        map[uint64]admission.Usage // by AccountHash
	Placements   []placement.Placement
	TimingModels map[uint64]placement.TimingModel // by hash of the service's name
	Quarantine   []quarantine.Report
	Limits       serverlimit.Report
	Refusals     []placement.Refusal
	Age          time.Duration // of the oldest state in the view when it was sent, 0 for that of a single daemon
}

// SetPeer replaces the view of a peer.
func (s *Scheduler) SetPeer(id string, view View, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.balancer.SetPeerLoad(id, view.Loads, now)
	s.balancer.AddPeerPlacements(view.Placements, now)
	s.balancer.SetPeerTimingModels(id, view.TimingModels, now)
	s.shares.SetPeerUsage(id, view.Usage, now.Add(-view.Age), now)
	s.quarantine.Merge(view.Quarantine, now)
	s.limiter.SetPeer(id, view.Limits, now)
}

// SetOwnZone replaces the sum of the views of the other daemons of this one's zone, and sets the demands by service of those
// that demands names, by the hash of their names.
func (s *Scheduler) SetOwnZone(id string, view View, demands map[uint64]map[uint64]float64, now time.Time) {
	view.Limits = serverlimit.Report{Limits: view.Limits.Limits} // the daemons share limits one by one
	s.SetPeer(id, view, now)
	s.mu.Lock()
	defer s.mu.Unlock()
	for daemon, byService := range demands {
		s.limiter.SetSummarizedPeer(daemon, byService, now)
	}
}

// View returns the view of this daemon, with its placements of the last placementAge.
func (s *Scheduler) View(placementAge time.Duration, now time.Time) View {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.balancer.SetListAsOf(s.options.ListAsOf(now))
	return View{
		Loads:        s.balancer.OwnLoad(),
		Usage:        s.shares.Report(now),
		Placements:   slices.Clone(s.balancer.Placements(placementAge, now)),
		TimingModels: s.balancer.TimingModels(),
		Quarantine:   s.quarantine.Reports(now),
		Limits:       s.limiter.Report(now),
		Refusals:     s.balancer.Refusals(),
	}
}

// CachedParts returns the cached prefix parts of each engine by hash of the server's ID, the least
// recently used first, as far as this daemon knows them.
func (s *Scheduler) CachedParts(now time.Time) map[uint64][]placement.CachedPart {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.balancer.CachedParts(now)
}

// AddCachedParts adds cached prefix parts of an engine, the least recently used first, as reported
// by a peer or by the engine itself. The server is given by the hash of its ID.
func (s *Scheduler) AddCachedParts(server uint64, parts []placement.CachedPart, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.balancer.AddCachedParts(server, parts, now)
}

// SetOverloaded sets whether this daemon is overloaded: it gets too little processor time, and its
// own delays distort the response times that it measures for servers.
func (s *Scheduler) SetOverloaded(overloaded bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.balancer.SetOverloaded(overloaded)
}

// RequestCost returns the cost of a request, in prompt tokens, that counts towards the share of
// its account.
func RequestCost(prompt, output int) float64 { return float64(prompt + generatedTokenWeight*output) }

// RecordUnread adds the cost of a request that was refused unread, before Decide, to the demand of the
// account.
func (s *Scheduler) RecordUnread(account string, cost float64, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.shares.RecordUnread(AccountHash(account), cost, now)
}

// Decide decides on the first attempt of a request.
func (s *Scheduler) Decide(r Request, now time.Time) Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.balancer.SetListAsOf(s.options.ListAsOf(now))
	trial := false
	if held, ok := s.held(r); ok {
		if trial = s.quarantine.StartTrial(s.subjects(r), now); !trial {
			return Decision{Quarantined: &held}
		}
	}
	s.retryBudget(r.Service).RecordRequest(now)
	s.limiter.RecordDemand(placement.Hash(r.Service), now)
	cost := RequestCost(r.PromptTokens, r.OutputTokens)
	account := AccountHash(r.Account)
	if r.Engine {
		s.shares.RecordDemand(account, cost, now)
	}
	choice, ok := s.balancer.Choose(r.Request, nil, now)
	if !ok {
		d := Decision{Limited: s.anyLimited(r.Service), Trial: trial}
		d.PauseEnd, _ = s.firstPauseEnd(r.Service, now)
		return d
	}
	draw := s.options.Random()
	d := s.checkAdmission(r, account, cost, choice, draw, now)
	if d.Verdict.Reason != admission.Admitted && choice.Server.Zone == s.options.Zone {
		if elsewhere, found := s.chooseElsewhere(r, d.Verdict.Reason, now); found {
			d = s.checkAdmission(r, account, cost, elsewhere, draw, now)
		}
	}
	if d.Verdict.Reason != admission.Admitted {
		// The server that has cached the prompt is busy. An idle one may process the prompt
		// again; on a busy one this would displace other requests, except for an account that is behind.
		fastest, found := s.balancer.ChooseFastest(r.Request, now)
		if found && (d.Input.Behind() || (fastest.Predicted-fastest.PredictedIdle).Seconds() < maxIdleDelayShare*r.Objective.Seconds()) {
			d = s.checkAdmission(r, account, cost, fastest, draw, now)
		}
	}
	s.shares.RecordRank(r.Rank, cost, d.Verdict.Reason == admission.Admitted, now)
	if d.Verdict.Reason == admission.Admitted {
		s.limiter.Take(placement.ServerIdentity(d.Choice.Server))
		if r.Engine {
			s.shares.RecordAdmitted(account, cost, now)
		}
	}
	d.Cost, d.Trial = cost, trial
	return d
}

// chooseElsewhere returns a server of another zone for a request that would be refused in this one:
// traffic between zones is no reason to refuse. An account beyond its share is not owed a second choice
// among busy servers, only the one that it would have had without the cost of that traffic. The caller
// holds the lock.
func (s *Scheduler) chooseElsewhere(r Request, reason admission.Reason, now time.Time) (placement.Choice, bool) {
	choice, found := s.balancer.ChooseElsewhere(r.Request, now)
	loadDelay := choice.Predicted - choice.PredictedIdle
	if !found || reason == admission.TooLate || loadDelay.Seconds() < maxQuietDelayShare*r.Objective.Seconds() {
		return choice, found
	}
	choice, found = s.balancer.ChooseInAnyZone(r.Request, now)
	return choice, found && choice.Server.Zone != s.options.Zone
}

// checkAdmission applies the admission policy to the request at the chosen server. The caller
// holds the lock.
func (s *Scheduler) checkAdmission(r Request, account uint64, cost float64, choice placement.Choice, draw float64, now time.Time) Decision {
	input := admission.Input{
		Predicted:      choice.Predicted,
		Prefill:        choice.Prefill,
		PredictedIdle:  choice.PredictedIdle,
		Objective:      r.Objective,
		MaxGap:         r.MaxGap,
		Rank:           s.shares.Rank(r.Rank, now),
		SlotOccupancy:  slotOccupancy(choice),
		TimeToDeadline: r.Deadline.Sub(now),
		Usage:          s.shares.Usage(account, now),
		OwnDemand:      s.shares.OwnDemand(account, now),
		DemandShare:    s.demandShare(account, now),
		DemandGrowth:   s.shares.DemandGrowth(account, cost, now),
		Levels:         s.shares.Levels(now),
		Window:         s.options.FairWindow,
		ReportAge:      s.shares.ReportAge(now),
		Jitter:         s.options.Random(),
		Draw:           draw,
	}
	if r.Engine {
		input.CreditRate = input.DemandShare * input.Levels.Limit / s.options.FairWindow.Seconds()
		input.Credit = s.shares.Credit(account, input.CreditRate, now)
	} else { // limits count tokens, and plain requests have none
		input.Levels.Limit, input.Credit = math.Inf(1), math.Inf(1)
	}
	return Decision{Choice: choice, Found: true, Verdict: admission.Decide(input), Input: input}
}

// demandShare returns the part of the account's demand that arrives at this daemon. Without reported
// demand it is taken to be spread evenly. The caller holds the lock.
func (s *Scheduler) demandShare(account uint64, now time.Time) float64 {
	if share, ok := s.shares.DemandShare(account, now); ok {
		return share
	}
	return 1 / float64(max(1, s.options.Daemons()))
}

// slotOccupancy returns the share of the server's slots in use. It exceeds 1 when requests
// queue at the server.
func slotOccupancy(c placement.Choice) float64 {
	return float64(c.Load.Running) / float64(max(1, c.Server.Slots))
}

// DecideRetry decides on a further attempt. It reports whether there is a server that was not
// tried, and whether the retry budget allows the attempt. An attempt is free, and not counted
// against the budget, when no server received the previous one.
func (s *Scheduler) DecideRetry(r Request, tried map[string]bool, free bool, now time.Time) (choice placement.Choice, ok, allowed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.decideRetry(r, free, now, func() (placement.Choice, bool) { return s.balancer.Choose(r.Request, tried, now) })
}

// DecideReturn decides on a further attempt at the server with the ID. It reports whether the server takes the request, and whether the
// retry budget allows the attempt.
func (s *Scheduler) DecideReturn(r Request, id string, now time.Time) (choice placement.Choice, ok, allowed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.decideRetry(r, false, now, func() (placement.Choice, bool) { return s.balancer.ChooseServer(r.Request, id, now) })
}

// decideRetry decides on a further attempt at the server that choose returns. The caller holds the lock.
func (s *Scheduler) decideRetry(r Request, free bool, now time.Time, choose func() (placement.Choice, bool)) (choice placement.Choice, ok, allowed bool) {
	s.balancer.SetListAsOf(s.options.ListAsOf(now))
	if _, held := s.held(r); held {
		return choice, false, false
	}
	choice, ok = choose()
	if !ok {
		return choice, false, false
	}
	if !free && !s.retryBudget(r.Service).Take(now, s.options.Shares()) {
		return choice, true, false
	}
	s.limiter.Take(placement.ServerIdentity(choice.Server))
	return choice, true, true
}

// ChooseAgain replaces the choice for a request that was not sent yet. It returns the old one if there is no other. ok is
// false if its server takes no requests any more.
func (s *Scheduler) ChooseAgain(r Request, old placement.Choice, now time.Time) (choice placement.Choice, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.balancer.SetListAsOf(s.options.ListAsOf(now))
	s.limiter.Return(placement.ServerIdentity(old.Server))
	choice, ok = s.balancer.Choose(r.Request, nil, now)
	if !ok {
		if !s.takesRequests(old.Server, now) {
			return old, false
		}
		choice = old
	}
	s.limiter.Take(placement.ServerIdentity(choice.Server))
	return choice, true
}

// TakesRequests reports whether the server of the choice still takes requests. Time may have passed since the choice.
func (s *Scheduler) TakesRequests(choice placement.Choice, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.takesRequests(choice.Server, now)
}

// takesRequests is TakesRequests for callers that hold the lock.
func (s *Scheduler) takesRequests(server routing.Server, now time.Time) bool {
	return s.balancer.Usable(server) && s.notices.Available(placement.ServerIdentity(server), now)
}

// Shares returns the number of daemons among which limits on the whole fleet are divided.
func (s *Scheduler) Shares() int { return s.options.Shares() }

// Start records that the request is sent to the chosen server.
func (s *Scheduler) Start(r Request, choice placement.Choice, now time.Time) *placement.Attempt {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.balancer.Start(r.Request, choice, now)
}

// RecordFirstEvent records the arrival of the first event, or of the answer of a plain service.
func (s *Scheduler) RecordFirstEvent(a *placement.Attempt, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.balancer.RecordFirstEvent(a, now)
}

// End records the end of an attempt.
func (s *Scheduler) End(a *placement.Attempt, o placement.Outcome, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.balancer.End(a, o, now)
}

// retryBudget returns the retry budget of the service. The caller holds the lock.
func (s *Scheduler) retryBudget(service string) *retry.Window {
	budget, ok := s.retryBudgets[service]
	if !ok {
		budget = retry.NewWindow(s.options.RetryBudget)
		s.retryBudgets[service] = budget
	}
	return budget
}
