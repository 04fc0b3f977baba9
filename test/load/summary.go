package load

import (
	"slices"
	"time"
)

// CountTokens returns the number of tokens that arrived in [from, to).
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

// TimesToFirstToken returns, in ascending order, the time to first token of the requests sent in
// [from, to) by the accounts that include accepts. A request without a token counts with its
// whole duration.
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

// LargestCost returns the cost of the most expensive completed request, or 0 when there is none.
func LargestCost(outcomes []*Outcome) float64 {
	largest := 0.0
	for _, o := range outcomes {
		if o.Completed() {
			largest = max(largest, o.Cost())
		}
	}
	return largest
}
