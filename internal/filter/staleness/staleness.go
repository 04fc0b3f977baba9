// Package staleness is a filter that refuses requests while the configuration of the daemon is stale, that is,
// while accepted tickets may exist that the daemon has not received. It checks a request on
// arrival, while it waits for a slot, and just before its attempt starts.
package staleness

import (
	"context"
	"time"

	"github.com/filbertrill/filbertrill/internal/controller/dispatch"
	"github.com/filbertrill/filbertrill/internal/filter"
	"github.com/filbertrill/filbertrill/internal/filter/attempt"
	"github.com/filbertrill/filbertrill/internal/ticket"
)

// checkInterval is the time between two checks of a request that waits for a slot.
const checkInterval = 200 * time.Millisecond

// Checker decides whether requests may run. The methods are safe for concurrent use, and their
// errors have a result code.
type Checker interface {
	// CheckFresh returns an error if the configuration is stale and the service does not permit
	// requests under a stale configuration.
	CheckFresh(service ticket.Service, now time.Time) error
	// CheckStart returns an error if no attempt may start on the backend server.
	CheckStart(service, server string, now time.Time) error
	// Current returns the configuration, or nil if there is none yet.
	Current() *ticket.Config
}

// New returns the filter that checks requests on arrival. It requires Request.Service, so it belongs
// after the decode filter.
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

// Acquirer wraps an attempt.Acquirer and checks requests while they wait for a slot and when it is
// granted.
type Acquirer struct {
	next    attempt.Acquirer
	checker Checker
}

var _ attempt.Acquirer = (*Acquirer)(nil)

// NewAcquirer returns an Acquirer that wraps next.
func NewAcquirer(next attempt.Acquirer, checker Checker) *Acquirer {
	return &Acquirer{next: next, checker: checker}
}

// Acquire waits for a slot. If the configuration becomes stale meanwhile, it returns the error of the
// Checker within checkInterval.
func (a *Acquirer) Acquire(ctx context.Context, r dispatch.Request) (*dispatch.Lease, error) {
	waitCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	go a.watch(waitCtx, cancel, r.Service)
	lease, err := a.next.Acquire(waitCtx, r)
	if err != nil {
		return nil, a.preferCause(ctx, waitCtx, err)
	}
	if err := a.checker.CheckStart(r.Service, lease.Server.ID, time.Now()); err != nil {
		lease.Release(0)
		return nil, err
	}
	return lease, nil
}

// preferCause returns the cause for which watch cancelled the wait, or err if watch did not cancel
// it or ctx has ended.
func (a *Acquirer) preferCause(ctx, waitCtx context.Context, err error) error {
	if ctx.Err() == nil && waitCtx.Err() != nil {
		return context.Cause(waitCtx)
	}
	return err
}

// watch checks the service until ctx ends, and cancels the wait with the first error.
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

// checkService returns nil if there is no configuration or no such service.
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
