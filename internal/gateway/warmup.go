package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/filbertrill/filbertrill/internal/exchange/pb"
	"github.com/filbertrill/filbertrill/internal/placement"
	"github.com/filbertrill/filbertrill/internal/routing"
)

// Engines tells what backend servers keep.
type Engines interface {
	// CachedParts returns the parts of prompts that the engine at the address keeps.
	CachedParts(ctx context.Context, address string) ([]placement.Part, error)
}

const (
	// warmUpTick is the time between two looks for somebody who knows the prompts.
	warmUpPollInterval = 50 * time.Millisecond
	// askEnginesAfter is the time after the start before which peers are waited for: they say
	// that they are there within a few states.
	engineQueryDelay = 250 * time.Millisecond
	// warmUpFor is the time after the start after which what the daemon has sent itself, and
	// heard of its peers, is worth as much.
	warmUpTimeout = 5 * time.Second
	// enginesTimeout bounds the wait for one engine, enginesAtOnce the calls at a time.
	engineQueryTimeout = 500 * time.Millisecond
	maxEngineQueries   = 8
)

// warmSource says whom a daemon that has just started asks where prompts are kept: a peer of its
// zone that knows, or the engines when it is the first of a zone in which nobody does.
func warmUpSource(self *pb.Member, peers []*pb.Member) (peer *pb.Member, engines bool) {
	var warmPeers []*pb.Member
	first := true
	for _, m := range peers {
		if m.Zone != self.Zone {
			continue
		}
		if m.KnowsPrompts {
			warmPeers = append(warmPeers, m)
		}
		first = first && self.Id < m.Id
	}
	if len(warmPeers) == 0 {
		return nil, first
	}
	// Daemons that start together don't all ask the same one.
	return warmPeers[placement.Hash(self.Id)%uint64(len(warmPeers))], false
}

// warmUp learns which engines keep which prompts. A daemon that does not know reads them again,
// where it should not: after a loss of power the whole fleet at once.
func (g *Gateway) warmUp(ctx context.Context) {
	started := time.Now()
	defer func() {
		g.cachedPartsKnown.Store(true)
		g.exchange.Wake()
	}()
	for time.Since(started) < warmUpTimeout {
		select {
		case <-ctx.Done():
			return
		case <-time.After(warmUpPollInterval):
		}
		if !g.reader.Listed() || g.topology.Config() == nil {
			continue
		}
		peer, engines := warmUpSource(g.member(), g.exchange.Members())
		switch {
		case peer != nil:
			if g.loadCachedPartsFromPeer(ctx, peer) {
				return
			}
		case engines && time.Since(started) >= engineQueryDelay:
			g.loadCachedPartsFromEngines(ctx)
			return
		}
	}
}

func (g *Gateway) loadCachedPartsFromPeer(ctx context.Context, peer *pb.Member) bool {
	reply, err := g.exchange.PullPrompts(ctx, peer.ControlAddress)
	if err != nil {
		g.logger.Warn("Prompts not learnt.", "peer", peer.Id, "error", err)
		return false
	}
	totalParts := 0
	for _, s := range reply.Servers {
		parts := decodeCachedParts(s)
		totalParts += len(parts)
		g.pilot.Learn(s.Server, parts, time.Now())
	}
	g.logger.Info("Prompts learnt.", "peer", peer.Id, "servers", len(reply.Servers), "parts", totalParts)
	return true
}

// promptsOfEngines asks all engines. One that does not answer is learnt about by sending to it.
func (g *Gateway) loadCachedPartsFromEngines(ctx context.Context) {
	config := g.topology.Config()
	var queries sync.WaitGroup
	semaphore := make(chan struct{}, maxEngineQueries)
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
	g.logger.Info("Engines asked for their prompts.", "engines", engines)
}

func (g *Gateway) loadCachedPartsFromEngine(ctx context.Context, s routing.Server) {
	ctx, cancel := context.WithTimeout(ctx, engineQueryTimeout)
	defer cancel()
	parts, err := g.platform.Engines.CachedParts(ctx, s.Address)
	if err != nil {
		g.logger.Warn("Prompts not learnt.", "server", s.ID, "error", err)
		return
	}
	cached := make([]placement.CachedPart, 0, len(parts))
	for _, p := range parts {
		cached = append(cached, placement.CachedPart{Part: p})
	}
	g.pilot.Learn(placement.Hash(s.ID), cached, time.Now())
}

// prompts are what peers pull.
func (g *Gateway) cachedPartsMessage() *pb.Prompts {
	out := &pb.Prompts{}
	for server, parts := range g.pilot.Kept(time.Now()) {
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
		return nil // of another version
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
