// Package attempt is the end of the chain: it waits for a slot, runs the request on the
// granted backend server and relays the answer.
package attempt

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/filbertrill/filbertrill/internal/backend"
	"github.com/filbertrill/filbertrill/internal/controller/dispatch"
	"github.com/filbertrill/filbertrill/internal/cost"
	core "github.com/filbertrill/filbertrill/internal/dispatch"
	"github.com/filbertrill/filbertrill/internal/filter"
	"github.com/filbertrill/filbertrill/internal/result"
)

// defaultMaxTokens is the generated length assumed of a request without a limit.
const defaultMaxTokens = 256

// Acquirer grants slots.
type Acquirer interface {
	Acquire(ctx context.Context, r dispatch.Request) (*dispatch.Lease, error)
}

// Metrics receives the gaps between tokens.
type Metrics interface {
	ObserveTokenGap(account, service string, d time.Duration)
}

// Options configure the handler.
type Options struct {
	Acquirer Acquirer
	Engine   *backend.Engine
	Plain    *backend.Plain
	Metrics  Metrics
}

// New returns the handler.
func New(opts Options) filter.Handler { return &handler{opts: opts} }

type handler struct {
	opts Options
}

// Handle runs the request once a slot is granted within the service's deadline.
func (h *handler) Handle(ctx context.Context, r *filter.Request) error {
	lease, err := h.acquire(ctx, r)
	if err != nil {
		return err
	}
	r.Granted = time.Now()
	defer func() { lease.End(r.Cost) }()
	err = h.run(ctx, r, lease)
	if serverFault(ctx, err) {
		lease.Fail()
	}
	return err
}

func (h *handler) run(ctx context.Context, r *filter.Request, lease *dispatch.Lease) error {
	if r.Chat == nil {
		return h.plain(ctx, r, lease)
	}
	if r.Chat.Stream {
		return h.stream(ctx, r, lease)
	}
	return h.whole(ctx, r, lease)
}

// serverFault reports whether the backend server failed, and not the caller.
func serverFault(ctx context.Context, err error) bool {
	if err == nil || ctx.Err() != nil {
		return false
	}
	code := result.CodeOf(err)
	return code == result.NoServerJoined || code.Class() != result.NotRun
}

func (h *handler) acquire(ctx context.Context, r *filter.Request) (*dispatch.Lease, error) {
	deadline := r.Received.Add(time.Duration(r.Service.Deadline))
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	return h.opts.Acquirer.Acquire(ctx, dispatch.Request{
		Service: r.Service.ID,
		Account: r.Account.ID,
		Bytes:   int64(len(r.Body)),
		Hint:    hint(r),
		Prefix:  prefix(r),
	})
}

// hint tells what is known of the cost before the run: the prompt for sure, and the
// caller's limit of generated tokens.
func hint(r *filter.Request) core.Hint {
	if r.Chat == nil {
		return core.Hint{Least: cost.Call, Guess: cost.Call, Limit: cost.Call}
	}
	prompt := cost.PromptTokens(len(r.Body))
	h := core.Hint{
		Least: cost.Tokens(prompt, 0),
		Guess: cost.Tokens(prompt, defaultMaxTokens),
	}
	if r.Chat.MaxTokens > 0 {
		h.Limit = cost.Tokens(prompt, r.Chat.MaxTokens)
		h.Guess = h.Limit
	}
	return h
}

func prefix(r *filter.Request) []uint64 {
	if r.Chat == nil {
		return nil
	}
	return r.Chat.Prefix
}

// failure gives an error of the backend its result code.
func failure(err error) error {
	if errors.Is(err, backend.ErrNotSent) {
		return result.Wrap(err, result.NoServerJoined, "the backend server could not be reached")
	}
	var status *backend.StatusError
	if errors.As(err, &status) {
		return result.Wrap(err, result.ServerFailed, "the backend server answered %d", status.Status)
	}
	return result.Wrap(err, result.AnswerLost, "the answer of the backend server was lost")
}
