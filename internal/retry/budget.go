// Package retry bounds how many requests run again on another backend server.
package retry

import "time"

// Settings of a Budget.
const (
	Ratio        = 0.1 // retries for each request
	MinPerSecond = 1.0 // retries allowed without any requests
	Burst        = 10  // retries saved up at most
)

// Budget is a token bucket that requests fill and retries empty, so that retries stay a
// fixed share of the requests when many backend servers fail at once (the retry budget of
// the SRE book, chapter 21). It is not safe for concurrent use.
type Budget struct {
	tokens   float64
	refilled time.Time
}

// NewBudget returns a full budget.
func NewBudget(now time.Time) *Budget { return &Budget{tokens: Burst, refilled: now} }

// Request adds the share of one request.
func (b *Budget) RecordRequest(now time.Time) {
	b.refill(now)
	b.add(Ratio)
}

// Take takes one retry, and reports false when the budget is empty.
func (b *Budget) Take(now time.Time) bool {
	b.refill(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

func (b *Budget) refill(now time.Time) {
	if elapsed := now.Sub(b.refilled); elapsed > 0 {
		b.refilled = now
		b.add(MinPerSecond * elapsed.Seconds())
	}
}

func (b *Budget) add(tokens float64) { b.tokens = min(Burst, b.tokens+tokens) }
