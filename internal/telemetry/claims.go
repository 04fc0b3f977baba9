package telemetry

import (
	"time"

	"github.com/uber-go/tally/v4"
)

var claimBuckets = millisecondBuckets(1, 2, 5, 10, 15, 20, 30, 50, 75, 100, 250, 500, 1000, 2000, 5000, 10_000)

// claimMetrics holds the metrics of claims: an unrepeatable request runs only after it has
// claimed its idempotency key.
type claimMetrics struct {
	scope     tally.Scope
	requests  tally.Gauge
	keys      tally.Gauge
	unwritten tally.Gauge
}

func newClaimMetrics(root tally.Scope) claimMetrics {
	return claimMetrics{
		scope:     root,
		requests:  root.Gauge("claim_open"),
		keys:      root.Gauge("claim_keys"),
		unwritten: root.Gauge("claim_unwritten"),
	}
}

// ObserveClaim records the time from a claim to the decision whether its request may run.
func (m *Metrics) ObserveClaim(decision string, d time.Duration) {
	tags := map[string]string{"answer": decision}
	m.claims.scope.Tagged(tags).Histogram("claim_seconds", claimBuckets).RecordDuration(d)
}

// SetClaims sets the number of requests whose claim is open, of known idempotency keys, and of
// claim records that are not yet known to be in the log.
func (m *Metrics) SetClaims(requests, keys, unwritten int) {
	m.claims.requests.Update(float64(requests))
	m.claims.keys.Update(float64(keys))
	m.claims.unwritten.Update(float64(unwritten))
}
