package attempt

import (
	"context"
	"fmt"
	"time"

	"github.com/filbertrill/filbertrill/internal/answer"
	"github.com/filbertrill/filbertrill/internal/controller/dispatch"
	"github.com/filbertrill/filbertrill/internal/cost"
	"github.com/filbertrill/filbertrill/internal/filter"
	"github.com/filbertrill/filbertrill/internal/result"
	"github.com/filbertrill/filbertrill/internal/resume"
)

// reacquireDelay is the delay before the next Acquire after a slot on an ejected server was given
// back.
const reacquireDelay = 50 * time.Millisecond

// runChat runs a chat completion. If an attempt fails and a retry is safe, it retries on another
// backend server.
func (h *handler) runChat(ctx context.Context, r *filter.Request) error {
	body, err := streamBody(r.Body)
	if err != nil {
		return err
	}
	h.serverState.recordRequest(r.Service.ID, time.Now())
	s := h.newSuspects(r)
	sent := false
	number := 0 // of the last attempt
	var next *alternative
	for {
		if next == nil {
			lease, err := s.acquireChecked(ctx, r, h.acquireAdmitted)
			if err != nil {
				return reclassifyNotRun(err, sent)
			}
			number++
			next = &alternative{attempt: h.newAttempt(r, lease, number, body), lease: lease}
			next.attempt.suspects = s
		}
		r.Cost = 0
		retryable, alt, err := h.runAttempt(ctx, r, next.attempt, next.lease, &number)
		if err == nil || !retryable {
			return reclassifyNotRun(err, sent)
		}
		sent = sent || result.From(err).Class() != result.NotRun
		next = alt
	}
}

// acquireAdmitted waits for a slot on a server that serverState admits. Dispatchers count
// failures as well, but receive those from other data centres only when pools are exchanged.
func (h *handler) acquireAdmitted(ctx context.Context, r *filter.Request) (*dispatch.Lease, error) {
	for {
		lease, err := h.acquire(ctx, r)
		if err != nil {
			return nil, err
		}
		now := time.Now()
		if h.serverState.admit(lease.Server, r.Config.ServersOf(r.Service.ID), now) {
			if r.Granted.IsZero() {
				r.Granted = now
			}
			return lease, nil
		}
		if !h.serverState.holdLease(lease, now) {
			sleep(ctx, reacquireDelay)
		}
	}
}

// runAttempt runs an attempt and ends its lease. It reports whether the request may be retried on
// another server, and returns the attempt there if it has begun. number is that of the last attempt.
func (h *handler) runAttempt(ctx context.Context, r *filter.Request, a *chatAttempt, lease *dispatch.Lease, number *int) (bool, *alternative, error) {
	attemptCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	a.seeker = h.newSeeker(ctx, r, a, number, func() { cancel(errReplaced) })
	action := a.run(attemptCtx)
	a.seeker.stop()
	next := a.seeker.found
	if next != nil && action.Kind != answer.Retry {
		next.discard()
		next = nil
	}
	retryable, err := h.endAttempt(r, a, lease, action, next != nil)
	return retryable, next, err
}

// endAttempt ends the lease of an attempt that ended with the action. It reports whether the request may be retried on another
// server. replaced says that another server has accepted the request.
func (h *handler) endAttempt(r *filter.Request, a *chatAttempt, lease *dispatch.Lease, action answer.Action, replaced bool) (bool, error) {
	defer func() { lease.Release(r.Cost) }()
	if a.rejection != nil {
		h.serverState.recordSuccess(a.server.ID)
		a.suspects.recordSound(a.server.ID, a.startedAt)
		return false, forwardRejection(r.Writer, a.rejection)
	}
	switch action.Kind {
	case answer.Finish:
		h.serverState.recordSuccess(a.server.ID)
		a.suspects.recordSound(a.server.ID, a.startedAt)
		return false, nil
	case answer.Stop:
		return false, result.Wrap(context.Canceled, result.CallerGone, "the caller disconnected")
	}
	h.recordFailure(a, lease)
	if a.broken {
		a.suspects.recordEnd(a.server.ID, a.connected, a.machine.NextOffset() > 1)
	}
	err := result.Wrap(a.err, action.Code, "%s", errorMessage(action.Code, a.server.ID))
	retryable := replaced || (action.Kind == answer.Retry && h.serverState.takeRetry(r.Service.ID, time.Now()))
	if retryable {
		h.opts.Metrics.CountRetry(r.Service.ID)
		h.opts.Logger.Info("Retrying the request on another backend server.", "request", r.ID, "server", a.server.ID, "error", errorText(a.err))
	}
	return retryable, err
}

// recordFailure records a failure of the attempt's server in the lease, which reports it to the
// dispatcher, and in serverState.
func (h *handler) recordFailure(a *chatAttempt, lease *dispatch.Lease) {
	lease.MarkFailed()
	if !a.silent {
		h.recordServerFailure(a.server.ID, a.err)
	}
}

// recordServerFailure records a failure of the server, caused by err, in serverState.
func (h *handler) recordServerFailure(server string, err error) {
	if h.serverState.recordFailure(server, time.Now()) {
		h.opts.Logger.Warn("Backend server ejected.", "server", server, "error", errorText(err))
	}
}

// newAttempt returns the attempt with the given number, counted from 1 within the request.
func (h *handler) newAttempt(r *filter.Request, lease *dispatch.Lease, number int, body []byte) *chatAttempt {
	attemptID := r.ID
	if number > 1 {
		attemptID = fmt.Sprintf("%s-%d", r.ID, number)
	}
	machine := answer.New(answer.Options{
		AttemptID:  attemptID,
		Buffered:   !r.Chat.Stream,
		Repeatable: r.Service.Repeatable,
		Deadline:   deadline(r),
	})
	a := &chatAttempt{
		engine:    h.opts.Engine,
		logger:    h.opts.Logger,
		server:    lease.Server,
		attemptID: attemptID,
		startedAt: time.Now(),
		body:      body,
		machine:   machine,
		meter: &meter{
			request:        r,
			metrics:        h.opts.Metrics,
			reportProgress: lease.SetCost,
			promptTokens:   cost.PromptTokens(len(body)),
		},
	}
	a.sink = h.newSink(r, a)
	a.watchdog = &watchdog{
		idleLimit: time.Duration(r.Service.IdleLimit),
		deadline:  deadline(r),
		flush:     a.sink.flush,
	}
	return a
}

func (h *handler) newSink(r *filter.Request, a *chatAttempt) sink {
	if !r.Chat.Stream {
		return &bufferedSink{w: r.Writer, writeLimit: h.opts.WriteLimit}
	}
	claims := resume.Claims{
		Account:      r.Account.ID,
		Service:      r.Service.ID,
		Server:       a.server.ID,
		AttemptID:    a.attemptID,
		IncludeUsage: r.Chat.IncludeUsage,
		IssuedAt:     time.Now().Unix(),
	}
	return &eventSink{
		w:            r.Writer,
		writeLimit:   h.opts.WriteLimit,
		includeUsage: r.Chat.IncludeUsage,
		resumeToken:  h.opts.Signer.Sign(claims),
		// Frees the body: the request can't be retried after the answer has started.
		onStart: func() { r.Body, a.body = nil, nil },
	}
}
