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
	// Kept returns the parts of prompts that the engine at the address keeps.
	Kept(ctx context.Context, address string) ([]placement.Part, error)
}

const (
	// warmUpTick is the time between two looks for somebody who knows the prompts.
	warmUpTick = 50 * time.Millisecond
	// askEnginesAfter is the time after the start before which peers are waited for: they say
	// that they are there within a few states.
	askEnginesAfter = 250 * time.Millisecond
	// warmUpFor is the time after the start after which what the daemon has sent itself, and
	// heard of its peers, is worth as much.
	warmUpFor = 5 * time.Second
	// enginesTimeout bounds the wait for one engine, enginesAtOnce the calls at a time.
	enginesTimeout = 500 * time.Millisecond
	enginesAtOnce  = 8
)

// warmSource says whom a daemon that has just started asks where prompts are kept: a peer of its
// zone that knows, or the engines when it is the first of a zone in which nobody does.
func warmSource(self *pb.Member, others []*pb.Member) (peer *pb.Member, engines bool) {
	var knowing []*pb.Member
	first := true
	for _, m := range others {
		if m.Zone != self.Zone {
			continue
		}
		if m.KnowsPrompts {
			knowing = append(knowing, m)
		}
		first = first && self.Id < m.Id
	}
	if len(knowing) == 0 {
		return nil, first
	}
	// Daemons that start together don't all ask the same one.
	return knowing[placement.Hash(self.Id)%uint64(len(knowing))], false
}

// warmUp learns which engines keep which prompts. A daemon that does not know reads them again,
// where it should not: after a loss of power the whole fleet at once.
func (g *Gateway) warmUp(ctx context.Context) {
	started := time.Now()
	defer func() {
		g.knowsPrompts.Store(true)
		g.exchange.TriggerSend()
	}()
	for time.Since(started) < warmUpFor {
		select {
		case <-ctx.Done():
			return
		case <-time.After(warmUpTick):
		}
		if !g.reader.ServersListed() || g.topology.Config() == nil {
			continue
		}
		peer, engines := warmSource(g.member(), g.exchange.Members())
		switch {
		case peer != nil:
			if g.promptsOfPeer(ctx, peer) {
				return
			}
		case engines && time.Since(started) >= askEnginesAfter:
			g.promptsOfEngines(ctx)
			return
		}
	}
}

func (g *Gateway) promptsOfPeer(ctx context.Context, peer *pb.Member) bool {
	prompts, err := g.exchange.PullCachedParts(ctx, peer.ControlAddress)
	if err != nil {
		g.logger.Warn("Prompts not learnt.", "peer", peer.Id, "error", err)
		return false
	}
	total := 0
	for _, s := range prompts.Servers {
		parts := decodeParts(s)
		total += len(parts)
		g.pilot.AddCachedParts(s.Server, parts, time.Now())
	}
	g.logger.Info("Prompts learnt.", "peer", peer.Id, "servers", len(prompts.Servers), "parts", total)
	return true
}

// promptsOfEngines asks all engines. One that does not answer is learnt about by sending to it.
func (g *Gateway) promptsOfEngines(ctx context.Context) {
	config := g.topology.Config()
	var asked sync.WaitGroup
	atOnce := make(chan struct{}, enginesAtOnce)
	engines := 0
	for _, s := range g.topology.Servers() {
		service := config.Service(s.Service)
		if service == nil || service.EngineSlots == 0 || s.State != routing.Ready {
			continue
		}
		engines++
		atOnce <- struct{}{}
		asked.Go(func() {
			defer func() { <-atOnce }()
			g.promptsOfEngine(ctx, s)
		})
	}
	asked.Wait()
	g.logger.Info("Engines asked for their prompts.", "engines", engines)
}

func (g *Gateway) promptsOfEngine(ctx context.Context, s routing.Server) {
	ctx, cancel := context.WithTimeout(ctx, enginesTimeout)
	defer cancel()
	parts, err := g.handlers.Engines.Kept(ctx, s.Address)
	if err != nil {
		g.logger.Warn("Prompts not learnt.", "server", s.ID, "error", err)
		return
	}
	kept := make([]placement.CachedPart, 0, len(parts))
	for _, p := range parts {
		kept = append(kept, placement.CachedPart{Part: p})
	}
	g.pilot.AddCachedParts(placement.Hash(s.ID), kept, time.Now())
}

// prompts are what peers pull.
func (g *Gateway) prompts() *pb.Prompts {
	out := &pb.Prompts{}
	for server, parts := range g.pilot.CachedParts(time.Now()) {
		out.Servers = append(out.Servers, encodeParts(server, parts))
	}
	return out
}

func encodeParts(server uint64, parts []placement.CachedPart) *pb.ServerPrompts {
	s := &pb.ServerPrompts{Server: server}
	for _, p := range parts {
		s.Parts = append(s.Parts, p.ID)
		s.Tokens = append(s.Tokens, uint32(p.Tokens))
		s.AgeMs = append(s.AgeMs, uint32(max(p.Age, 0).Milliseconds()))
	}
	return s
}

func decodeParts(s *pb.ServerPrompts) []placement.CachedPart {
	if len(s.Tokens) != len(s.Parts) || len(s.AgeMs) != len(s.Parts) {
		return nil // of another version
	}
	parts := make([]placement.CachedPart, 0, len(s.Parts))
	for i, id := range s.Parts {
		parts = append(parts, placement.CachedPart{
			Part: placement.Part{ID: id, Tokens: int(s.Tokens[i])},
			Age:  time.Duration(s.AgeMs[i]) * time.Millisecond,
		})
	}
	return parts
}
