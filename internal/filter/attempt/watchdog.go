package attempt

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/filbertrill/filbertrill/internal/answer"
	"github.com/filbertrill/filbertrill/internal/backend"
)

// trailerLimit bounds the wait for the end of an engine's answer after its end marker.
const trailerTimeout = 100 * time.Millisecond

// Causes for which a guard ends a connection.
var (
	errSilent = errors.New("connection is silent")
	errLate   = errors.New("answer did not begin before its deadline")
)

// callerError is a failure to write to the caller.
type callerError struct{ error }

// Unwrap returns the failure.
func (e callerError) Unwrap() error { return e.error }

// guard ends a connection that is silent for the idle limit, or that brings no event
// before the deadline. It sends what was written to the caller before it waits.
type watchdog struct {
	idleLimit     time.Duration
	deadline      time.Time // for the first event; zero when there is none
	flush         func() error
	timer         *time.Timer
	deadlineFirst atomic.Bool // the timer waits for the deadline
}

// watch makes the timer end a connection's context. It returns what ends the watch.
func (g *watchdog) watch(cancel context.CancelCauseFunc) func() {
	g.timer = time.AfterFunc(time.Hour, func() { cancel(g.cause()) })
	g.start()
	return func() { g.timer.Stop() }
}

func (g *watchdog) cause() error {
	if g.deadlineFirst.Load() {
		return errLate
	}
	return errSilent
}

func (g *watchdog) start() {
	timeout := g.idleLimit
	deadlineFirst := false
	if !g.deadline.IsZero() {
		remaining := time.Until(g.deadline)
		deadlineFirst = remaining < timeout
		timeout = min(timeout, remaining)
	}
	g.deadlineFirst.Store(deadlineFirst)
	g.timer.Reset(timeout)
}

// BeforeRead sends what was written to the caller, and starts the idle limit.
func (g *watchdog) BeforeRead() error {
	if err := g.flush(); err != nil {
		return callerError{err}
	}
	g.start()
	return nil
}

// AfterRead stops the idle limit.
func (g *watchdog) AfterRead() { g.timer.Stop() }

// eventOf tells what an error of a connection means for the answer.
func eventForError(ctx, connCtx context.Context, err error, starting bool) answer.Event {
	var caller callerError
	var status *backend.StatusError
	cause := context.Cause(connCtx)
	switch {
	case errors.As(err, &caller):
		return eventForCallerError(err)
	case ctx.Err() != nil:
		return answer.CallerGone{}
	case starting && errors.Is(err, backend.ErrNotSent):
		return answer.NotSent{}
	case errors.Is(cause, errLate):
		return answer.Late{}
	case errors.Is(cause, errSilent):
		return answer.Silent{}
	case errors.Is(err, backend.ErrForgotten):
		return answer.Forgotten{}
	case starting && errors.As(err, &status):
		return answer.Refused{}
	}
	return answer.Broken{}
}
