// Package record is the outermost filter. It writes errors to callers and records the result of
// each request in metrics and logs.
package record

import (
	"context"
	"log/slog"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/filbertrill/filbertrill/internal/filter"
	"github.com/filbertrill/filbertrill/internal/recovery"
	"github.com/filbertrill/filbertrill/internal/result"
	"github.com/filbertrill/filbertrill/internal/telemetry"
)

// Metrics records the result of a finished request.
type Metrics interface {
	// CountPanic counts a panic of an HTTP handler by its interface.
	CountPanic(httpInterface string)
	// CountResult counts a result. The service is empty if the request named no known service.
	CountResult(code result.Code, service string)
	// ObserveAnswer records the time from receipt of a request to the end of its answer.
	ObserveAnswer(account, service string, d time.Duration)
	// ObserveWait records the time from receipt of a request to the grant of a slot.
	ObserveWait(account, service string, d time.Duration)
	// ObserveFirstToken records the time from receipt of a request to its first token.
	ObserveFirstToken(account, service string, d time.Duration)
	// ObserveCost records the cost of an answered request.
	ObserveCost(account, service string, tokens int64)
}

// New returns the filter.
func New(metrics Metrics, logger *slog.Logger) filter.Filter {
	return func(next filter.Handler) filter.Handler {
		return filter.HandlerFunc(func(ctx context.Context, r *filter.Request) error {
			err := handleRecovered(ctx, r, next)
			var p *recovery.Panic
			if errors.As(err, &p) {
				metrics.CountPanic(telemetry.Callers)
				logger.Error("Panic while handling a request.", "request", r.ID, "account", r.Account.ID, "service", r.Service.ID,
					"caller", r.HTTP.RemoteAddr, "begun", r.Writer.Started(), "panic", p.Value, "stack", p.Stack)
			}
			observe(metrics, r, err)
			if err == nil {
				return nil
			}
			if p != nil {
				r.Writer.PrepareFailure()
			}
			if result.CodeOf(err) == result.CallerGone {
				logger.Debug("Caller disconnected.", "request", r.ID, "error", err)
				r.Writer.Abort()
			}
			logError(logger, r, err)
			r.Writer.WriteError(err)
			return nil
		})
	}
}

// handleRecovered passes the request to the next handler. It returns an error after a panic: the request may have run.
func handleRecovered(ctx context.Context, r *filter.Request, next filter.Handler) (err error) {
	defer func() {
		if p := recovery.NewPanic(recover()); p != nil {
			err = result.Wrap(p, result.Internal, "the daemon failed")
		}
	}()
	return next.Handle(ctx, r)
}

func logError(logger *slog.Logger, r *filter.Request, err error) {
	e := result.From(err)
	level := slog.LevelInfo
	if e.Class() != result.NotRun {
		level = slog.LevelWarn
	}
	logger.Log(context.Background(), level, "Request failed.",
		"request", r.ID, "account", r.Account.ID, "service", r.Service.ID, "code", int(e.Code), "error", err)
}

func observe(metrics Metrics, r *filter.Request, err error) {
	now := time.Now()
	account, service := r.Account.ID, r.Service.ID
	metrics.CountResult(result.CodeOf(err), service)
	if account == "" || service == "" {
		return
	}
	if !r.Granted.IsZero() {
		metrics.ObserveWait(account, service, r.Granted.Sub(r.Received))
	}
	if !r.FirstToken.IsZero() {
		metrics.ObserveFirstToken(account, service, r.FirstToken.Sub(r.Received))
	}
	if err != nil {
		return
	}
	metrics.ObserveAnswer(account, service, now.Sub(r.Received))
	metrics.ObserveCost(account, service, int64(r.Cost))
}
