package forward

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/filbertrill/filbertrill/internal/recovery"
	"github.com/filbertrill/filbertrill/internal/routing"
)

const (
	// Callers abandon a stream after a time without an event: the longest of minCallerPatience, callerPatienceObjectives objectives and
	// callerPatienceGaps times the MaxTokenGap (the users' wire page).
	minCallerPatience        = 2 * time.Second
	callerPatienceObjectives = 4
	callerPatienceGaps       = 8
	// checkTimeFraction is the part of the time after which a server counts as silent that it has to show that it runs.
	checkTimeFraction = 3
)

// callerPatience returns the time without an event after which callers abandon a stream of the route.
func callerPatience(r *routing.Route) time.Duration {
	return max(minCallerPatience, callerPatienceObjectives*r.Objective, callerPatienceGaps*r.MaxTokenGap)
}

// silenceCheck asks the silent server of a stream whether it runs.
type silenceCheck struct {
	cancel context.CancelFunc
	done   chan struct{}
	err    error // nil if the server has answered; set before done is closed
	seen   bool  // by noticeCheck
}

// startCheck asks the server of the current attempt, which has the given time to answer.
func (g *hedger) startCheck(timeout time.Duration) *silenceCheck {
	ctx, cancel := context.WithTimeout(g.ctx, timeout)
	check, c, e := &silenceCheck{cancel: cancel, done: make(chan struct{})}, g.call, g.current.endpoint
	go func() {
		defer g.notify()
		defer close(check.done)
		defer cancel()
		defer func() {
			if p := recovery.NewPanic(recover()); p != nil {
				check.err = p
			}
		}()
		check.err = g.h.probe(ctx, c, e)
	}()
	return check
}

// checkTime returns how long the silent server of a stream has to answer the check.
func (g *hedger) checkTime() time.Duration {
	return min(hedgeRetryInterval, g.tokenGapTimeout()/checkTimeFraction)
}

// streamSilentSince states that the server of the current attempt, which has begun a stream, is silent from now on.
func (g *hedger) streamSilentSince(now time.Time) {
	g.endCheck()
	g.silentSince = now
	g.nextStart = now.Add(g.tokenGapTimeout())
}

func (g *hedger) endCheck() {
	if g.check != nil {
		g.check.cancel()
		g.check = nil
	}
}

// waitsForServer reports whether the silent server of a stream behind its begin is waited for, and sets the time of the next decision. The server
// is asked once in each silence. If it answers, another one is asked only when the caller's patience is nearly used: the first one is given up for that
// one, which may have nothing to go on with where the first one would have ended the stream.
func (g *hedger) waitsForServer(now time.Time) bool {
	if g.current == nil || g.ending || !g.overlapLimited() || len(g.pending) > 0 || g.silentSince.IsZero() {
		return false
	}
	if g.check == nil {
		g.check = g.startCheck(g.checkTime())
		g.nextStart = now.Add(g.checkTime())
		return true
	}
	if !g.check.seen || g.check.err != nil {
		return false
	}
	end := g.silentSince.Add(callerPatience(g.call.route))
	if g.call.deadline.Before(end) {
		end = g.call.deadline
	}
	last := end.Add(-g.call.route.Objective - hedgeRetryInterval) // the other server needs time for its first event
	if !now.Before(last) {
		return false
	}
	g.nextStart = last
	return true
}

// noticeCheck makes the next decision due at once if the silent server has answered, or can't.
func (g *hedger) noticeCheck(now time.Time) {
	check := g.check
	if check == nil || check.seen {
		return
	}
	select {
	case <-check.done:
		check.seen = true
		var p *recovery.Panic
		if errors.As(check.err, &p) {
			g.h.recordPanic(g.call, p)
		}
		g.nextStart = now
	default:
	}
}
