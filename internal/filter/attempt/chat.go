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

// returnedPause is the wait before another slot is asked for after one was returned.
const returnedPause = 50 * time.Millisecond

// chat runs a chat completion, on another backend server when one fails and that is safe.
func (h *handler) chat(ctx context.Context, r *filter.Request) error {
	body, err := streamBody(r.Body)
	if err != nil {
		return err
	}
	h.servers.request(r.Service.ID, time.Now())
	sent := false
	for n := 1; ; n++ {
		lease, err := h.acquireOpen(ctx, r)
		if err != nil {
			return truthful(err, sent)
		}
		run := h.newRun(r, lease, n, body)
		again, err := h.attempt(ctx, r, run, lease)
		if err == nil || !again {
			return truthful(err, sent)
		}
		sent = sent || result.From(err).Class() != result.NotRun
	}
}

// acquireOpen waits for a slot on a server that is not known to fail. The dispatcher learns of
// failures as well, but those seen in other data centres reach it with the exchange of the pools only.
func (h *handler) acquireOpen(ctx context.Context, r *filter.Request) (*dispatch.Lease, error) {
	for {
		lease, err := h.acquire(ctx, r)
		if err != nil {
			return nil, err
		}
		now := time.Now()
		if h.servers.admit(lease.Server, r.Config.ServersOf(r.Service.ID), now) {
			if r.Granted.IsZero() {
				r.Granted = now
			}
			return lease, nil
		}
		if !h.servers.park(lease, now) {
			sleep(ctx, returnedPause)
		}
	}
}

// attempt carries out a run under its lease. It reports whether another server may run
// the request in its place.
func (h *handler) attempt(ctx context.Context, r *filter.Request, run *run, lease *dispatch.Lease) (bool, error) {
	defer func() { lease.Release(r.Cost) }()
	action := run.do(ctx)
	if run.rejection != nil {
		h.servers.succeeded(run.server.ID)
		return false, passStatus(r.Writer, run.rejection)
	}
	switch action.Kind {
	case answer.Finish:
		h.servers.succeeded(run.server.ID)
		return false, nil
	case answer.Stop:
		return false, result.Wrap(context.Canceled, result.CallerGone, "the caller went away")
	}
	h.failed(run, lease)
	err := result.Wrap(run.err, action.Code, "%s", describe(action.Code, run.server.ID))
	again := action.Kind == answer.Retry && h.servers.mayRetry(r.Service.ID, time.Now())
	if again {
		h.opts.Metrics.CountRetry(r.Service.ID)
		h.opts.Logger.Info("Trying another backend server.", "request", r.ID, "server", run.server.ID, "error", text(run.err))
	}
	return again, err
}

// failed records that the server did not answer as it should.
func (h *handler) failed(run *run, lease *dispatch.Lease) {
	lease.MarkFailed()
	if h.servers.failed(run.server.ID, time.Now()) {
		h.opts.Logger.Warn("Avoiding a backend server.", "server", run.server.ID, "error", text(run.err))
	}
}

func (h *handler) newRun(r *filter.Request, lease *dispatch.Lease, n int, body []byte) *run {
	attempt := r.ID
	if n > 1 {
		attempt = fmt.Sprintf("%s-%d", r.ID, n)
	}
	r.Cost = 0
	machine := answer.New(answer.Options{
		Attempt:    attempt,
		Buffered:   !r.Chat.Stream,
		Repeatable: r.Service.Repeatable,
		Deadline:   deadline(r),
	})
	a := &run{
		engine:  h.opts.Engine,
		logger:  h.opts.Logger,
		server:  lease.Server,
		attempt: attempt,
		body:    body,
		machine: machine,
		meter: &meter{
			r:        r,
			metrics:  h.opts.Metrics,
			progress: lease.SetCost,
			prompt:   cost.PromptTokens(len(body)),
		},
	}
	a.sink = h.newSink(r, a)
	a.guard = &guard{
		idle:     time.Duration(r.Service.IdleLimit),
		deadline: deadline(r),
		flush:    a.sink.flush,
	}
	return a
}

func (h *handler) newSink(r *filter.Request, a *run) sink {
	if !r.Chat.Stream {
		return &wholeSink{w: r.Writer, writeLimit: h.opts.WriteLimit}
	}
	claims := resume.Claims{
		Account: r.Account.ID,
		Service: r.Service.ID,
		Server:  a.server.ID,
		Attempt: a.attempt,
		Usage:   r.Chat.IncludeUsage,
		Issued:  time.Now().Unix(),
	}
	return &eventSink{
		w:          r.Writer,
		writeLimit: h.opts.WriteLimit,
		usage:      r.Chat.IncludeUsage,
		token:      h.opts.Signer.Sign(claims),
		// The request cannot run anew from here on, so its body is not needed.
		begin: func() { r.Body, a.body = nil, nil },
	}
}
