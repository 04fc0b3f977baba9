// Package placement decides which backend server a request goes to. It predicts for each
// server the time to the first event from the prompt tokens that the server has still to
// read, and charges prompt parts that would be read again. It has no clock, socket or
// lock of its own.
package placement

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/filbertrill/filbertrill/internal/routing"
)

const (
	// rereadWeight charges a token that would be read again beyond its own delay: reading is
	// the scarce capacity of engines, and it delays the requests behind.
	prefillWeight = 12.0
	// crossZone is charged for a server of another zone: about one round trip.
	crossZonePenalty = 8 * time.Millisecond
	// failurePenalty is charged for a server whose every recent request failed.
	failurePenalty = 3 * time.Second
	// peerLoadTTL is how long the load that a peer reported counts.
	peerLoadTTL = 1500 * time.Millisecond
	// peerModelTTL is how long what a peer learnt of the engines counts: their timing changes
	// with the load they get, over seconds.
	peerTimingTTL = 10 * time.Second
	// homeTrust is the part of a shared prompt that is taken for cached on its home server
	// while no server is known to keep it: daemons that know nothing choose alike.
	homeCachedShare = 0.6
	// placementTTL is how long a placement is told to peers: several datagrams, as some
	// are lost.
	placementTTL = 450 * time.Millisecond
	// minShared is the least shared tokens that are told to peers: less is cheap to read.
	minPlacementTokens = 64
)

// Part is a piece of a prompt that other requests may share.
type Part struct {
	ID     uint64
	Tokens int
}

// Request is what placement needs of a request.
type Request struct {
	Service      string
	Engine       bool
	Parts        []Part // in order; the last one belongs to the request or its session
	PromptTokens int    // tokens of the whole prompt
	OutputTokens int    // expected tokens of the answer
}

// Load is the work that one daemon has under way at one server.
type Load struct {
	Running       int // requests
	PendingTokens int // prompt tokens of requests without a first event
	MemoryTokens  int // tokens of all requests
}

func (l Load) plus(o Load) Load {
	return Load{l.Running + o.Running, l.PendingTokens + o.PendingTokens, l.MemoryTokens + o.MemoryTokens}
}

func (l Load) minus(o Load) Load {
	return Load{l.Running - o.Running, l.PendingTokens - o.PendingTokens, l.MemoryTokens - o.MemoryTokens}
}

// Choice is a server with the prediction that speaks for it.
type Choice struct {
	Server         routing.Server
	Predicted      time.Duration // to the first event, or to the answer of a plain service
	Prefill        time.Duration // the part of Predicted in which the request's own prompt is read
	PredictedIdle  time.Duration // Predicted, were the server idle
	UncachedTokens int           // prompt tokens that the server has to read
	Load           Load          // of the server, as known
	Home           bool          // the server is the first choice of the prompt's shared part

	Source        routing.Server // from which the server fetches parts of the prompt; none without an id
	FetchedTokens int            // prompt tokens that it fetches
}

type server struct {
	routing.Server
	hash               uint64
	ownLoad            Load
	cache              *promptCache
	slowdown           float64 // observed over predicted time
	plainLatency       float64 // seconds of a plain request
	lastFailureRate    float64 // share of recent requests that failed
	lastOutcome        time.Time
	awaitingFirstEvent map[*Attempt]struct{} // attempts without a first event
}

// peerView is what a peer has under way at the servers, by hash.
type peerLoads struct {
	loads      map[uint64]Load
	receivedAt time.Time
}

// Board holds the servers and what is known of their load. It is not safe for
// concurrent use.
type Balancer struct {
	zone             string
	servers          map[string]*server
	byHash           map[uint64]*server
	ready            map[string][]*server         // by service, in the order of their ids
	loadsByPeer      map[string]peerLoads         // by peer
	peerLoadSum      map[uint64]Load              // sum of the peers' views, by server hash
	regressions      map[string]*timingRegression // by service
	recentPlacements []Placement                  // of this daemon, oldest first

	overloaded    bool               // see SetDelayed
	rotation      int                // of the server that is looked at first
	fetchRate     map[string]float64 // by service
	timingsByPeer map[string]peerTimingModels
}

// Placement tells that a server was sent a prompt that begins with a shared part.
type Placement struct {
	Server uint64 // hash
	Part   uint64 // the last shared one
	Tokens int    // up to its end
	sentAt time.Time
}

// NewBoard returns a board of a daemon in the zone.
func NewBalancer(zone string) *Balancer {
	return &Balancer{
		zone:        zone,
		servers:     make(map[string]*server),
		byHash:      make(map[uint64]*server),
		ready:       make(map[string][]*server),
		loadsByPeer: make(map[string]peerLoads),
		peerLoadSum: make(map[uint64]Load),
		regressions: make(map[string]*timingRegression),

		timingsByPeer: make(map[string]peerTimingModels),
		fetchRate:     make(map[string]float64),
	}
}

