package attempt

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/filbertrill/filbertrill/internal/answer"
	"github.com/filbertrill/filbertrill/internal/backend"
	"github.com/filbertrill/filbertrill/internal/controller/dispatch"
	"github.com/filbertrill/filbertrill/internal/filter"
	"github.com/filbertrill/filbertrill/internal/http1"
	"github.com/filbertrill/filbertrill/internal/ticket"
)

// alternative is an attempt on another backend server that has accepted the request.
type alternative struct {
	attempt *chatAttempt
	lease   *dispatch.Lease
}

// discard cancels the attempt and ends its lease.
func (alt *alternative) discard() {
	alt.attempt.accepted.close()
	go alt.attempt.cancel()
	alt.lease.Release(0)
}

// seeker looks for another backend server while the one of an attempt is silent. The attempt goes on until another server has
// accepted the request. Its methods are safe for concurrent use.
type seeker struct {
	seek    func(ctx context.Context) *alternative // returns nil when ctx ends
	replace func()                                 // ends the attempt
	ctx     context.Context                        // of the request

	mu     sync.Mutex
	cancel context.CancelFunc // nil if no search runs
	done   chan struct{}      // closed at the end of the search
	found  *alternative       // written by the search before done is closed
}

// start starts a search unless one runs.
func (s *seeker) start() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cancel != nil {
		return
	}
	ctx, cancel := context.WithCancel(s.ctx)
	done := make(chan struct{})
	s.cancel, s.done = cancel, done
	go func() {
		defer close(done)
		if s.found = s.seek(ctx); s.found != nil {
			s.replace()
		}
	}()
}

// stop ends a search. It reports false if the search has found another server, which then replaces the attempt.
func (s *seeker) stop() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cancel == nil {
		return true
	}
	s.cancel()
	<-s.done
	if s.found != nil {
		return false
	}
	s.cancel = nil
	return true
}

// newSeeker returns the seeker of an attempt. The function replace ends the attempt. The seeker numbers further attempts from
// *number on.
func (h *handler) newSeeker(ctx context.Context, r *filter.Request, a *chatAttempt, number *int, replace func()) *seeker {
	body := a.body
	return &seeker{
		ctx:     ctx,
		replace: replace,
		seek: func(ctx context.Context) *alternative {
			if !a.silent {
				a.silent = true
				h.recordServerFailure(a.server.ID, errSilent)
			}
			budgeted := false
			for ctx.Err() == nil && time.Now().Before(deadline(r)) {
				alt := h.trySeek(ctx, r, a, body, number, &budgeted)
				if alt != nil {
					return alt
				}
				sleep(ctx, max(reacquireDelay, min(a.watchdog.idleLimit, maxSeekDelay)))
			}
			return nil
		},
	}
}

// maxSeekDelay is the longest time between two tries to find another backend server.
const maxSeekDelay = time.Second

// trySeek tries to start an attempt on another server than that of a. budgeted says whether a retry of the budget was taken.
func (h *handler) trySeek(ctx context.Context, r *filter.Request, a *chatAttempt, body []byte, number *int, budgeted *bool) *alternative {
	if !hasOtherServer(r, a.server.ID) {
		return nil
	}
	if !*budgeted && !h.serverState.takeRetry(r.Service.ID, time.Now()) {
		return nil
	}
	*budgeted = true
	lease, err := a.suspects.acquireChecked(ctx, r, h.acquireAdmitted)
	if err != nil {
		return nil
	}
	if lease.Server.ID == a.server.ID {
		h.recordServerFailure(lease.Server.ID, errSilent)
		lease.MarkFailed()
		lease.Release(0)
		return nil
	}
	*budgeted = false
	*number++
	next := h.newAttempt(r, lease, *number, body)
	next.suspects = a.suspects
	if h.awaitAccepted(ctx, next) {
		return &alternative{attempt: next, lease: lease}
	}
	if ctx.Err() == nil {
		h.recordFailure(next, lease)
		if isConnectionBroken(next.err) {
			next.suspects.recordEnd(next.server.ID, false, false)
		}
	}
	lease.Release(0)
	return nil
}

// hasOtherServer reports whether the service has another server than the given one.
func hasOtherServer(r *filter.Request, server string) bool {
	for _, other := range r.Config.ServersOf(r.Service.ID) {
		if other.State == ticket.ServerJoined && other.ID != server {
			return true
		}
	}
	return false
}

// awaitAccepted sends the request of the attempt, and reports whether its server has accepted or rejected it before ctx ends and
// within the time after which a silent server would be replaced.
func (h *handler) awaitAccepted(ctx context.Context, a *chatAttempt) bool {
	posted, cancel := openAsync(http1.WithExchange(context.WithoutCancel(ctx), &a.exchange), a.post)
	timer := time.NewTimer((answer.MaxIdleTimeouts + 1) * a.watchdog.idleLimit)
	defer timer.Stop()
	var o opened
	select {
	case o = <-posted:
	case <-timer.C:
		cancel()
		o = <-posted
		o.err = errors.CombineErrors(o.err, errSilent)
	case <-ctx.Done():
		cancel()
		o = <-posted
		o.err = errors.CombineErrors(o.err, ctx.Err())
	}
	var status *backend.StatusError
	if o.err == nil || (errors.As(o.err, &status) && isClientError(status)) {
		a.accepted = &o
		return true
	}
	a.err = o.err
	o.close()
	a.logEnd(answer.Action{})
	if !errors.Is(o.err, backend.ErrNotSent) && status == nil {
		go a.cancel()
	}
	return false
}
