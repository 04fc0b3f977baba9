// Package attempt is the end of the chain: it waits for a slot, runs the request on the
// granted backend server and relays the answer.
package attempt

import (
	"context"
	"log/slog"
	"time"

	"github.com/filbertrill/filbertrill/internal/backend"
	"github.com/filbertrill/filbertrill/internal/controller/dispatch"
	"github.com/filbertrill/filbertrill/internal/cost"
	core "github.com/filbertrill/filbertrill/internal/dispatch"
	"github.com/filbertrill/filbertrill/internal/filter"
	"github.com/filbertrill/filbertrill/internal/result"
	"github.com/filbertrill/filbertrill/internal/resume"
)

// defaultMaxTokens is the generated length assumed of a request without a limit.
const assumedMaxTokens = 256

// Acquirer grants slots.
type Acquirer interface {
	Acquire(ctx context.Context, r dispatch.Request) (*dispatch.Lease, error)
}

// DefaultWriteLimit is how long a caller may leave its answer unread.
const DefaultWriteLimit = 30 * time.Second

// Metrics receives what happens while an answer runs.
type Metrics interface {
	ObserveTokenGap(account, service string, d time.Duration)
	ObserveResumePause(service string, d time.Duration)
	CountRetry(service string)
}

// Options configure the handlers.
type Options struct {
	Acquirer Acquirer
	Engine   *backend.Engine
	Plain    *backend.Plain
	Signer   *resume.Signer
	Metrics  Metrics
	Logger   *slog.Logger
	// WriteLimit is how long a caller may leave its answer unread; DefaultWriteLimit when 0.
	WriteLimit time.Duration
	// RetryAfter returns when a caller that waited in vain should come back.
	RetryAfter func(service, account string) time.Duration
}

// New returns the handler.
func New(opts Options) filter.Handler {
	if opts.WriteLimit == 0 {
		opts.WriteLimit = DefaultWriteLimit
	}
	return &handler{opts: opts, serverState: newServerState()}
}

type handler struct {
	opts        Options
	serverState *serverState
}

// Handle runs the request once a slot is granted within the service's deadline.
func (h *handler) Handle(ctx context.Context, r *filter.Request) error {
	if r.Chat != nil {
		return h.runChat(ctx, r)
	}
	return h.runPlain(ctx, r)
}

// deadline returns until when the answer must begin.
func deadline(r *filter.Request) time.Time {
	return r.Received.Add(time.Duration(r.Service.Deadline))
}

// serverFault reports whether the backend server failed, and not the caller.
func isServerFailure(ctx context.Context, err error) bool {
	if err == nil || ctx.Err() != nil {
		return false
	}
	code := result.CodeOf(err)
	return code == result.NoServerJoined || code.Class() != result.NotRun
}

func (h *handler) acquire(ctx context.Context, r *filter.Request) (*dispatch.Lease, error) {
	waitCtx, cancel := context.WithDeadline(ctx, deadline(r))
	defer cancel()
	lease, err := h.opts.Acquirer.Acquire(waitCtx, dispatch.Request{
		Service: r.Service.ID,
		Account: r.Account.ID,
		Bytes:   int64(len(r.Body)),
		Hint:    costHint(r),
		Prefix:  prefix(r),
	})
	if err != nil {
		return nil, h.withRetryAfter(ctx, r, err)
	}
	if ctx.Err() != nil {
		lease.End(0)
		return nil, h.withRetryAfter(ctx, r, ctx.Err())
	}
	return lease, nil
}

// refused tells when to come back, unless the caller has gone.
func (h *handler) withRetryAfter(ctx context.Context, r *filter.Request, err error) error {
	if ctx.Err() != nil {
		return result.Wrap(context.Canceled, result.CallerGone, "the caller went away")
	}
	e := result.From(err)
	if h.opts.RetryAfter == nil || e.RetryAfter > 0 {
		return err
	}
	return e.WithRetryAfter(h.opts.RetryAfter(r.Service.ID, r.Account.ID))
}

// hint tells what is known of the cost before the run: the prompt for sure, and the
// caller's limit of generated tokens.
func costHint(r *filter.Request) core.CostHint {
	if r.Chat == nil {
		return core.CostHint{Min: cost.Call, Default: cost.Call, Max: cost.Call}
	}
	promptTokens := cost.PromptTokens(len(r.Body))
	h := core.CostHint{
		Min:     cost.Tokens(promptTokens, 0),
		Default: cost.Tokens(promptTokens, assumedMaxTokens),
	}
	if r.Chat.MaxTokens > 0 {
		h.Max = cost.Tokens(promptTokens, r.Chat.MaxTokens)
		h.Default = h.Max
	}
	return h
}

func prefix(r *filter.Request) []uint64 {
	if r.Chat == nil {
		return nil
	}
	return r.Chat.Prefix
}
