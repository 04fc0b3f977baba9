package dispatch

import (
	"math"
	"slices"
)

// Sizes of the estimator.
const (
	maxCostSamples = 64
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
type costEstimator struct {
	quantile    float64
	accounts    map[string]*costSamples
	allAccounts costSamples
}

type costSamples struct {
	costs    []Cost
	next     int
	quantile Cost // quantile
}

func newCostEstimator(quantile float64) *costEstimator {
	if quantile == 0 {
		quantile = DefaultEstimateQuantile
	}
	return &costEstimator{quantile: quantile, accounts: map[string]*costSamples{}}
}

// ended takes in the cost of a run.
func (e *costEstimator) recordCost(account string, h CostHint, cost Cost) {
	s, ok := e.accounts[account]
	if !ok {
		s = &costSamples{}
		e.accounts[account] = s
	}
	extra := max(0, cost-h.Min)
	s.add(extra, e.quantile)
	e.allAccounts.add(extra, e.quantile)
}

func (s *costSamples) add(cost Cost, quantile float64) {
	if len(s.costs) < maxCostSamples {
		s.costs = append(s.costs, cost)
	} else {
		s.costs[s.next] = cost
		s.next = (s.next + 1) % maxCostSamples
	}
	sorted := slices.Sorted(slices.Values(s.costs))
	s.quantile = sorted[int(math.Ceil(quantile*float64(len(sorted)-1)))]
}

// estimate returns the cost to charge when the request starts: a quantile of the account's
// own ended costs, of all accounts' when it has none, or the guess before any run has
// ended; between the sure part and the limit.
func (e *costEstimator) estimate(account string, h CostHint) Cost {
	cost := h.Default
	if s, ok := e.accounts[account]; ok {
		cost = h.Min + s.quantile
	} else if len(e.allAccounts.costs) > 0 {
		cost = h.Min + e.allAccounts.quantile
	}
	cost = max(cost, h.Min)
	if h.Max > 0 {
		cost = min(cost, h.Max)
	}
	return cost
}
