package dispatch

import (
	"math"
	"slices"
)

// Sizes of the estimator.
const (
	estimateSamples = 64
	// DefaultQuantile is the part of an account's ended costs that an estimate covers.
	DefaultEstimateQuantile = 0.75
)

// Hint is what a request tells of its cost before it runs.
type CostHint struct {
	Min     Cost // part that is sure, such as the prompt
	Default Cost // whole cost, when nothing is known of the account
	Max     Cost // highest whole cost; 0 when there is none
}

// estimator holds the ended costs beyond the sure part, by account and of all accounts.
type estimator struct {
	quantile float64
	accounts map[string]*samples
	all      samples
}

type samples struct {
	ring  []Cost
	next  int
	value Cost // quantile
}

func newEstimator(quantile float64) *estimator {
	if quantile == 0 {
		quantile = DefaultEstimateQuantile
	}
	return &estimator{quantile: quantile, accounts: map[string]*samples{}}
}

// ended takes in the cost of a run.
func (e *estimator) ended(account string, h CostHint, cost Cost) {
	s, ok := e.accounts[account]
	if !ok {
		s = &samples{}
		e.accounts[account] = s
	}
	extra := max(0, cost-h.Min)
	s.add(extra, e.quantile)
	e.all.add(extra, e.quantile)
}

func (s *samples) add(cost Cost, quantile float64) {
	if len(s.ring) < estimateSamples {
		s.ring = append(s.ring, cost)
	} else {
		s.ring[s.next] = cost
		s.next = (s.next + 1) % estimateSamples
	}
	sorted := slices.Sorted(slices.Values(s.ring))
	s.value = sorted[int(math.Ceil(quantile*float64(len(sorted)-1)))]
}

// estimate returns the cost to charge when the request starts: a quantile of the account's
// own ended costs, of all accounts' when it has none, or the guess before any run has
// ended; between the sure part and the limit.
func (e *estimator) estimate(account string, h CostHint) Cost {
	cost := h.Default
	if s, ok := e.accounts[account]; ok {
		cost = h.Min + s.value
	} else if len(e.all.ring) > 0 {
		cost = h.Min + e.all.value
	}
	cost = max(cost, h.Min)
	if h.Max > 0 {
		cost = min(cost, h.Max)
	}
	return cost
}
