package load

import (
	"slices"
	"time"
)

// Tokens counts the tokens that arrived within the window.
func CountTokens(outcomes []*Outcome, from, to time.Time) int {
	n := 0
	for _, o := range outcomes {
		for _, t := range o.TokenTimes {
			if !t.Before(from) && t.Before(to) {
				n++
			}
		}
	}
	return n
}

// Waits returns the times to the first token of the requests sent within the window by the
// accounts that keep accepts, in ascending order. A request that got none counts until its end.
func TimesToFirstToken(outcomes []*Outcome, include func(account string) bool, from, to time.Time) []time.Duration {
	var waits []time.Duration
	for _, o := range outcomes {
		if !include(o.Account) || o.SentAt.Before(from) || !o.SentAt.Before(to) {
			continue
		}
		startedAt := o.EndedAt
		if len(o.TokenTimes) > 0 {
			startedAt = o.TokenTimes[0]
		}
		waits = append(waits, startedAt.Sub(o.SentAt))
	}
	slices.Sort(waits)
	return waits
}

// Quantile returns the q-quantile of sorted durations, or 0 when there are none.
func Quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}

// LargestCost returns the cost of the most expensive whole answer.
func LargestCost(outcomes []*Outcome) float64 {
	largest := 0.0
	for _, o := range outcomes {
		if o.Completed() {
			largest = max(largest, o.Cost())
		}
	}
	return largest
}
