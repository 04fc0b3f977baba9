package attempt

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/filbertrill/filbertrill/internal/answer"
	"github.com/filbertrill/filbertrill/internal/backend"
)

// trailerTimeout is how long to wait for the end of an engine's HTTP response after the end marker of
// the stream.
const trailerTimeout = 100 * time.Millisecond

// Causes with which a watchdog cancels the context of a connection.
var (
	errSilent = errors.New("connection received no data for the idle limit")
	errLate   = errors.New("answer did not start before its deadline")
	// errReplaced cancels the context of an attempt.
	errReplaced = errors.New("another backend server has accepted the request")
)

// callerError is an error of a write to the caller.
type callerError struct{ error }

// Unwrap returns the error of the write.
func (e callerError) Unwrap() error { return e.error }

// maxStallFactor is the longest time without an event, as a multiple of the idle limit, while data that
// is no complete event arrives. Engines may send comments to keep a connection open.
const maxStallFactor = 3

// watchdog implements backend.ReadHooks. It cancels a connection to an engine if the connection
// receives no data for the idle limit, no event for maxStallFactor times that, or no event before the
// deadline. It flushes the answer to the caller before each read.
type watchdog struct {
	idleLimit     time.Duration
	deadline      time.Time // of the first event; zero if there is none
	starting      bool      // the header is awaited: only the deadline applies
	flush         func() error
	timer         *time.Timer
	lastEvent     time.Time   // or begin of the connection; time in which the caller was slow does not count
	deadlineFirst atomic.Bool // the timer is set to the deadline, not to the idle limit
}

// watch starts the timer, which calls cancel when it expires. It returns a function that stops the
// timer.
func (w *watchdog) watch(cancel context.CancelCauseFunc) func() {
	// The hour is a placeholder: start sets the timeout.
	w.timer = time.AfterFunc(time.Hour, func() { cancel(w.cause()) })
	w.lastEvent = time.Now()
	w.start()
	return func() { w.timer.Stop() }
}

// cause returns the cause with which an expired timer cancels the connection.
func (w *watchdog) cause() error {
	if w.deadlineFirst.Load() {
		return errLate
	}
	return errSilent
}

// recordEvent records that an event has arrived.
func (w *watchdog) recordEvent() { w.lastEvent = time.Now() }

// start sets the timer to the idle limit, the longest stall or the deadline, whichever comes first.
func (w *watchdog) start() {
	timeout := min(w.idleLimit, time.Until(w.lastEvent.Add(maxStallFactor*w.idleLimit)))
	deadlineFirst := false
	if !w.deadline.IsZero() {
		remaining := time.Until(w.deadline)
		deadlineFirst = w.starting || remaining < timeout
		if deadlineFirst {
			timeout = remaining
		}
	}
	w.deadlineFirst.Store(deadlineFirst)
	w.timer.Reset(timeout)
}

// BeforeRead flushes the answer to the caller and starts the timer. An error is a callerError.
func (w *watchdog) BeforeRead() error {
	started := time.Now()
	if err := w.flush(); err != nil {
		return callerError{err}
	}
	w.lastEvent = w.lastEvent.Add(time.Since(started))
	w.start()
	return nil
}

// AfterRead stops the timer.
func (w *watchdog) AfterRead() { w.timer.Stop() }

// eventForError returns the answer event for an error of a connection, which has the context connCtx.
// If starting is true, the connection was opened to start the attempt, not to resume it.
func eventForError(ctx, connCtx context.Context, err error, starting bool) answer.Event {
	var caller callerError
	var status *backend.StatusError
	cause := context.Cause(connCtx)
	switch {
	case errors.As(err, &caller):
		return eventForCallerError(err)
	case ctx.Err() != nil:
		return eventForEnd(ctx)
	case starting && errors.Is(err, backend.ErrNotSent):
		return answer.NotSent{}
	case errors.Is(cause, errLate):
		return answer.DeadlineExceeded{}
	case errors.Is(cause, errSilent):
		return answer.IdleTimeout{}
	case errors.Is(err, backend.ErrAttemptUnknown):
		return answer.AttemptUnknown{}
	case starting && errors.As(err, &status):
		return answer.ErrorStatus{}
	}
	return answer.ConnectionLost{}
}

// eventForEnd returns the answer event for the end of the context of an attempt.
func eventForEnd(ctx context.Context) answer.Event {
	if errors.Is(context.Cause(ctx), errReplaced) {
		return answer.Replaced{}
	}
	return answer.CallerGone{}
}
