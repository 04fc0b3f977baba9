package placement

import (
	"math"
	"time"
)

// An engine processes prompts between the tokens of its running streams, so that a long prompt, or several in a row, hold
// these up. Long prompts are therefore sent to few servers, as many as they need at the time, and streams to the others:
// which servers these are follows the load, none is set aside.
const (
	// stallShare is the share of Request.MaxGap for which a server may process prompts without a break. An event has several
	// tokens, and each takes a step of the engine besides.
	stallShare = 0.5
	// stallWeight is the cost, in seconds of the request's own time to the first event, of each second for which each running
	// stream is held up beyond that.
	stallWeight = 0.25
	// maxStall bounds the time for which a stream counts as held up: it is late by then.
	maxStall = time.Second
	// avoidShare is the cost of a server that has processed a long prompt just now for other requests, as a share of
	// Request.MaxGap. It decays with avoidTime, the time in which most streams that run there end.
	avoidShare = 0.5
	avoidTime  = 3 * time.Second
)

// longRun returns the time from which prompts hold up streams, 0 if they don't matter.
func (r Request) longRun() time.Duration { return time.Duration(stallShare * float64(r.MaxGap)) }

// stallPenalty returns the cost in seconds of the choice of the server for the streams that run there and for the request's own
// one.
func (s *server) stallPenalty(c Choice, r Request, perToken float64, now time.Time) float64 {
	if r.MaxGap <= 0 || !r.Engine {
		return 0
	}
	long := r.longRun()
	pending := seconds(perToken * float64(c.Load.PendingTokens))
	if pending > long {
		s.longPromptAt = now
	}
	penalty := stallWeight * min(max(0, c.PromptRun-long), maxStall).Seconds() * float64(c.Load.Running)
	if c.PromptRun-pending > long {
		return penalty
	}
	if age := now.Sub(s.longPromptAt); age < 4*avoidTime {
		penalty += avoidShare * r.MaxGap.Seconds() * math.Exp(-age.Seconds()/avoidTime.Seconds())
	}
	return penalty
}
