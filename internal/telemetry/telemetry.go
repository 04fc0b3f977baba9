// Package telemetry records the metrics of a daemon with tally and serves them in the
// Prometheus text format.
//
// Tally reports histograms to Prometheus as counts per bucket, so their _sum series add up
// bucket bounds and should not be used. Exact totals have separate counters.
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

// Defaults for Options.
const (
	DefaultMaxAccounts = 1000
	DefaultMaxServices = 100
	DefaultInterval    = 2 * time.Second
)

// Other is the label value of accounts, services and message kinds that have no label value of
// their own.
const Other = "other"

const prefix = "filbertrill"

// Options configure New. Zero values stand for the defaults.
type Options struct {
	MaxAccounts int           // maximum number of account label values during the life of the process
	MaxServices int           // maximum number of service label values during the life of the process
	Interval    time.Duration // time between two reports to the Prometheus registry
}

// Metrics records the events of a daemon. Its methods are safe for concurrent use.
type Metrics struct {
	scope        tally.Scope
	accounts     *labelSet
	services     *labelSet
	results      resultCounters
	controlBytes map[controlKey]controlCounter
	zoneTraffic  zoneTraffic
	state        stateGauges
	claims       claimMetrics
}

// New returns the metrics, the handler that serves them, and a closer that makes the final
// report and stops the reporting goroutine. Each call creates a registry.
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
		scope:        scope,
		accounts:     newLabelSet(scope, "account", o.MaxAccounts),
		services:     newLabelSet(scope, "service", o.MaxServices),
		results:      resultCounters{scope: scope},
		controlBytes: newControlCounters(scope),
		zoneTraffic:  zoneTraffic{scope: scope, counters: make(map[zoneTrafficKey]tally.Counter)},
		state:        newStateGauges(scope),
		claims:       newClaimMetrics(scope),
	}
	return m, reporter.HTTPHandler(), closer
}

// SetConfigured sets the ids of the configured accounts and services. Events of all others are
// recorded under Other. The label value of a removed account or service is reserved until the
// process ends, but no events are recorded under it.
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
	logging.For(logging.Daemon).Error("Failed to register a metric.", "error", err)
}
