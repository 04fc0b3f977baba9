// Package telemetry records the metrics of a daemon with tally and serves them in
// Prometheus's text format.
//
// Tally hands its histograms to Prometheus as counts per bucket: their _sum series
// adds up bucket bounds and is of no use. Exact totals have counters of their own.
package telemetry

import (
	"io"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/uber-go/tally/v4"
	tallyprom "github.com/uber-go/tally/v4/prometheus"

	"github.com/filbertrill/filbertrill/internal/logging"
)

// Defaults of Options.
const (
	DefaultMaxAccounts = 1000
	DefaultMaxServices = 100
	DefaultInterval    = 2 * time.Second
)

// Other is the label of accounts, services and message kinds without a label of their own.
const Other = "other"

const prefix = "filbertrill"

// Options are the settings of New. Zero values stand for the defaults.
type Options struct {
	MaxAccounts int           // label values for accounts over the life of the process
	MaxServices int           // label values for services over the life of the process
	Interval    time.Duration // time between two reports to the Prometheus registry
}

// Metrics records the events of a daemon. Its methods are safe for concurrent use.
type Metrics struct {
	accounts     *labelSet
	services     *labelSet
	results      resultCounters
	controlBytes map[controlKey]tally.Counter
	state        stateGauges
	claims       claimMetrics
}

// New returns the metrics, the handler that serves them, and a closer that makes
// the last report and ends the reporting goroutine. Each call has a registry of its own.
func New(o Options) (*Metrics, http.Handler, io.Closer) {
	o = withDefaults(o)
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector())
	registry.MustRegister(collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	reporter := tallyprom.NewReporter(tallyprom.Options{
		Registerer:      registry,
		Gatherer:        registry,
		OnRegisterError: logRegisterError,
	})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 prefix,
		CachedReporter:         reporter,
		Separator:              tallyprom.DefaultSeparator,
		OmitCardinalityMetrics: true,
	}, o.Interval)
	m := &Metrics{
		accounts:     newLabelSet(scope, "account", o.MaxAccounts),
		services:     newLabelSet(scope, "service", o.MaxServices),
		results:      resultCounters{scope: scope},
		controlBytes: newControlCounters(scope),
		state:        newStateGauges(scope),
		claims:       newClaimMetrics(scope),
	}
	return m, reporter.HTTPHandler(), closer
}

// SetKnown sets the accounts and services of the configuration. Events of all
// others are recorded under Other. A removed account keeps its label value
// until the process ends, and no event is recorded under it.
func (m *Metrics) SetConfigured(accountIDs, serviceIDs []string) {
	m.accounts.setIDs(accountIDs)
	m.services.setIDs(serviceIDs)
}

func withDefaults(o Options) Options {
	if o.MaxAccounts <= 0 {
		o.MaxAccounts = DefaultMaxAccounts
	}
	if o.MaxServices <= 0 {
		o.MaxServices = DefaultMaxServices
	}
	if o.Interval <= 0 {
		o.Interval = DefaultInterval
	}
	return o
}

func logRegisterError(err error) {
	logging.For(logging.Daemon).Error("metric not registered", "error", err)
}
