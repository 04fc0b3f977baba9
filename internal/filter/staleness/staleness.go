// Package staleness refuses new work while the daemon can't know of every accepted ticket: at a
// request's arrival, while it waits, and at the moment before its attempt starts.
package staleness

import (
	"context"
	"time"

	"github.com/filbertrill/filbertrill/internal/controller/dispatch"
	"github.com/filbertrill/filbertrill/internal/filter"
	"github.com/filbertrill/filbertrill/internal/filter/attempt"
	"github.com/filbertrill/filbertrill/internal/ticket"
)

// waitCheck is the time between two checks of a request that waits.
const checkInterval = 200 * time.Millisecond

// Checker tells whether new work may start. Its errors are result errors.
type Checker interface {
	// CheckFresh judges the arrival of a request.
	CheckFresh(service ticket.Service, now time.Time) error
	// CheckStart judges the start of an attempt on a backend server.
	CheckStart(service, server string, now time.Time) error
	// Current returns the configuration, or nil.
	Current() *ticket.Config
}

// New returns the filter. It stands behind the one that finds the service.
func New(checker Checker) filter.Filter {
	return func(next filter.Handler) filter.Handler {
		return filter.HandlerFunc(func(ctx context.Context, r *filter.Request) error {
			if err := checker.CheckFresh(r.Service, time.Now()); err != nil {
				return err
			}
			return next.Handle(ctx, r)
		})
	}
}

// Acquirer checks requests while they wait for a slot, and once they have one.
type Acquirer struct {
	next    attempt.Acquirer
	checker Checker
}

var _ attempt.Acquirer = (*Acquirer)(nil)

// NewAcquirer returns an Acquirer in front of another.
func NewAcquirer(next attempt.Acquirer, checker Checker) *Acquirer {
	return &Acquirer{next: next, checker: checker}
}

// Acquire waits for a slot. It ends the wait at once when the daemon is cut off.
func (a *Acquirer) Acquire(ctx context.Context, r dispatch.Request) (*dispatch.Lease, error) {
	waitCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	go a.watch(waitCtx, cancel, r.Service)
	lease, err := a.next.Acquire(waitCtx, r)
	if err != nil {
		return nil, a.preferCause(ctx, waitCtx, err)
	}
	if err := a.checker.CheckStart(r.Service, lease.Server.ID, time.Now()); err != nil {
		lease.End(0)
		return nil, err
	}
	return lease, nil
}

// reason prefers the refusal that ended the wait.
func (a *Acquirer) preferCause(ctx, waitCtx context.Context, err error) error {
	if ctx.Err() == nil && waitCtx.Err() != nil {
		return context.Cause(waitCtx)
	}
	return err
}

func (a *Acquirer) watch(ctx context.Context, cancel context.CancelCauseFunc, serviceID string) {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			if err := a.checkService(serviceID, now); err != nil {
				cancel(err)
				return
			}
		}
	}
}

func (a *Acquirer) checkService(serviceID string, now time.Time) error {
	config := a.checker.Current()
	if config == nil {
		return nil
	}
	service, ok := config.Service(serviceID)
	if !ok {
		return nil
	}
	return a.checker.CheckFresh(service, now)
}
