package daemon

import (
	"github.com/filbertrill/filbertrill/internal/backend"
	"github.com/filbertrill/filbertrill/internal/filter"
	"github.com/filbertrill/filbertrill/internal/filter/admit"
	"github.com/filbertrill/filbertrill/internal/filter/attempt"
	"github.com/filbertrill/filbertrill/internal/filter/decode"
	"github.com/filbertrill/filbertrill/internal/filter/idempotency"
	"github.com/filbertrill/filbertrill/internal/filter/identify"
	"github.com/filbertrill/filbertrill/internal/filter/record"
	"github.com/filbertrill/filbertrill/internal/filter/staleness"
	"github.com/filbertrill/filbertrill/internal/logging"
	"github.com/filbertrill/filbertrill/internal/resume"
)

// attemptOptions returns the options shared by the last handlers of both filter chains.
func (d *Daemon) attemptOptions() attempt.Options {
	return attempt.Options{
		Acquirer:   staleness.NewAcquirer(d.dispatch, d.config),
		Engine:     backend.NewEngineClient(backend.NewTransport()),
		Plain:      backend.NewPlainClient(),
		Signer:     resume.NewSigner(d.settings.Secret),
		Metrics:    d.metrics,
		Quarantine: d.quarantine,
		Logger:     logging.For(logging.Backend),
		WriteLimit: d.settings.WriteLimit,
		RetryAfter: d.dispatch.RetryAfter,
	}
}

// requestChain returns the filter chain for new requests.
func (d *Daemon) requestChain(attempts attempt.Options) filter.Handler {
	return filter.Chain(attempt.New(attempts),
		record.New(d.metrics, logging.For(logging.Entry)),
		idempotency.NewRefusalMapper(),
		identify.New(),
		decode.New(d.settings.MaxBody),
		staleness.New(d.config),
		d.keys.filter(d),
		admit.New(admit.Options{
			Queues:     d.dispatch,
			MaxBytes:   d.settings.MaxHeld,
			RetryAfter: d.dispatch.RetryAfter,
		}),
	)
}

// resumeChain returns the filter chain for callers that resume an interrupted answer.
func (d *Daemon) resumeChain(attempts attempt.Options) filter.Handler {
	return filter.Chain(attempt.NewResume(attempts),
		record.New(d.metrics, logging.For(logging.Entry)),
		identify.New(),
	)
}
