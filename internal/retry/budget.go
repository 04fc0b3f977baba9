// Package retry limits how many requests are retried on another backend server.
package retry

import "time"

// Settings of a Budget.
const (
	Ratio        = 0.1 // retries per request
	MinPerSecond = 1.0 // retries per second that are allowed without any requests
	Burst        = 10  // capacity of the bucket in retries
)

// Budget is a token bucket that requests fill and retries drain, so that retries stay a fixed
// share of the requests when many backend servers fail at once (retry budget, Site Reliability
// Engineering, chapter 21). It is not safe for concurrent use.
type Budget struct {
	tokens     float64
	lastRefill time.Time
}

// NewBudget returns a full budget.
func NewBudget(now time.Time) *Budget { return &Budget{tokens: Burst, lastRefill: now} }

// RecordRequest credits the budget with Ratio retries for one request.
func (b *Budget) RecordRequest(now time.Time) {
	b.refill(now)
	b.add(Ratio)
}

// Take consumes one retry. It reports false when the budget is exhausted.
func (b *Budget) Take(now time.Time) bool {
	b.refill(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

func (b *Budget) refill(now time.Time) {
	if elapsed := now.Sub(b.lastRefill); elapsed > 0 {
		b.lastRefill = now
		b.add(MinPerSecond * elapsed.Seconds())
	}
}

func (b *Budget) add(tokens float64) { b.tokens = min(Burst, b.tokens+tokens) }
