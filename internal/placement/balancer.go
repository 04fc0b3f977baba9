// Package placement decides which backend server a request goes to. For each server it predicts
// the time to the first event from the prompt tokens that the server has yet to prefill, and it
// penalizes repeated prefill of prompt parts that another server has cached. It has no clock,
// socket or lock of its own.
package placement

import (
	"iter"
	"maps"
	"slices"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/filbertrill/filbertrill/internal/routing"
)

const (
	// prefillWeight is the penalty for a prompt token that isn't cached, as a multiple of its
	// prefill time, on top of that time itself: prefill is the scarce capacity of engines, and it
	// delays the requests queued behind.
	prefillWeight = 12.0
	// crossZonePenalty is added to the score of a server in another zone: about one round trip.
	crossZonePenalty = 8 * time.Millisecond
	// crossZoneByteCost is added to the score of a server in another zone for each byte of the
	// request's body, in seconds. Links between zones cost more than other traffic. A body of 18 KB
	// costs more than the fetch of a cached prefix of 6,000 tokens with its penalty, so that a prefix
	// is fetched once to each zone instead of all its requests being sent to one.
	crossZoneByteCost = 8e-6
	// failurePenalty is added to the score of a server all of whose recent requests failed.
	failurePenalty = 3 * time.Second
	// peerLoadTTL is how long a peer's load report counts.
	peerLoadTTL = 1500 * time.Millisecond
	// peerTimingTTL is how long a peer's timing models count: the timing of engines changes with
	// their load, within seconds.
	peerTimingTTL = 10 * time.Second
	// homeCachedShare is the share of a shared prefix that counts as cached on its home server
	// while no server is known to have it cached, so that daemons without information choose the
	// same server.
	homeCachedShare = 0.6
	// maxPlacementAge is how long a placement is kept in order to report it to peers.
	maxPlacementAge = time.Second
	// minPlacementTokens is the shortest shared prefix that is reported to peers: the prefill of a
	// shorter one is cheap.
	minPlacementTokens = 64
)

// Part is a piece of a prompt that may be shared with other requests.
type Part struct {
	ID     uint64
	Tokens int
}

// Request holds the properties of a request that placement depends on.
type Request struct {
	Service      string
	Engine       bool   // the service is served by LLM engines; otherwise it is a plain service
	Parts        []Part // in order; the last one belongs to the request or its session alone
	PromptTokens int    // of the whole prompt
	OutputTokens int    // expected for the answer
	BodyBytes    int64  // of the request, estimated if it is not known
	// MaxGap is the longest time between two events at which streams of the service are on time, 0 for any.
	MaxGap time.Duration
	// Version is the only software version whose servers may be chosen, nil if any may.
	Version *string
	// ExcludedVersions are software versions whose servers may not be chosen.
	ExcludedVersions []string
	// Certain states that the version of the server must be known: only servers whose process can't have changed since their
	// registration may be chosen. PreferCertain states the same unless there is no such server.
	Certain, PreferCertain bool
	// Regions are the only regions whose servers may be chosen, nil if all may.
	Regions []string
}

// allows reports whether the request may be sent to the server because of its version and region.
func (r Request) allows(s *server) bool {
	return (r.Version == nil || *r.Version == s.Version) && !slices.Contains(r.ExcludedVersions, s.Version) && r.allowsRegion(s)
}

// allowsAll reports whether the request may be sent to all servers of the service.
func (r Request) allowsAll() bool {
	return r.Version == nil && len(r.ExcludedVersions) == 0 && r.Regions == nil
}

func (r Request) allowsRegion(s *server) bool {
	return r.Regions == nil || slices.Contains(r.Regions, s.Region)
}

// Load is the work in flight at one server, of one daemon or of several.
type Load struct {
	Running       int // requests
	PendingTokens int // prompt tokens of requests without a first event
	MemoryTokens  int // prompt and output tokens of all requests
}

