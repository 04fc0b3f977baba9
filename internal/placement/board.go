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
	rereadWeight = 12.0
	// crossZone is charged for a server of another zone: about one round trip.
	crossZone = 8 * time.Millisecond
	// failurePenalty is charged for a server whose every recent request failed.
	failurePenalty = 3 * time.Second
	// peerLoadTTL is how long the load that a peer reported counts.
	peerLoadTTL = 1500 * time.Millisecond
	// peerModelTTL is how long what a peer learnt of the engines counts: their timing changes
	// with the load they get, over seconds.
	peerModelTTL = 10 * time.Second
	// homeTrust is the part of a shared prompt that is taken for cached on its home server
	// while no server is known to keep it: daemons that know nothing choose alike.
	homeTrust = 0.6
	// placementTTL is how long a placement is told to peers: several datagrams, as some
	// are lost.
	placementTTL = 450 * time.Millisecond
	// minShared is the least shared tokens that are told to peers: less is cheap to read.
	minShared = 64
)

// Part is a piece of a prompt that other requests may share.
type Part struct {
	ID     uint64
	Tokens int
}

// Request is what placement needs of a request.
type Request struct {
	Service string
	Engine  bool
	Parts   []Part // in order; the last one belongs to the request or its session
	Prompt  int    // tokens of the whole prompt
	Output  int    // expected tokens of the answer
}

// Load is the work that one daemon has under way at one server.
type Load struct {
	Running int // requests
	Pending int // prompt tokens of requests without a first event
	Memory  int // tokens of all requests
}

func (l Load) plus(o Load) Load {
	return Load{l.Running + o.Running, l.Pending + o.Pending, l.Memory + o.Memory}
}

func (l Load) minus(o Load) Load {
	return Load{l.Running - o.Running, l.Pending - o.Pending, l.Memory - o.Memory}
}

// Choice is a server with the prediction that speaks for it.
type Choice struct {
	Server    routing.Server
	Predicted time.Duration // to the first event, or to the answer of a plain service
	Own       time.Duration // the part of Predicted in which the request's own prompt is read
	Idle      time.Duration // Predicted, were the server idle
	Uncached  int           // prompt tokens that the server has to read
	Load      Load          // of the server, as known
	Home      bool          // the server is the first choice of the prompt's shared part

	Source  routing.Server // from which the server fetches parts of the prompt; none without an id
	Fetched int            // prompt tokens that it fetches
}

type server struct {
	routing.Server
	hash     uint64
	own      Load
	cache    *promptCache
	speed    float64 // observed over predicted time
	latency  float64 // seconds of a plain request
	failures float64 // share of recent requests that failed
	failedAt time.Time
	oldest   map[*Attempt]struct{} // attempts without a first event
}

// peerView is what a peer has under way at the servers, by hash.
type peerView struct {
	loads map[uint64]Load
	at    time.Time
}

// Board holds the servers and what is known of their load. It is not safe for
// concurrent use.
type Board struct {
	zone    string
	servers map[string]*server
	byHash  map[uint64]*server
	ready   map[string][]*server  // by service, in the order of their ids
	peers   map[string]peerView   // by peer
	foreign map[uint64]Load       // sum of the peers' views, by server hash
	models  map[string]*timeModel // by service
	recent  []Placement           // of this daemon, oldest first

	delayed    bool               // see SetDelayed
	turn       int                // of the server that is looked at first
	fetchRate  map[string]float64 // by service
	peerModels map[string]peerModels
}

// Placement tells that a server was sent a prompt that begins with a shared part.
type Placement struct {
	Server uint64 // hash
	Part   uint64 // the last shared one
	Tokens int    // up to its end
	at     time.Time
}

// NewBoard returns a board of a daemon in the zone.
func NewBoard(zone string) *Board {
	return &Board{
		zone:    zone,
		servers: make(map[string]*server),
		byHash:  make(map[uint64]*server),
		ready:   make(map[string][]*server),
		peers:   make(map[string]peerView),
		foreign: make(map[uint64]Load),
		models:  make(map[string]*timeModel),

		peerModels: make(map[string]peerModels),
		fetchRate:  make(map[string]float64),
	}
}

