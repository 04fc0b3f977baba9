package dispatch

import (
	"math"
	"slices"
)

// Sizes of the estimator.
const (
	estimateSamples  = 64
	estimateLeast    = 4 // samples before the account's own costs count
	estimateQuantile = 0.75
)

// Hint is what a request tells of its cost before it runs.
type Hint struct {
	Least Cost // part that is sure, such as the prompt
	Guess Cost // whole cost, when nothing is known of the account
	Limit Cost // highest whole cost; 0 when there is none
}

// estimator holds, by account, the ended costs beyond the sure part.
type estimator map[string]*samples

type samples struct {
	ring  []Cost
	next  int
	value Cost // quantile
}

// ended takes in the cost of a run.
func (e estimator) ended(account string, h Hint, cost Cost) {
	s, ok := e[account]
	if !ok {
		s = &samples{}
		e[account] = s
	}
	s.add(max(0, cost-h.Least))
}

func (s *samples) add(cost Cost) {
	if len(s.ring) < estimateSamples {
		s.ring = append(s.ring, cost)
	} else {
		s.ring[s.next] = cost
		s.next = (s.next + 1) % estimateSamples
	}
	sorted := slices.Sorted(slices.Values(s.ring))
	s.value = sorted[int(estimateQuantile*float64(len(sorted)-1))]
}

// estimate returns the cost to charge when the request starts: a quantile of the account's
// own ended costs, between the sure part and the limit.
func (e estimator) estimate(account string, h Hint) Cost {
	cost := h.Guess
	if s, ok := e[account]; ok && len(s.ring) >= estimateLeast {
		cost = h.Least + s.value
	}
	cost = max(cost, h.Least)
	if h.Limit > 0 {
		cost = min(cost, h.Limit)
	}
	if math.IsNaN(cost) || cost < 0 {
		return 0
	}
	return cost
}