// Plus returns the sum of the work of different daemons.
func (l Load) Plus(o Load) Load {
	return Load{l.Running + o.Running, l.PendingTokens + o.PendingTokens, l.MemoryTokens + o.MemoryTokens}
}

func (l Load) minus(o Load) Load {
	return Load{l.Running - o.Running, l.PendingTokens - o.PendingTokens, l.MemoryTokens - o.MemoryTokens}
}

// Choice is a server chosen for a request, with the prediction that it is based on.
type Choice struct {
	Server         routing.Server
	Predicted      time.Duration // time to the first event, or to the answer of a plain service
	Prefill        time.Duration // part of Predicted spent on the request's own prompt
	PredictedIdle  time.Duration // Predicted if the server were idle
	PromptRun      time.Duration // for which the server then processes prompts without a break, up to the end of the request's own
	UncachedTokens int           // prompt tokens that the server has to prefill
	Load           Load          // of the server, as far as known
	Uncertain      bool          // another process than the registered one may answer, see Request.Certain
	Home           bool          // the server is the home of the shared prefix, see Balancer.home

	Source        routing.Server // server from which prompt parts are fetched; its ID is empty if none are
	FetchedTokens int            // prompt tokens fetched from Source
}

// server is a backend server with its observed load, timing and failures.
type server struct {
	routing.Server
	hash               uint64
	identity           uint64 // see ServerIdentity
	ownLoad            Load   // of this daemon
	cache              *promptCache
	slowdown           float64 // moving average of observed over predicted time
	plain              plainTiming
	lastFailureRate    float64   // at lastOutcome, see failureRate
	silentFailureRate  float64   // the same of failures for silence, until the server is heard from
	lastOutcome        time.Time // time of the last success or failure
	awaitingFirstEvent map[*Attempt]struct{}
	interruptedAt      time.Time // when the process may last have ended, see RecordInterrupted; zero if it never may
	refusedAt          time.Time // when it last refused a connection of this daemon
	longPromptAt       time.Time // when it was last known to process a long prompt, see stallPenalty
	heardAt            time.Time // last sign of life, or when the first of the requests in flight was sent
	silence            silence   // the last one
	wasCold            bool      // slowdown is that of the cold server, see warmUp
}

// peerLoads is the last load report of a peer.
type peerLoads struct {
	loads      map[uint64]Load // by server hash
	receivedAt time.Time
}

// Balancer chooses servers by what is known of their load, timing and caches. It is not safe for
// concurrent use.
type Balancer struct {
	zone             string
	servers          map[string]*server   // by ID
	byHash           map[uint64]*server   // by Hash of the ID
	ready            map[string][]*server // by service, ordered by ID
	byZone           map[string]zoneLists // by service, see candidates; filled when needed
	sampled          int                  // see sample
	loadsByPeer      map[string]peerLoads
	peerLoadSum      map[uint64]Load              // sum over loadsByPeer, by server hash
	regressions      map[string]*timingRegression // by service
	recentPlacements []Placement                  // of this daemon, oldest first

	available     func(identity uint64, now time.Time) bool
	listAsOf      time.Time          // see SetListAsOf
	lag           time.Duration      // see SetRegistrationLag
	overloaded    bool               // see SetOverloaded
	rotation      int                // see rotate
	loaded        map[*server]bool   // servers that run requests of this daemon
	fetchRate     map[string]float64 // tokens per second, by service
	timingsByPeer map[string]peerTimingModels
	coldSlowdown  map[string]float64 // moving average of observed over predicted time at cold servers, by service
}

// Placement records that a prompt with a shared prefix was sent to a server.
type Placement struct {
	Server uint64 // hash of its ID
	Part   uint64 // ID of the last part of the shared prefix
	Tokens int    // of the shared prefix
	sentAt time.Time
}

