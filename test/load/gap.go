package load

import (
	"cmp"
	"slices"
	"time"

	"github.com/filbertrill/filbertrill/internal/cost"
)

// ServiceAccounting selects when the cost of a request counts as service received.
type ServiceAccounting int

// The accounting modes.
const (
	CountAtStart    ServiceAccounting = iota // the whole cost at the first token
	CountOnDelivery                          // the cost of the prompt at the first token, that of each token when it arrives
)

// FairnessGap returns the largest difference in weighted service (service divided by weight)
// between two accounts over any interval within [from, to] in which both are backlogged, that is,
// have requests without a first token. A request that never gets a token counts as waiting until
// it ends.
func FairnessGap(outcomes []*Outcome, weights map[string]float64, accounting ServiceAccounting, from, to time.Time) float64 {
	g := newGapTracker(weights)
	for _, e := range gapEvents(outcomes, accounting) {
		if e.at.After(to) {
			break
		}
		g.apply(e, !e.at.Before(from))
	}
	return g.largest
}

// gapEvent is a change of the waiting requests or the service of an account.
type gapEvent struct {
	at           time.Time
	account      string
	waitingDelta int
	serviceDelta float64
}

func gapEvents(outcomes []*Outcome, accounting ServiceAccounting) []gapEvent {
	var events []gapEvent
	for _, o := range outcomes {
		startedAt := o.EndedAt
		if len(o.TokenTimes) > 0 {
			startedAt = o.TokenTimes[0]
		}
		events = append(events, gapEvent{at: o.SentAt, account: o.Account, waitingDelta: 1})
		events = append(events, gapEvent{at: startedAt, account: o.Account, waitingDelta: -1, serviceDelta: serviceAtStart(o, accounting)})
		if accounting == CountOnDelivery {
			for _, t := range o.TokenTimes {
				events = append(events, gapEvent{at: t, account: o.Account, serviceDelta: cost.GeneratedTokenWeight})
			}
		}
	}
	slices.SortStableFunc(events, func(a, b gapEvent) int { return cmp.Compare(a.at.UnixNano(), b.at.UnixNano()) })
	return events
}

func serviceAtStart(o *Outcome, accounting ServiceAccounting) float64 {
	if len(o.TokenTimes) == 0 {
		return 0
	}
	if accounting == CountAtStart {
		return o.Cost()
	}
	return cost.Tokens(o.PromptTokens, 0)
}

// gapTracker tracks, for each pair of accounts, the range of the difference in weighted service
// since both became backlogged.
type gapTracker struct {
	weights map[string]float64
	waiting map[string]int
	service map[string]float64
	pairs   map[[2]string]*pairRange
	largest float64
}

type pairRange struct{ low, high float64 }

func newGapTracker(weights map[string]float64) *gapTracker {
	return &gapTracker{
		weights: weights,
		waiting: map[string]int{},
		service: map[string]float64{},
		pairs:   map[[2]string]*pairRange{},
	}
}

func (g *gapTracker) apply(e gapEvent, inWindow bool) {
	g.service[e.account] += e.serviceDelta / g.weights[e.account]
	for other := range g.weights {
		if other != e.account {
			g.updatePair(e.account, other, inWindow)
		}
	}
	g.waiting[e.account] += e.waitingDelta
	for other := range g.weights {
		if other != e.account {
			g.updatePair(e.account, other, inWindow)
		}
	}
}

func (g *gapTracker) updatePair(a, b string, inWindow bool) {
	if a > b {
		a, b = b, a
	}
	key := [2]string{a, b}
	if g.waiting[a] <= 0 || g.waiting[b] <= 0 || !inWindow {
		delete(g.pairs, key)
		return
	}
	d := g.service[a] - g.service[b]
	r, ok := g.pairs[key]
	if !ok {
		g.pairs[key] = &pairRange{low: d, high: d}
		return
	}
	r.low = min(r.low, d)
	r.high = max(r.high, d)
	g.largest = max(g.largest, r.high-r.low)
}
