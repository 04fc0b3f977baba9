package placement

import (
	"time"

	"github.com/filbertrill/filbertrill/internal/routing"
)

const (
	// slowdownGain is the weight of the newest observation in server.slowdown.
	slowdownGain = 0.08
	// failureGain is the weight of the newest outcome in a server's failure rate.
	failureGain = 0.2
	// failureDecay is the time constant by which a server's failure rate decays, so that a server
	// that failed is tried again.
	failureDecay = 4 * time.Second
	// overdueSlack is the wait for a first event, beyond twice the prediction, that isn't counted
	// against a server.
	overdueSlack = 300 * time.Millisecond
	// maxSlowdown bounds server.slowdown.
	maxSlowdown = 6
)

// Attempt is one request in flight at a server.
type Attempt struct {
	server         *server
	request        Request
	load           Load // added to the server
	sentAt         time.Time
	predicted      time.Duration
	prefillTokens  int  // tokens pending at the server at the start, plus the own uncached ones
	running        int  // other requests at the server at the start
	sentCold       bool // the server was cold at the start
	firstEventSeen bool
	sound          bool // see SetSound
	broken         bool // see SetBroken
	ended          bool
}

// Start records that the request is sent to the chosen server. It returns an attempt that has
// ended if the server is no longer known.
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
		sentCold:      s.cold(now),
	}
	if r.Engine {
		a.load.PendingTokens = c.UncachedTokens
		s.cache.add(r.Parts, now)
		if part, tokens, ok := r.sharedPrefix(); ok && tokens >= minPlacementTokens {
			b.recentPlacements = append(b.recentPlacements, Placement{Server: s.hash, Part: part, Tokens: tokens, sentAt: now})
		}
	}
	if s.ownLoad.Running == 0 {
		s.heardAt = now
	}
	s.ownLoad = s.ownLoad.Plus(a.load)
	b.loaded[s] = true
	s.awaitingFirstEvent[a] = struct{}{}
	return a
}

// Server returns the ServerIdentity of the server. ok is false for a server that was no longer known at the start.
func (a *Attempt) Server() (hash uint64, ok bool) {
	if a.server == nil {
		return 0, false
	}
	return a.server.identity, true
}

// Draining reports whether the server was leaving when it was last heard of.
func (a *Attempt) Draining() bool { return a.server != nil && a.server.State != routing.Ready }

// SharedParts returns the IDs of the prompt parts that other requests may share.
func (a *Attempt) SharedParts() []uint64 { return a.request.SharedParts() }

// SetSound marks the attempt as one whose answer has gone on after its begin. It returns false if it was marked before.
func (a *Attempt) SetSound() bool {
	wasSound := a.sound
	a.sound = true
	return !wasSound
}

// Sound reports whether SetSound was called.
func (a *Attempt) Sound() bool { return a.sound }

// SetBroken records that the server has closed the connection.
func (a *Attempt) SetBroken() { a.broken = true }

// SentAt returns the time of the start.
func (a *Attempt) SentAt() time.Time { return a.sentAt }

// RecordFirstEvent records the first event of the attempt, or the answer of a plain service.
// Further calls record that the server still answers.
func (b *Balancer) RecordFirstEvent(a *Attempt, now time.Time) {
	if a.ended {
		return
	}
	s := a.server
	endedSilence := s.recordHeard(now)
	if a.firstEventSeen {
		return
	}
	a.firstEventSeen = true
	delete(s.awaitingFirstEvent, a)
	s.ownLoad.PendingTokens -= a.load.PendingTokens
	a.load.PendingTokens = 0
	heldUp := a.heldUp(now)
	if heldUp && !endedSilence {
		return
	}
	took := now.Sub(a.sentAt).Seconds()
	if !a.request.Engine {
		if !b.overloaded || took < s.plain.average { // its own delay makes no answer faster
			s.plain.observe(took)
		}
		return
	}
	if b.overloaded {
		return
	}
	m := b.regression(s.Service)
	expected := m.predict(a.prefillTokens, a.running, 1).Seconds()
	switch {
	case a.sentCold:
		b.recordCold(s, took/expected)
		if !s.wasCold {
			return // the server has become warm since
		}
	case !heldUp: // the model is that of all servers
		m.observe(a.prefillTokens, a.running, took/s.slowdown)
	}
	s.slowdown += slowdownGain * (clamp(took/expected, 0.5, maxSlowdown) - s.slowdown)
	s.slowdown = clamp(s.slowdown, 0.7, maxSlowdown)
}

// Outcome is how an attempt ended.
type Outcome int

// The outcomes of attempts.
const (
	Served    Outcome = iota
	Failed            // the server broke the connection, failed or refused
	Abandoned         // the caller left, or the deadline passed: the server is judged by its silence alone
)

// End records the end of the attempt. Further calls have no effect.
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
	if s.ownLoad.Running == 0 {
		delete(b.loaded, s)
	}
	switch o {
	case Served:
		s.recordOutcome(false, false, now)
	case Failed:
		s.recordOutcome(true, !a.broken && s.isSilent(a, now), now)
		s.cache.removeLast(a.request.Parts)
	case Abandoned:
		if a.wasOverdue(now) {
			s.recordOutcome(true, true, now)
		}
	}
}

func clamp(x, low, high float64) float64 { return min(max(x, low), high) }