// NewBalancer returns a Balancer without servers for a daemon in the zone.
func NewBalancer(zone string) *Balancer {
	return &Balancer{
		zone:        zone,
		servers:     make(map[string]*server),
		byHash:      make(map[uint64]*server),
		ready:       make(map[string][]*server),
		byZone:      make(map[string]zoneLists),
		loadsByPeer: make(map[string]peerLoads),
		peerLoadSum: make(map[uint64]Load),
		regressions: make(map[string]*timingRegression),

		available:     func(uint64, time.Time) bool { return true },
		timingsByPeer: make(map[string]peerTimingModels),
		fetchRate:     make(map[string]float64),
		coldSlowdown:  make(map[string]float64),
		loaded:        make(map[*server]bool),
	}
}

// Hash returns the 64-bit xxHash by which daemons identify servers, services and prompt parts in
// their messages.
func Hash(id string) uint64 { return xxhash.Sum64String(id) }

// ServerIdentity returns a hash of the server's ID and incarnation.
func ServerIdentity(s routing.Server) uint64 { return mix(Hash(s.ID), uint64(s.Incarnation)) }

// SetAvailable sets the function that reports whether a server, by its ServerIdentity, takes another request now. Choose
// leaves out the others.
func (b *Balancer) SetAvailable(available func(identity uint64, now time.Time) bool) {
	b.available = available
}

// SetServers replaces the servers. State observed of a server is kept unless its incarnation or
// address has changed.
func (b *Balancer) SetServers(servers []routing.Server) {
	known := make(map[string]bool, len(servers))
	for _, s := range servers {
		known[s.ID] = true
		if old, ok := b.servers[s.ID]; ok && old.Incarnation == s.Incarnation && old.Address == s.Address {
			old.wasCold = old.wasCold || s.ColdUntil.After(old.ColdUntil)
			old.Server = s
			continue
		}
		created := &server{
			Server:             s,
			hash:               Hash(s.ID),
			identity:           ServerIdentity(s),
			cache:              newPromptCache(),
			slowdown:           1,
			wasCold:            !s.ColdUntil.IsZero(),
			awaitingFirstEvent: make(map[*Attempt]struct{}),
		}
		delete(b.loaded, b.servers[s.ID]) // a former process
		b.servers[s.ID] = created
		b.byHash[created.hash] = created
	}
	for id, s := range b.servers {
		if !known[id] {
			delete(b.servers, id)
			delete(b.byHash, s.hash)
			delete(b.loaded, s)
		}
	}
	clear(b.ready)
	clear(b.byZone)
	for _, id := range slices.Sorted(maps.Keys(b.servers)) {
		if s := b.servers[id]; s.Usable() {
			b.ready[s.Service] = append(b.ready[s.Service], s)
		}
	}
}

// SetCapacity sets the capacity of one server of the service in tokens per second, from which
// predictions start before anything has been observed, and the size of its prompt cache in tokens
// (0 when unknown).
func (b *Balancer) SetCapacity(service string, tokensPerSecond float64, memoryTokens int64) {
	b.regression(service).setPrior(tokensPerSecond)
	for _, s := range b.servers {
		if s.Service == service {
			s.cache.resize(memoryTokens)
		}
	}
}

