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
	// questionTimeFraction is the part of the time until another attempt is due in which a silent server can show that it runs.
	questionTimeFraction = 3
)

// callerPatience returns the time without an event after which callers abandon a stream of the route.
func callerPatience(r *routing.Route) time.Duration {
	return max(minCallerPatience, callerPatienceObjectives*r.Objective, callerPatienceGaps*r.MaxTokenGap)
}

// question is a request that asks the silent server of a stream whether it runs.
type question struct {
	cancel context.CancelFunc
	done   chan struct{}
	err    error // nil if the server has answered; set before done is closed
	seen   bool  // by noticeAnswer
}

// ask asks the server of the current attempt. It gives the server the time.
func (g *hedger) ask(timeout time.Duration) *question {
	ctx, cancel := context.WithTimeout(g.ctx, timeout)
	q, c, e := &question{cancel: cancel, done: make(chan struct{})}, g.call, g.current.endpoint
	go func() {
		defer g.notify()
		defer close(q.done)
		defer cancel()
		defer func() {
			if p := recovery.NewPanic(recover()); p != nil {
				q.err = p
			}
		}()
		q.err = g.h.probe(ctx, c, e)
	}()
	return q
}

// questionTime returns how long the server of a stream has to answer the question before another attempt is due.
func (g *hedger) questionTime() time.Duration {
	return min(hedgeRetryInterval, g.tokenGapTimeout()/questionTimeFraction)
}

// streamSilentSince states that the server of the current attempt, which has begun a stream, is silent from now on.
func (g *hedger) streamSilentSince(now time.Time) {
	g.endQuestion()
	g.silentSince = now
	g.nextStart = now.Add(g.tokenGapTimeout() - g.questionTime())
}

func (g *hedger) endQuestion() {
	if g.question != nil {
		g.question.cancel()
		g.question = nil
	}
}

// waitsForServer reports whether the silent server of a stream behind its begin is waited for, and sets the time of the next decision. The server
// is asked once in each silence. If it answers, another one is asked only when the caller's patience is nearly used: the first one is given up for that
// one, which may have nothing to go on with where the first one would have ended the stream.
func (g *hedger) waitsForServer(now time.Time) bool {
	if g.current == nil || g.ending || !g.overlapLimited() || len(g.pending) > 0 || g.silentSince.IsZero() {
		return false
	}
	if g.question == nil {
		g.question = g.ask(g.questionTime())
		g.nextStart = now.Add(g.questionTime())
		return true
	}
	if !g.question.seen || g.question.err != nil {
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

// noticeAnswer makes the next decision due at once if the silent server has answered, or can't.
func (g *hedger) noticeAnswer(now time.Time) {
	q := g.question
	if q == nil || q.seen {
		return
	}
	select {
	case <-q.done:
		q.seen = true
		var p *recovery.Panic
		if errors.As(q.err, &p) {
			g.h.recordPanic(g.call, p)
		}
		g.nextStart = now
	default:
	}
}