// Hash names a server in the messages between daemons.
func Hash(id string) uint64 { return xxhash.Sum64String(id) }

// SetServers replaces the servers. A server that started again loses what was known of it.
func (b *Board) SetServers(servers []routing.Server) {
	known := make(map[string]bool, len(servers))
	for _, s := range servers {
		known[s.ID] = true
		if old, ok := b.servers[s.ID]; ok && old.Incarnation == s.Incarnation && old.Address == s.Address {
			old.Server = s
			continue
		}
		created := &server{
			Server: s,
			hash:   Hash(s.ID),
			cache:  newPromptCache(),
			speed:  1,
			oldest: make(map[*Attempt]struct{}),
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
func (b *Board) SetCapacity(service string, tokensPerSecond float64, memoryTokens int64) {
	b.model(service).prior(tokensPerSecond)
	for _, s := range b.servers {
		if s.Service == service {
			s.cache.resize(memoryTokens)
		}
	}
}

// SetPeerLoad records what a peer has under way at the servers, by hash. The map must not
// be changed afterwards.
func (b *Board) SetPeerLoad(peer string, loads map[uint64]Load, now time.Time) {
	b.dropPeer(peer)
	for hash, l := range loads {
		b.foreign[hash] = b.foreign[hash].plus(l)
	}
	b.peers[peer] = peerView{loads, now}
}

func (b *Board) dropPeer(peer string) {
	for hash, l := range b.peers[peer].loads {
		if left := b.foreign[hash].minus(l); left == (Load{}) {
			delete(b.foreign, hash)
		} else {
			b.foreign[hash] = left
		}
	}
	delete(b.peers, peer)
}

// dropSilentPeers leaves out the loads that peers reported too long ago.
func (b *Board) dropSilentPeers(now time.Time) {
	for peer, v := range b.peers {
		if now.Sub(v.at) > peerLoadTTL {
			b.dropPeer(peer)
		}
	}
}

// OwnLoad returns what this daemon has under way, by hash.
func (b *Board) OwnLoad() map[uint64]Load {
	loads := make(map[uint64]Load)
	for hash, s := range b.byHash {
		if s.own.Running > 0 {
			loads[hash] = s.own
		}
	}
	return loads
}

// Choose returns the best server for the request, leaving out those of the set, and
// whether there is one.
func (b *Board) Choose(r Request, tried map[string]bool, now time.Time) (Choice, bool) {
	return b.choose(r, tried, rereadWeight, now)
}

// Quickest returns the server that answers first, whatever is read again there, and whether
// there is one.
func (b *Board) Quickest(r Request, now time.Time) (Choice, bool) {
	return b.choose(r, nil, 0, now)
}

func (b *Board) choose(r Request, tried map[string]bool, reread float64, now time.Time) (Choice, bool) {
	b.dropSilentPeers(now)
	home, model := b.home(r, now), b.timing(r.Service, now)
	from := b.source(r, now)
	best, found, bestScore := Choice{}, false, math.Inf(1)
	for s := range b.inTurn(r.Service) {
		if tried[s.ID] {
			continue
		}
		c := b.predict(s, r, model, s == home, from, now)
		score := b.score(s, c, reread*model.slope(), now) + fetchWeight*model.slope()*float64(c.Fetched)
		if score < bestScore {
			best, found, bestScore = c, true, score
		}
	}
	return best, found
}

// Capacity returns the places of the ready servers of the service and how many of them
// are taken.
func (b *Board) Capacity(service string, now time.Time) (places, taken int) {
	b.dropSilentPeers(now)
	for _, s := range b.ready[service] {
		places += s.Slots
		taken += b.load(s).Running
	}
	return places, taken
}

func (b *Board) predict(s *server, r Request, model timing, home bool, from source, now time.Time) Choice {
	c := Choice{Server: s.Server, Load: b.load(s), Home: home}
	if !r.Engine {
		c.Load.Running = s.own.Running + b.meanForeign(s)
		waiting := max(0, c.Load.Running+1-s.Slots)
		rounds := 1 + float64(waiting)/float64(max(1, s.Slots))
		c.Predicted = seconds(s.latency * rounds)
		return c
	}
	c.Uncached = s.uncached(r, home, now)
	b.fetch(&c, r, from)
	fetching := b.fetchTime(r.Service, c.Fetched)
	c.Predicted = model.predict(c.Load.Pending+c.Uncached, c.Load.Running, s.speed) + fetching
	c.Idle = model.predict(c.Uncached, 0, s.speed) + fetching
	c.Own = seconds(model.slope() * float64(c.Uncached) * s.speed)
	if over := c.Load.Running + 1 - s.Slots; s.Slots > 0 && over > 0 {
		// A place frees about each time that a stream ends; streams last a second or more.
		c.Predicted += time.Duration(over) * time.Second / time.Duration(s.Slots)
	}
	return c
}

// score returns the cost in seconds of the choice, with reread for each token to read.
func (b *Board) score(s *server, c Choice, reread float64, now time.Time) float64 {
	score := c.Predicted.Seconds()
	score += reread * float64(c.Uncached) * s.speed
	if s.Zone != b.zone {
		score += crossZone.Seconds()
	}
	if s.latency > 0 {
		score += s.latency * float64(c.Load.Running) / float64(max(1, s.Slots))
	}
	score += failurePenalty.Seconds() * s.failureShare(now)
	score += s.silence(now).Seconds()
	return score
}

// home returns the server that all daemons prefer for the shared part of the prompt
// (rendezvous hashing, Thaler and Ravishankar 1998); nil when the prompt has no such part
// or some server is known to keep it.
func (b *Board) home(r Request, now time.Time) *server {
	shared, _, ok := r.shared()
	if !ok {
		return nil
	}
	var best *server
	var bestWeight uint64
	for _, s := range b.ready[r.Service] {
		if s.cache.keeps(shared, now) {
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
func (r Request) shared() (part uint64, tokens int, ok bool) {
	if !r.Engine || len(r.Parts) < 2 {
		return 0, 0, false
	}
	for _, p := range r.Parts[:len(r.Parts)-1] {
		tokens += p.Tokens
	}
	return r.Parts[len(r.Parts)-2].ID, tokens, true
}

// Placements returns what this daemon sent to servers in the last moments.
func (b *Board) Placements(now time.Time) []Placement {
	kept := b.recent[:0]
	for _, p := range b.recent {
		if now.Sub(p.at) <= placementTTL {
			kept = append(kept, p)
		}
	}
	b.recent = kept
	return kept
}

// SetPeerPlacements takes what a peer sent to servers.
func (b *Board) SetPeerPlacements(placements []Placement, now time.Time) {
	for _, p := range placements {
		if s, ok := b.byHash[p.Server]; ok {
			s.cache.put(Part{ID: p.Part, Tokens: p.Tokens}, now)
			s.cache.shrink()
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

func (b *Board) model(service string) *timeModel {
	m, ok := b.models[service]
	if !ok {
		m = newTimeModel()
		b.models[service] = m
	}
	return m
}

func (b *Board) load(s *server) Load { return s.own.plus(b.foreign[s.hash]) }

func (s *server) uncached(r Request, home bool, now time.Time) int {
	cached := s.cache.prefix(r.Parts, now)
	if home {
		_, shared, _ := r.shared()
		cached = max(cached, int(homeTrust*float64(shared)))
	}
	return max(0, r.Prompt-cached)
}

// failureShare returns the share of failures, which fades while no request is tried.
func (s *server) failureShare(now time.Time) float64 {
	if s.failures == 0 {
		return 0
	}
	return s.failures * math.Exp(-now.Sub(s.failedAt).Seconds()/failureFade.Seconds())
}

// silence returns how much longer than predicted the oldest attempt has waited for its
// first event.
func (s *server) silence(now time.Time) time.Duration {
	var longest time.Duration
	for a := range s.oldest {
		if late := now.Sub(a.sent) - 2*a.predicted - silenceSlack; late > longest {
			longest = late
		}
	}
	return longest
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