// SetPeerLoad replaces the load, by server hash, that the peer reported. The map must not be
// changed afterwards.
func (b *Balancer) SetPeerLoad(peer string, loads map[uint64]Load, now time.Time) {
	b.removePeerLoads(peer)
	for hash, l := range loads {
		b.peerLoadSum[hash] = b.peerLoadSum[hash].Plus(l)
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

// expirePeerLoads removes the loads that peers reported more than peerLoadTTL ago.
func (b *Balancer) expirePeerLoads(now time.Time) {
	for peer, report := range b.loadsByPeer {
		if now.Sub(report.receivedAt) > peerLoadTTL {
			b.removePeerLoads(peer)
		}
	}
}

// OwnLoad returns the load, by server hash, that this daemon alone has in flight.
func (b *Balancer) OwnLoad() map[uint64]Load {
	loads := make(map[uint64]Load, len(b.loaded))
	for s := range b.loaded {
		loads[s.hash] = s.ownLoad
	}
	return loads
}

// All returns all servers with their ServerIdentity, in no particular order. The servers must not be changed.
func (b *Balancer) All() iter.Seq2[*routing.Server, uint64] {
	return func(yield func(*routing.Server, uint64) bool) {
		for _, s := range b.servers {
			if !yield(&s.Server, s.identity) {
				return
			}
		}
	}
}

// Usable reports whether the process that was chosen is still listed and takes requests.
func (b *Balancer) Usable(chosen routing.Server) bool {
	s, ok := b.servers[chosen.ID]
	return ok && s.Incarnation == chosen.Incarnation && s.Address == chosen.Address && s.Usable()
}

// EvacuatedRunning returns the number of requests of this daemon at servers of evacuated zones.
func (b *Balancer) EvacuatedRunning() int {
	running := 0
	for _, s := range b.servers {
		if s.Evacuated {
			running += s.ownLoad.Running
		}
	}
	return running
}

// Ready returns the ServerIdentity of each ready server of the service.
func (b *Balancer) Ready(service string) iter.Seq[uint64] {
	return func(yield func(uint64) bool) {
		for _, s := range b.ready[service] {
			if !yield(s.identity) {
				return
			}
		}
	}
}

// Slots returns the total slots of the ready servers of the service, and how many are in use.
func (b *Balancer) Slots(service string, now time.Time) (total, used int) {
	b.expirePeerLoads(now)
	for _, s := range b.ready[service] {
		total += s.Slots
		used += b.load(s).Running
	}
	return total, used
}

// sharedPrefix returns the ID of the last part that other requests may share and the tokens up to
// its end. ok is false when the request has no such part.
func (r Request) sharedPrefix() (part uint64, tokens int, ok bool) {
	if !r.Engine || len(r.Parts) < 2 {
		return 0, 0, false
	}
	for _, p := range r.Parts[:len(r.Parts)-1] {
		tokens += p.Tokens
	}
	return r.Parts[len(r.Parts)-2].ID, tokens, true
}

// SharedParts returns the IDs of the prompt parts that other requests may share, all but the last one.
func (r Request) SharedParts() []uint64 {
	if !r.Engine || len(r.Parts) < 2 {
		return nil
	}
	ids := make([]uint64, 0, len(r.Parts)-1)
	for _, p := range r.Parts[:len(r.Parts)-1] {
		ids = append(ids, p.ID)
	}
	return ids
}

// Placements returns what this daemon sent to servers within the last maxAge, of which
// maxPlacementAge counts at most. The slice is valid until the next call of a method.
func (b *Balancer) Placements(maxAge time.Duration, now time.Time) []Placement {
	firstAfter := func(age time.Duration) int { // placements are in the order of their times
		return sort.Search(len(b.recentPlacements), func(i int) bool { return now.Sub(b.recentPlacements[i].sentAt) <= age })
	}
	b.recentPlacements = slices.Delete(b.recentPlacements, 0, firstAfter(maxPlacementAge))
	return b.recentPlacements[firstAfter(maxAge):]
}

// AddPeerPlacements marks the prefixes that a peer sent to servers as cached there.
func (b *Balancer) AddPeerPlacements(placements []Placement, now time.Time) {
	for _, p := range placements {
		if s, ok := b.byHash[p.Server]; ok {
			s.cache.put(Part{ID: p.Part, Tokens: p.Tokens}, now)
			s.cache.evict()
		}
	}
}

// mix combines both values by the finalizer of SplitMix64 (Steele et al. 2014).
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

// load returns the load of all daemons at the server.
func (b *Balancer) load(s *server) Load { return s.ownLoad.Plus(b.peerLoadSum[s.hash]) }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
