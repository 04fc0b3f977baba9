package placement

import "time"

const (
	// speedGain is the weight of the newest observation in a server's speed.
	slowdownGain = 0.08
	// latencyGain is the weight of the newest observation in a plain server's latency.
	plainLatencyGain = 0.1
	// failureGain is the weight of the newest outcome in a server's share of failures.
	failureGain = 0.2
	// failureFade is the time after which a server that failed is tried again in earnest.
	failureDecay = 4 * time.Second
	// silenceSlack is the wait for a first event, beyond twice the prediction, that is not
	// held against a server.
	overdueSlack = 300 * time.Millisecond
)

// Attempt is one request under way at a server.
type Attempt struct {
	server         *server
	request        Request
	load           Load // what it adds to the server
	sentAt         time.Time
	predicted      time.Duration
	prefillTokens  int // prompt tokens to read up to its own end
	running        int
	firstEventSeen bool
	ended          bool
}

// Start records that the request is sent to the server of the choice.
func (b *Balancer) Start(r Request, c Choice, now time.Time) *Attempt {
	s, ok := b.servers[c.Server.ID]
	if !ok {
		return &Attempt{ended: true}
	}
	a := &Attempt{
		server:        s,
		request:       r,
		load:          Load{Running: 1, MemoryTokens: r.PromptTokens + r.OutputTokens},
		sentAt:        now,
		predicted:     c.Predicted,
		prefillTokens: c.Load.PendingTokens + c.UncachedTokens,
		running:       c.Load.Running,
	}
	if r.Engine {
		a.load.PendingTokens = c.UncachedTokens
		s.cache.add(r.Parts, now)
		if part, tokens, ok := r.sharedPrefix(); ok && tokens >= minPlacementTokens {
			b.recentPlacements = append(b.recentPlacements, Placement{Server: s.hash, Part: part, Tokens: tokens, sentAt: now})
		}
	}
	s.ownLoad = s.ownLoad.plus(a.load)
	s.awaitingFirstEvent[a] = struct{}{}
	return a
}

// Begin records the first event, or the answer of a plain service.
func (b *Balancer) RecordFirstEvent(a *Attempt, now time.Time) {
	if a.firstEventSeen || a.ended {
		return
	}
	a.firstEventSeen = true
	s := a.server
	delete(s.awaitingFirstEvent, a)
	s.ownLoad.PendingTokens -= a.load.PendingTokens
	a.load.PendingTokens = 0
	if b.overloaded {
		return
	}
	took := now.Sub(a.sentAt).Seconds()
	if !a.request.Engine {
		if s.plainLatency == 0 {
			s.plainLatency = took
		}
		s.plainLatency += plainLatencyGain * (took - s.plainLatency)
		return
	}
	m := b.regression(s.Service)
	expected := m.predict(a.prefillTokens, a.running, 1).Seconds()
	m.observe(a.prefillTokens, a.running, took/s.slowdown)
	s.slowdown += slowdownGain * (clamp(took/expected, 0.5, 6) - s.slowdown)
	s.slowdown = clamp(s.slowdown, 0.7, 6)
}

// Outcome tells how an attempt ended.
type Outcome int

// The outcomes of attempts.
const (
	Served    Outcome = iota
	Failed            // the server broke off, failed or refused
	Abandoned         // the caller left, or time ran out before the server could be judged
)

// End records the end of the attempt. Further calls change nothing.
func (b *Balancer) End(a *Attempt, o Outcome, now time.Time) {
	if a.ended {
		return
	}
	a.ended = true
	s := a.server
	delete(s.awaitingFirstEvent, a)
	s.ownLoad.Running -= a.load.Running
	s.ownLoad.PendingTokens -= a.load.PendingTokens
	s.ownLoad.MemoryTokens -= a.load.MemoryTokens
	switch o {
	case Served:
		s.lastFailureRate = s.failureRate(now) * (1 - failureGain)
		s.lastOutcome = now
	case Failed:
		s.lastFailureRate = s.failureRate(now)*(1-failureGain) + failureGain
		s.lastOutcome = now
		s.cache.removeLast(a.request.Parts)
	case Abandoned:
	}
}

func clamp(x, low, high float64) float64 { return min(max(x, low), high) }