// Hash names a server in the messages between daemons.
func Hash(id string) uint64 { return xxhash.Sum64String(id) }

// SetServers replaces the servers. A server that started again loses what was known of it.
func (b *Balancer) SetServers(servers []routing.Server) {
	known := make(map[string]bool, len(servers))
	for _, s := range servers {
		known[s.ID] = true
		if old, ok := b.servers[s.ID]; ok && old.Born == s.Born && old.Address == s.Address {
			old.Server = s
			continue
		}
		created := &server{
			Server:             s,
			hash:               Hash(s.ID),
			cache:              newPromptCache(),
			slowdown:           1,
			awaitingFirstEvent: make(map[*Attempt]struct{}),
		}
		b.servers[s.ID] = created
		b.byHash[created.hash] = created
	}
	for id, s := range b.servers {
		if !known[id] {
			delete(b.servers, id)
			delete(b.byHash, s.hash)
		}
	}
	clear(b.ready)
	for _, id := range slices.Sorted(maps.Keys(b.servers)) {
		if s := b.servers[id]; s.State == routing.Ready {
			b.ready[s.Service] = append(b.ready[s.Service], s)
		}
	}
}

// SetCapacity gives the tokens a second of one server of the service, from which
// predictions start before anything has been observed.
func (b *Balancer) SetCapacity(service string, tokensPerSecond float64, memoryTokens int64) {
	b.regression(service).setPrior(tokensPerSecond)
	for _, s := range b.servers {
		if s.Service == service {
			s.cache.resize(memoryTokens)
		}
	}
}

// SetPeerLoad records what a peer has under way at the servers, by hash. The map must not
// be changed afterwards.
func (b *Balancer) SetPeerLoad(peer string, loads map[uint64]Load, now time.Time) {
	b.removePeerLoads(peer)
	for hash, l := range loads {
		b.peerLoadSum[hash] = b.peerLoadSum[hash].plus(l)
	}
	b.loadsByPeer[peer] = peerLoads{loads, now}
}

func (b *Balancer) removePeerLoads(peer string) {
	for hash, l := range b.loadsByPeer[peer].loads {
		if remaining := b.peerLoadSum[hash].minus(l); remaining == (Load{}) {
			delete(b.peerLoadSum, hash)
		} else {
			b.peerLoadSum[hash] = remaining
		}
	}
	delete(b.loadsByPeer, peer)
}

// dropSilentPeers leaves out the loads that peers reported too long ago.
func (b *Balancer) expirePeerLoads(now time.Time) {
	for peer, report := range b.loadsByPeer {
		if now.Sub(report.receivedAt) > peerLoadTTL {
			b.removePeerLoads(peer)
		}
	}
}

// OwnLoad returns what this daemon has under way, by hash.
func (b *Balancer) OwnLoad() map[uint64]Load {
	loads := make(map[uint64]Load)
	for hash, s := range b.byHash {
		if s.ownLoad.Running > 0 {
			loads[hash] = s.ownLoad
		}
	}
	return loads
}

// Choose returns the best server for the request, leaving out those of the set, and
// whether there is one.
func (b *Balancer) Choose(r Request, excluded map[string]bool, now time.Time) (Choice, bool) {
	return b.choose(r, excluded, prefillWeight, now)
}

// Quickest returns the server that answers first, whatever is read again there, and whether
// there is one.
func (b *Balancer) ChooseFastest(r Request, now time.Time) (Choice, bool) {
	return b.choose(r, nil, 0, now)
}

func (b *Balancer) choose(r Request, excluded map[string]bool, weight float64, now time.Time) (Choice, bool) {
	b.expirePeerLoads(now)
	home, coeffs := b.home(r, now), b.coefficients(r.Service, now)
	src := b.fetchSource(r, now)
	best, found, bestScore := Choice{}, false, math.Inf(1)
	for s := range b.rotate(r.Service) {
		if excluded[s.ID] {
			continue
		}
		c := b.predict(s, r, coeffs, s == home, src, now)
		score := b.score(s, c, weight*coeffs.perToken(), now) + fetchWeight*coeffs.perToken()*float64(c.FetchedTokens)
		if score < bestScore {
			best, found, bestScore = c, true, score
		}
	}
	return best, found
}

// Capacity returns the places of the ready servers of the service and how many of them
// are taken.
func (b *Balancer) Slots(service string, now time.Time) (total, used int) {
	b.expirePeerLoads(now)
	for _, s := range b.ready[service] {
		total += s.Slots
		used += b.load(s).Running
	}
	return total, used
}

