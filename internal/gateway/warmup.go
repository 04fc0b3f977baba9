package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/filbertrill/filbertrill/internal/exchange/pb"
	"github.com/filbertrill/filbertrill/internal/placement"
	"github.com/filbertrill/filbertrill/internal/routing"
)

// Engines queries the prefix caches of engines.
type Engines interface {
	// CachedParts returns the prompt parts in the prefix cache of the engine at the address. With an error, it may return some
	// of them.
	CachedParts(ctx context.Context, address string) ([]placement.Part, error)
}

const (
	// warmUpPollInterval is the time between two searches for a source of cached prefix parts.
	warmUpPollInterval = 50 * time.Millisecond
	// engineQueryDelay is the time after the start before engines are queried. By then live
	// peers have made themselves known with their first few state messages.
	engineQueryDelay = 250 * time.Millisecond
	// lonelyQueryDelay is that time for a daemon that knows peers of other zones only. It learns of
	// those of its own from their lists of members, which they send once a second. In a fleet of 195,
	// the daemons of the two zones without a seed queried all 99 engines each.
	lonelyQueryDelay = 1500 * time.Millisecond
	// warmUpTimeout is the time after the start at which the warm-up is given up. By then the
	// daemon has learned as much from its own requests and the states of its peers.
	warmUpTimeout = 5 * time.Second
	// engineQueryTimeout is the timeout of a query to one engine.
	engineQueryTimeout = 500 * time.Millisecond
	// maxConcurrentEngineQueries bounds the concurrent queries.
	maxConcurrentEngineQueries = 8
)

// warmUpSource returns the source from which a newly started daemon loads the cached prefix
// parts: a peer of its zone that knows them, or the engines if no peer of the zone does and
// this daemon has the lowest ID of the zone. It returns nil and false if there is no source
// yet.
func warmUpSource(self *pb.Member, peers []*pb.Member) (peer *pb.Member, queryEngines bool) {
	var warmPeers []*pb.Member
	hasLowestID := true
	for _, m := range peers {
		if m.Zone != self.Zone {
			continue
		}
		if m.KnowsPrompts {
			warmPeers = append(warmPeers, m)
		}
		hasLowestID = hasLowestID && self.Id < m.Id
	}
	if len(warmPeers) == 0 {
		return nil, hasLowestID
	}
	// The hash distributes daemons that start together over the peers.
	return warmPeers[placement.Hash(self.Id)%uint64(len(warmPeers))], false
}

// queryDelay returns the time after the start before this daemon queries engines.
func queryDelay(self *pb.Member, peers []*pb.Member) time.Duration {
	if len(peers) == 0 || zoneSize(self.Zone, peers) > 1 {
		return engineQueryDelay
	}
	return lonelyQueryDelay
}

// warmUp loads the cached prefix parts of each engine. Without them, the daemon would send
// prompts to engines that have not cached them and have to process them again; after a power
// failure all daemons would do so at the same time.
func (g *Gateway) warmUp(ctx context.Context) {
	started := time.Now()
	defer func() {
		g.cachedPartsKnown.Store(true)
		g.exchange.TriggerSend()
	}()
	for time.Since(started) < warmUpTimeout {
		select {
		case <-ctx.Done():
			return
		case <-time.After(warmUpPollInterval):
		}
		if !g.reader.ServersListed() || g.topology.Config() == nil {
			continue
		}
		self, peers := g.member(), g.exchange.Members()
		peer, queryEngines := warmUpSource(self, peers)
		switch {
		case peer != nil:
			if g.loadCachedPartsFromPeer(ctx, peer) {
				return
			}
		case queryEngines && time.Since(started) >= queryDelay(self, peers):
			g.loadCachedPartsFromEngines(ctx)
			return
		}
	}
}

// loadCachedPartsFromPeer loads the cached prefix parts of all engines from a peer. It returns
// false if the peer can't be reached.
func (g *Gateway) loadCachedPartsFromPeer(ctx context.Context, peer *pb.Member) bool {
	reply, err := g.exchange.PullCachedParts(ctx, peer.ControlAddress)
	if err != nil {
		g.logger.Warn("Could not load cached prefix parts.", "peer", peer.Id, "error", err)
		return false
	}
	totalParts := 0
	for _, s := range reply.Servers {
		parts := decodeCachedParts(s)
		totalParts += len(parts)
		g.scheduler.AddCachedParts(s.Server, parts, time.Now())
	}
	g.logger.Info("Cached prefix parts loaded.", "peer", peer.Id, "servers", len(reply.Servers), "parts", totalParts)
	return true
}

// loadCachedPartsFromEngines queries all ready engines. The cached prefix parts of an engine
// that does not answer become known with the requests that are sent to it.
func (g *Gateway) loadCachedPartsFromEngines(ctx context.Context) {
	config := g.topology.Config()
	var queries sync.WaitGroup
	semaphore := make(chan struct{}, maxConcurrentEngineQueries)
	engines := 0
	for _, s := range g.topology.Servers() {
		service := config.Service(s.Service)
		if service == nil || service.EngineSlots == 0 || s.State != routing.Ready {
			continue
		}
		engines++
		semaphore <- struct{}{}
		queries.Go(func() {
			defer func() { <-semaphore }()
			g.loadCachedPartsFromEngine(ctx, s)
		})
	}
	queries.Wait()
	g.logger.Info("Engines queried for cached prefix parts.", "engines", engines)
}

func (g *Gateway) loadCachedPartsFromEngine(ctx context.Context, s routing.Server) {
	ctx, cancel := context.WithTimeout(ctx, engineQueryTimeout)
	defer cancel()
	parts, err := g.platform.Engines.CachedParts(ctx, s.Address)
	if err != nil {
		g.logger.Warn("Could not load cached prefix parts.", "server", s.ID, "loaded", len(parts), "error", err)
	}
	if len(parts) == 0 {
		return
	}
	cached := make([]placement.CachedPart, 0, len(parts))
	for _, p := range parts {
		cached = append(cached, placement.CachedPart{Part: p})
	}
	g.scheduler.AddCachedParts(placement.Hash(s.ID), cached, time.Now())
}

// cachedPartsMessage returns the cached prefix parts of all engines, which peers pull.
func (g *Gateway) cachedPartsMessage() *pb.Prompts {
	out := &pb.Prompts{}
	for server, parts := range g.scheduler.CachedParts(time.Now()) {
		out.Servers = append(out.Servers, encodeCachedParts(server, parts))
	}
	return out
}

func encodeCachedParts(server uint64, parts []placement.CachedPart) *pb.ServerPrompts {
	message := &pb.ServerPrompts{Server: server}
	for _, p := range parts {
		message.Parts = append(message.Parts, p.ID)
		message.Tokens = append(message.Tokens, uint32(p.Tokens))
		message.AgeMs = append(message.AgeMs, uint32(max(p.Age, 0).Milliseconds()))
	}
	return message
}

func decodeCachedParts(message *pb.ServerPrompts) []placement.CachedPart {
	if len(message.Tokens) != len(message.Parts) || len(message.AgeMs) != len(message.Parts) {
		return nil // inconsistent: sent by a daemon of another version
	}
	parts := make([]placement.CachedPart, 0, len(message.Parts))
	for i, id := range message.Parts {
		parts = append(parts, placement.CachedPart{
			Part: placement.Part{ID: id, Tokens: int(message.Tokens[i])},
			Age:  time.Duration(message.AgeMs[i]) * time.Millisecond,
		})
	}
	return parts
}
