package placement

import "time"

const (
	// speedGain is the weight of the newest observation in a server's speed.
	speedGain = 0.08
	// latencyGain is the weight of the newest observation in a plain server's latency.
	latencyGain = 0.1
	// failureGain is the weight of the newest outcome in a server's share of failures.
	failureGain = 0.2
	// failureFade is the time after which a server that failed is tried again in earnest.
	failureFade = 4 * time.Second
	// silenceSlack is the wait for a first event, beyond twice the prediction, that is not
	// held against a server.
	silenceSlack = 300 * time.Millisecond
)

// Attempt is one request under way at a server.
type Attempt struct {
	server    *server
	request   Request
	load      Load // what it adds to the server
	sent      time.Time
	predicted time.Duration
	ahead     int // prompt tokens to read up to its own end
	running   int
	begun     bool
	ended     bool
}

// Start records that the request is sent to the server of the choice.
func (b *Balancer) Start(r Request, c Choice, now time.Time) *Attempt {
	s, ok := b.servers[c.Server.ID]
	if !ok {
		return &Attempt{ended: true}
	}
	a := &Attempt{
		server:    s,
		request:   r,
		load:      Load{Running: 1, MemoryTokens: r.PromptTokens + r.OutputTokens},
		sent:      now,
		predicted: c.Predicted,
		ahead:     c.Load.PendingTokens + c.UncachedTokens,
		running:   c.Load.Running,
	}
	if r.Engine {
		a.load.PendingTokens = c.UncachedTokens
		s.cache.add(r.Parts, now)
		if part, tokens, ok := r.shared(); ok && tokens >= minShared {
			b.recent = append(b.recent, Placement{Server: s.hash, Part: part, Tokens: tokens, at: now})
		}
	}
	s.own = s.own.plus(a.load)
	s.oldest[a] = struct{}{}
	return a
}

// Begin records the first event, or the answer of a plain service.
func (b *Balancer) RecordFirstEvent(a *Attempt, now time.Time) {
	if a.begun || a.ended {
		return
	}
	a.begun = true
	s := a.server
	delete(s.oldest, a)
	s.own.PendingTokens -= a.load.PendingTokens
	a.load.PendingTokens = 0
	if b.delayed {
		return
	}
	took := now.Sub(a.sent).Seconds()
	if !a.request.Engine {
		if s.latency == 0 {
			s.latency = took
		}
		s.latency += latencyGain * (took - s.latency)
		return
	}
	m := b.model(s.Service)
	expected := m.predict(a.ahead, a.running, 1).Seconds()
	m.observe(a.ahead, a.running, took/s.speed)
	s.speed += speedGain * (clamp(took/expected, 0.5, 6) - s.speed)
	s.speed = clamp(s.speed, 0.7, 6)
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
	delete(s.oldest, a)
	s.own.Running -= a.load.Running
	s.own.PendingTokens -= a.load.PendingTokens
	s.own.MemoryTokens -= a.load.MemoryTokens
	switch o {
	case Served:
		s.failures = s.failureShare(now) * (1 - failureGain)
		s.failedAt = now
	case Failed:
		s.failures = s.failureShare(now)*(1-failureGain) + failureGain
		s.failedAt = now
		s.cache.forget(a.request.Parts)
	case Abandoned:
	}
}

func clamp(x, low, high float64) float64 { return min(max(x, low), high) }
