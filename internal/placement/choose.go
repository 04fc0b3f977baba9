package placement

import (
	"math"
	"time"
)

// Choose returns the server with the lowest score for the request, without the excluded server
// IDs. The result is false when there is none that is available.
func (b *Balancer) Choose(r Request, excluded map[string]bool, now time.Time) (Choice, bool) {
	return b.chooseIf(r, func(s *server) bool { return !excluded[s.ID] }, prefillWeight, now)
}

// ChooseServer is like Choose for the server with the ID alone.
func (b *Balancer) ChooseServer(r Request, id string, now time.Time) (Choice, bool) {
	return b.chooseIf(r, func(s *server) bool { return s.ID == id }, prefillWeight, now)
}

// ChooseElsewhere is like Choose among the servers of other zones, without the cost of bytes between
// zones.
func (b *Balancer) ChooseElsewhere(r Request, now time.Time) (Choice, bool) {
	r.BodyBytes = 0
	return b.chooseIf(r, func(s *server) bool { return s.Zone != b.zone }, prefillWeight, now)
}

// ChooseInAnyZone is like Choose but without the cost of bytes between zones.
func (b *Balancer) ChooseInAnyZone(r Request, now time.Time) (Choice, bool) {
	r.BodyBytes = 0
	return b.chooseIf(r, func(*server) bool { return true }, prefillWeight, now)
}

// ChooseFastest is like Choose but without the penalty for prefill and the cost of bytes between
// zones: it prefers the server with the earliest predicted first event, however much of the prompt is
// prefilled again there.
func (b *Balancer) ChooseFastest(r Request, now time.Time) (Choice, bool) {
	r.BodyBytes = 0
	return b.chooseIf(r, func(*server) bool { return true }, 0, now)
}

// chooseIf returns the server with the lowest score among those for which eligible returns true.
// weight is the penalty for a token to prefill, as a multiple of its prefill time.
func (b *Balancer) chooseIf(r Request, eligible func(*server) bool, weight float64, now time.Time) (Choice, bool) {
	r.Certain = r.Certain || r.PreferCertain && b.anyCertain(r)
	b.expirePeerLoads(now)
	candidates := b.candidates(r)
	home, coeffs := home(candidates, r, now), b.coefficients(r.Service, now)
	sources := b.fetchSources(candidates, r, now)
	peerRunning := 0.0 // for each slot, at plain services
	if !r.Engine {
		peerRunning = b.peerRunningPerSlot(r.Service)
	}
	best, found, bestScore := Choice{}, false, math.Inf(1)
	for s := range b.rotate(candidates) {
		if !eligible(s) || !r.allows(s) || r.Certain && b.mayHaveChanged(s) || !b.available(s.identity, now) {
			continue
		}
		c := b.predict(s, r, coeffs, s == home, sources.of(s.Version), peerRunning, now)
		score := b.score(s, c, r, weight*coeffs.perToken(), now) + fetchWeight*coeffs.perToken()*float64(c.FetchedTokens)
		score += s.stallPenalty(c, r, coeffs.perToken(), now)
		if score < bestScore {
			best, found, bestScore = c, true, score
		}
	}
	return best, found
}

// predict returns the choice of the server with its predictions filled in.
func (b *Balancer) predict(s *server, r Request, coeffs coefficients, home bool, src *fetchSource, peerRunning float64, now time.Time) Choice {
	c := Choice{Server: s.Server, Load: b.load(s), Home: home, Uncertain: b.mayHaveChanged(s)}
	slowdown := b.currentSlowdown(s, now)
	if !r.Engine {
		c.Load.Running = s.ownLoad.Running + int(math.Round(peerRunning*float64(max(1, s.Slots))))
		waiting := max(0, c.Load.Running+1-s.Slots)
		rounds := 1 + float64(waiting)/float64(max(1, s.Slots))
		c.Predicted = seconds(s.plain.average * rounds)
		c.PredictedIdle = seconds(min(s.plain.idle, s.plain.average))
		if c.Load.Running == 0 {
			c.PredictedIdle = c.Predicted // only requests that are sent can correct it
		}
		return c
	}
	c.UncachedTokens = s.uncachedTokens(r, home, now)
	b.planFetch(&c, r, src)
	fetching := b.fetchTime(r.Service, c.FetchedTokens)
	c.Predicted = coeffs.predict(c.Load.PendingTokens+c.UncachedTokens, c.Load.Running, slowdown) + fetching
	c.PredictedIdle = coeffs.predict(c.UncachedTokens, 0, slowdown) + fetching
	c.PromptRun = seconds(coeffs.perToken() * float64(c.Load.PendingTokens+c.UncachedTokens) * slowdown)
	c.Prefill = seconds(coeffs.perToken() * float64(c.UncachedTokens) * slowdown)
	if excess := c.Load.Running + 1 - s.Slots; s.Slots > 0 && excess > 0 {
		// A slot frees about each time that a stream ends; streams last a second or more.
		c.Predicted += time.Duration(excess) * time.Second / time.Duration(s.Slots)
	}
	return c
}

// score returns the cost of the choice in seconds. prefillPenalty is the penalty in seconds for
// each uncached token.
func (b *Balancer) score(s *server, c Choice, r Request, prefillPenalty float64, now time.Time) float64 {
	score := c.Predicted.Seconds()
	score += prefillPenalty * float64(c.UncachedTokens) * s.slowdown
	if s.Zone != b.zone {
		score += crossZonePenalty.Seconds() + crossZoneByteCost*float64(r.BodyBytes)
	}
	score += s.plain.average * float64(c.Load.Running) / float64(max(1, s.Slots))
	score += failurePenalty.Seconds() * s.failureRate(now)
	score += s.overdue(now).Seconds()
	return score
}

// home returns the candidate that all daemons prefer for the shared prefix of the prompt (rendezvous
// hashing, Thaler and Ravishankar 1998). It returns nil when the prompt has no shared prefix or a
// server is known to have it cached.
func home(candidates []*server, r Request, now time.Time) *server {
	shared, _, ok := r.sharedPrefix()
	if !ok {
		return nil
	}
	var best *server
	var bestWeight uint64
	for _, s := range candidates {
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

// uncachedTokens returns the prompt tokens of the request that the server has yet to prefill.
func (s *server) uncachedTokens(r Request, home bool, now time.Time) int {
	cached := s.cache.prefixTokens(r.Parts, now)
	if home {
		_, shared, _ := r.sharedPrefix()
		cached = max(cached, int(homeCachedShare*float64(shared)))
	}
	return max(0, r.PromptTokens-cached)
}

// overdue returns by how much the most overdue attempt exceeds twice its predicted time to the
// first event plus overdueSlack, or 0 if none does.
func (s *server) overdue(now time.Time) time.Duration {
	var longest time.Duration
	for a := range s.awaitingFirstEvent {
		if overdue := now.Sub(a.sentAt) - overdueTime(a.predicted); overdue > longest {
			longest = overdue
		}
	}
	return longest
}