func (b *Balancer) predict(s *server, r Request, coeffs coefficients, home bool, src fetchSource, now time.Time) Choice {
	c := Choice{Server: s.Server, Load: b.load(s), Home: home}
	if !r.Engine {
		c.Load.Running = s.ownLoad.Running + b.meanPeerRunning(s)
		waiting := max(0, c.Load.Running+1-s.Slots)
		rounds := 1 + float64(waiting)/float64(max(1, s.Slots))
		c.Predicted = seconds(s.plainLatency * rounds)
		return c
	}
	c.UncachedTokens = s.uncachedTokens(r, home, now)
	b.planFetch(&c, r, src)
	fetching := b.fetchTime(r.Service, c.FetchedTokens)
	c.Predicted = coeffs.predict(c.Load.PendingTokens+c.UncachedTokens, c.Load.Running, s.slowdown) + fetching
	c.PredictedIdle = coeffs.predict(c.UncachedTokens, 0, s.slowdown) + fetching
	c.Prefill = seconds(coeffs.perToken() * float64(c.UncachedTokens) * s.slowdown)
	if excess := c.Load.Running + 1 - s.Slots; s.Slots > 0 && excess > 0 {
		// A place frees about each time that a stream ends; streams last a second or more.
		c.Predicted += time.Duration(excess) * time.Second / time.Duration(s.Slots)
	}
	return c
}

// score returns the cost in seconds of the choice, with reread for each token to read.
func (b *Balancer) score(s *server, c Choice, prefillPenalty float64, now time.Time) float64 {
	score := c.Predicted.Seconds()
	score += prefillPenalty * float64(c.UncachedTokens) * s.slowdown
	if s.Zone != b.zone {
		score += crossZonePenalty.Seconds()
	}
	if s.plainLatency > 0 {
		score += s.plainLatency * float64(c.Load.Running) / float64(max(1, s.Slots))
	}
	score += failurePenalty.Seconds() * s.failureRate(now)
	score += s.overdue(now).Seconds()
	return score
}

// home returns the server that all daemons prefer for the shared part of the prompt
// (rendezvous hashing, Thaler and Ravishankar 1998); nil when the prompt has no such part
// or some server is known to keep it.
func (b *Balancer) home(r Request, now time.Time) *server {
	shared, _, ok := r.sharedPrefix()
	if !ok {
		return nil
	}
	var best *server
	var bestWeight uint64
	for _, s := range b.ready[r.Service] {
		if s.cache.contains(shared, now) {
			return nil
		}
		weight := mix(shared, s.hash)
		if best == nil || weight > bestWeight {
			best, bestWeight = s, weight
		}
	}
	return best
}

// shared returns the last part that other requests share, and the tokens up to its end.
func (r Request) sharedPrefix() (part uint64, tokens int, ok bool) {
	if !r.Engine || len(r.Parts) < 2 {
		return 0, 0, false
	}
	for _, p := range r.Parts[:len(r.Parts)-1] {
		tokens += p.Tokens
	}
	return r.Parts[len(r.Parts)-2].ID, tokens, true
}

// Placements returns what this daemon sent to servers in the last moments.
func (b *Balancer) Placements(now time.Time) []Placement {
	unexpired := b.recentPlacements[:0]
	for _, p := range b.recentPlacements {
		if now.Sub(p.sentAt) <= placementTTL {
			unexpired = append(unexpired, p)
		}
	}
	b.recentPlacements = unexpired
	return unexpired
}

// SetPeerPlacements takes what a peer sent to servers.
func (b *Balancer) AddPeerPlacements(placements []Placement, now time.Time) {
	for _, p := range placements {
		if s, ok := b.byHash[p.Server]; ok {
			s.cache.put(Part{ID: p.Part, Tokens: p.Tokens}, now)
			s.cache.evict()
		}
	}
}

// mix is the finalizer of SplitMix64 (Steele et al. 2014) over both values.
func mix(a, b uint64) uint64 {
	z := a*0x9e3779b97f4a7c15 ^ b
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9
	z = (z ^ (z >> 27)) * 0x94d049bb133111eb
	return z ^ (z >> 31)
}

func (b *Balancer) regression(service string) *timingRegression {
	m, ok := b.regressions[service]
	if !ok {
		m = newTimingRegression()
		b.regressions[service] = m
	}
	return m
}

func (b *Balancer) load(s *server) Load { return s.ownLoad.plus(b.peerLoadSum[s.hash]) }

func (s *server) uncachedTokens(r Request, home bool, now time.Time) int {
	cached := s.cache.prefixTokens(r.Parts, now)
	if home {
		_, shared, _ := r.sharedPrefix()
		cached = max(cached, int(homeCachedShare*float64(shared)))
	}
	return max(0, r.PromptTokens-cached)
}

// failureShare returns the share of failures, which fades while no request is tried.
func (s *server) failureRate(now time.Time) float64 {
	if s.lastFailureRate == 0 {
		return 0
	}
	return s.lastFailureRate * math.Exp(-now.Sub(s.lastOutcome).Seconds()/failureDecay.Seconds())
}

// silence returns how much longer than predicted the oldest attempt has waited for its
// first event.
func (s *server) overdue(now time.Time) time.Duration {
	var longest time.Duration
	for a := range s.awaitingFirstEvent {
		if overdue := now.Sub(a.sentAt) - 2*a.predicted - overdueSlack; overdue > longest {
			longest = overdue
		}
	}
	return longest
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
