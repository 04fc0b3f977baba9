// Package attempt contains the last handler of the filter chain. It waits for a slot, runs the
// request on the backend server of that slot and relays the answer to the caller.
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
	"github.com/filbertrill/filbertrill/internal/quarantine"
	"github.com/filbertrill/filbertrill/internal/result"
	"github.com/filbertrill/filbertrill/internal/resume"
)

// assumedMaxTokens is the number of generated tokens assumed for a request without a limit.
const assumedMaxTokens = 256

// Acquirer grants slots on backend servers.
type Acquirer interface {
	// Acquire waits for a slot. The caller must end the returned lease.
	Acquire(ctx context.Context, r dispatch.Request) (*dispatch.Lease, error)
}

// DefaultWriteLimit is the Options.WriteLimit that New uses if none is set.
const DefaultWriteLimit = 30 * time.Second

// Metrics records events of running attempts.
type Metrics interface {
	// ObserveTokenGap records the time between two tokens of an answer.
	ObserveTokenGap(account, service string, d time.Duration)
	// ObserveResumePause records the time from the interruption of an answer to its next event.
	ObserveResumePause(service string, d time.Duration)
	// CountRetry counts a retry on another backend server.
	CountRetry(service string)
}

// Quarantine holds back requests that end backend servers.
type Quarantine interface {
	// Check returns a PromptQuarantined error if a request with the subjects must not be sent. trial reports whether it
	// is sent nevertheless, as a trial.
	Check(subjects []quarantine.Subject) (trial bool, err error)
	// RecordEnd records that the server broke the connection of a request with the subjects.
	RecordEnd(subjects []quarantine.Subject, server string, begun bool)
	// RecordSound records an answer of the server that proves the subjects sound.
	RecordSound(subjects []quarantine.Subject, server string, sentAt time.Time)
}

// Options configure the handlers.
type Options struct {
	Acquirer Acquirer
	Engine   *backend.EngineClient
	Plain    *backend.PlainClient
	Signer   *resume.Signer
	Metrics  Metrics
	// Quarantine is used by New only.
	Quarantine Quarantine
	Logger     *slog.Logger
	// WriteLimit is how long a write to the caller may block. New uses DefaultWriteLimit if it is 0;
	// NewResume requires a value.
	WriteLimit time.Duration
	// RetryAfter returns how long a caller should wait before it retries a request that got no
	// slot. It may be nil.
	RetryAfter func(service, account string) time.Duration
}

// New returns the handler of requests to models and plain services.
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

// Handle runs the request when a slot is granted. It returns an error if no slot is granted before
// the deadline of the service.
func (h *handler) Handle(ctx context.Context, r *filter.Request) error {
	if r.Chat != nil {
		return h.runChat(ctx, r)
	}
	return h.runPlain(ctx, r)
}

// deadline returns the time by which the answer must start.
func deadline(r *filter.Request) time.Time {
	return r.Received.Add(time.Duration(r.Service.Deadline))
}

// isServerFailure reports whether err is a failure of the backend server rather than of the caller.
func isServerFailure(ctx context.Context, err error) bool {
	if err == nil || ctx.Err() != nil {
		return false
	}
	code := result.CodeOf(err)
	return code == result.NoServerJoined || code.Class() != result.NotRun
}

// acquire waits for a slot until the deadline of the request.
func (h *handler) acquire(ctx context.Context, r *filter.Request) (*dispatch.Lease, error) {
	waitCtx, cancel := context.WithDeadline(ctx, deadline(r))
	defer cancel()
	lease, err := h.opts.Acquirer.Acquire(waitCtx, dispatch.Request{
		Service:      r.Service.ID,
		Account:      r.Account.ID,
		Bytes:        int64(len(r.Body)),
		Hint:         costHint(r),
		PrefixHashes: prefix(r),
	})
	if err != nil {
		return nil, h.withRetryAfter(ctx, r, err)
	}
	if ctx.Err() != nil {
		lease.Release(0)
		return nil, h.withRetryAfter(ctx, r, ctx.Err())
	}
	return lease, nil
}

// withRetryAfter adds a retry delay to an error that has none. If ctx has ended, it returns a
// CallerGone error instead.
func (h *handler) withRetryAfter(ctx context.Context, r *filter.Request, err error) error {
	if ctx.Err() != nil {
		return result.Wrap(context.Canceled, result.CallerGone, "the caller disconnected")
	}
	e := result.From(err)
	if h.opts.RetryAfter == nil || e.RetryAfter > 0 {
		return err
	}
	return e.WithRetryAfter(h.opts.RetryAfter(r.Service.ID, r.Account.ID))
}

// costHint estimates the cost of a request before it runs, from the length of the prompt and the
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
