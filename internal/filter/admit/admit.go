// Package admit refuses requests beyond the limits of their account or of the daemon.
package admit

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/filbertrill/filbertrill/internal/filter"
	"github.com/filbertrill/filbertrill/internal/result"
)

// Queues tells how much waits.
type Queues interface {
	// Queued returns how many requests, and bytes of them, of an account wait for a service.
	Queued(service, account string) (requests int, bytes int64)
}

// Options configure the filter.
type Options struct {
	Queues   Queues
	MaxBytes int64 // request bodies that the daemon holds at once
	// RetryAfter returns when a refused caller should come back.
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
		return refuse(opts, r, result.AccountQueueFull, "the account has too many waiting requests")
	}
	if limit := r.Account.MaxQueuedBytes; limit > 0 && bytes+size > limit {
		return refuse(opts, r, result.AccountQueueFull, "the account has too many bytes waiting")
	}
	return nil
}

func refuse(opts Options, r *filter.Request, code result.Code, message string) error {
	return result.New(code, "%s", message).WithRetryAfter(opts.RetryAfter(r.Service.ID, r.Account.ID))
}
