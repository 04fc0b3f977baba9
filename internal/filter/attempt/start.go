package attempt

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/filbertrill/filbertrill/internal/answer"
	"github.com/filbertrill/filbertrill/internal/backend"
)

// maxUnknown is how many successive times, an idle limit apart, an engine must deny to know an attempt whose request was sent
// on a connection that is still open.
const maxUnknown = 2

// opened is the result of opening a stream.
type opened struct {
	stream *backend.Stream
	err    error
	cancel context.CancelFunc // closes the connection
}

// close closes the connection of a stream that is not used.
func (o opened) close() {
	o.cancel()
	if o.stream != nil {
		o.stream.Close()
	}
}

// openAsync opens a stream in a goroutine. Cancelling ctx closes its connection.
func openAsync(ctx context.Context, open func(context.Context) (*backend.Stream, error)) (<-chan opened, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	results := make(chan opened, 1)
	go func() {
		stream, err := open(ctx)
		results <- opened{stream, err, cancel}
	}()
	return results, cancel
}

// post sends the request that starts the attempt.
func (a *chatAttempt) post(ctx context.Context) (*backend.Stream, error) {
	return a.engine.Start(ctx, a.server.Address, a.attemptID, a.body)
}

// start sends the request and waits for the header of the answer, until ctx ends. While the engine is silent, the connection
// stays open, because the engine may not have read the request yet. After each idle limit start tries to resume the attempt on
// another connection, as the first may be broken without an error.
func (a *chatAttempt) start(ctx context.Context) (*backend.Stream, error) {
	if a.accepted != nil {
		context.AfterFunc(ctx, a.accepted.cancel)
		return a.accepted.stream, a.accepted.err
	}
	posted, cancelPost := openAsync(ctx, a.post)
	for unknown := 0; ; {
		if o, ok := awaitOpened(posted, a.watchdog.idleLimit); ok {
			return o.stream, o.err
		}
		a.meter.recordInterruption()
		a.seekIf(a.step(answer.IdleTimeout{}))
		resumed, cancelResume := openAsync(ctx, func(ctx context.Context) (*backend.Stream, error) {
			return a.engine.Resume(ctx, a.server.Address, a.attemptID, a.machine.LastOffset())
		})
		expire := time.AfterFunc(a.watchdog.idleLimit, cancelResume)
		select {
		case o := <-posted:
			cancelResume()
			go func() { (<-resumed).close() }()
			return o.stream, o.err
		case o := <-resumed:
			if o.err == nil && expire.Stop() {
				cancelPost()
				go func() { (<-posted).close() }()
				return o.stream, nil
			}
			o.close()
			unknown++
			if !errors.Is(o.err, backend.ErrAttemptUnknown) {
				unknown = 0
			}
			if unknown < maxUnknown {
				continue
			}
			cancelPost()
			if p := <-posted; p.err == nil || errors.Is(p.err, backend.ErrNotSent) {
				return p.stream, p.err
			}
			return nil, o.err
		}
	}
}

// awaitOpened waits for a result, for the given time at most. It reports whether there is one.
func awaitOpened(results <-chan opened, timeout time.Duration) (opened, bool) {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case o := <-results:
		return o, true
	case <-timer.C:
		return opened{}, false
	}
}

// seekIf starts to seek another server if the action asks for that.
func (a *chatAttempt) seekIf(action answer.Action) {
	if action.Seek && a.seeker != nil {
		a.seeker.start()
	}
}
