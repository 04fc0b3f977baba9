package dispatch

import (
	"math"
	"slices"
)

// Parameters of the cost estimate.
const (
	maxCostSamples = 64 // most recent runs
	// DefaultEstimateQuantile is the quantile of past costs that is used as the estimate.
	DefaultEstimateQuantile = 0.75
)

// CostHint is what is known about the cost of a request before it runs.
type CostHint struct {
	Min     Cost // certain part, such as that of the prompt
	Default Cost // total cost to assume if no run has ended yet
	Max     Cost // upper limit of the total cost; 0 if there is none
}

// costEstimator estimates the cost of requests from the costs of recent runs in excess of
// CostHint.Min, per account and over all accounts.
type costEstimator struct {
	quantile    float64
	accounts    map[string]*costSamples
	allAccounts costSamples
}

// costSamples is a ring buffer of recent costs.
type costSamples struct {
	costs    []Cost
	next     int // index of the oldest sample once the buffer is full
	quantile Cost
}

func newCostEstimator(quantile float64) *costEstimator {
	if quantile == 0 {
		quantile = DefaultEstimateQuantile
	}
	return &costEstimator{quantile: quantile, accounts: map[string]*costSamples{}}
}

// recordCost records the cost of an ended run.
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

// estimate returns the cost to charge when a request starts: a quantile of the account's past
// costs, or of all accounts' costs if it has none, or h.Default if no run has ended. The
// result lies between h.Min and h.Max.
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
