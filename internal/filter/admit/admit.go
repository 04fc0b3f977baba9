// Package admit is a filter that refuses requests beyond the queue limits of their account or the
// memory limit of the daemon.
package admit

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/filbertrill/filbertrill/internal/filter"
	"github.com/filbertrill/filbertrill/internal/result"
)

// Queues reports what is queued on this daemon.
type Queues interface {
	// Queued returns the number and the total size in bytes of an account's queued requests to a
	// service.
	Queued(service, account string) (requests int, bytes int64)
}

// Options configure the filter.
type Options struct {
	Queues   Queues
	MaxBytes int64 // maximum total body size of the requests that the daemon handles at once
	// RetryAfter returns how long a refused caller should wait before it retries.
	RetryAfter func(service, account string) time.Duration
}

// New returns the filter.
func New(opts Options) filter.Filter {
	heldBytes := &atomic.Int64{}
	return func(next filter.Handler) filter.Handler {
		return filter.HandlerFunc(func(ctx context.Context, r *filter.Request) error {
			size := int64(len(r.Body))
			defer heldBytes.Add(-size)
			if heldBytes.Add(size) > opts.MaxBytes {
				return refuse(opts, r, result.DaemonFull, "the daemon holds too many request bodies")
			}
			if err := checkAccountQueue(opts, r, size); err != nil {
				return err
			}
			return next.Handle(ctx, r)
		})
	}
}

func checkAccountQueue(opts Options, r *filter.Request, size int64) error {
	requests, bytes := opts.Queues.Queued(r.Service.ID, r.Account.ID)
	if limit := r.Account.MaxQueued; limit > 0 && requests >= limit {
		return refuse(opts, r, result.AccountQueueFull, "the account has reached its limit of queued requests")
	}
	if limit := r.Account.MaxQueuedBytes; limit > 0 && bytes+size > limit {
		return refuse(opts, r, result.AccountQueueFull, "the request would exceed the limit of queued bytes of the account")
	}
	return nil
}

func refuse(opts Options, r *filter.Request, code result.Code, message string) error {
	return result.New(code, "%s", message).WithRetryAfter(opts.RetryAfter(r.Service.ID, r.Account.ID))
}
