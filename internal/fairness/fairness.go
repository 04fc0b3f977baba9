// Package fairness measures how near client accounts come to receiving less than half of what others receive. A Meter counts, at
// one daemon, what each account asks for and receives in each second. A Log adds up the counts of all daemons and finds the
// intervals in which an account was nearest to the bound. Nothing in it takes part in decisions.
package fairness

import (
	"cmp"
	"maps"
	"slices"
)

const (
	// IntervalSeconds is the length of the intervals over which accounts are compared.
	IntervalSeconds = 6
	// toleratedRequests is the number of the largest requests of an account that it may lack.
	toleratedRequests = 3
)

// Second is what an account asked for and received in one second, in tokens. Requests of refused callers that come back count again
// as asked, and each run counts as received when it is sent to a server.
type Second struct {
	Asked, Received float64
	Largest         float64 // of the requests that were asked for
	Unmet           bool    // a request was refused, or waited beyond its objective
}

// Plus returns the sum of what the account asked for and received at different daemons.
func (s Second) Plus(other Second) Second {
	return Second{s.Asked + other.Asked, s.Received + other.Received, max(s.Largest, other.Largest), s.Unmet || other.Unmet}
}

// Log holds what accounts of a fleet asked for and received by second.
type Log map[string]map[int64]Second

// Add adds what the account asked for and received in the second, given as seconds since any fixed time.
func (l Log) Add(account string, second int64, s Second) {
	seconds, ok := l[account]
	if !ok {
		seconds = make(map[int64]Second)
		l[account] = seconds
	}
	seconds[second] = seconds[second].Plus(s)
}

// Gap compares an account that had unmet requests in each second of an interval with the other account by which it was owed most.
type Gap struct {
	Account, BestServed string
	From                int64 // first second of the interval
	Asked, Received     float64
	BestReceived        float64
	// Owed is the lesser of what the account asked for and what the best served one received, second by second.
	Owed      float64
	Tolerance float64 // the largest requests that the account may lack, in tokens
}

// Share returns what the account received, relative to what it was owed. Half is required.
func (g Gap) Share() float64 { return g.Received / g.Owed }

// Distance returns the share of the required half that the account received, with the tolerance. Below 1 the bound is broken.
func (g Gap) Distance() float64 { return (g.Received + g.Tolerance) / (g.Owed / 2) }

// Gaps returns the gap with the least Distance of each interval that has one, ordered by time. The intervals overlap: one begins in each second.
func (l Log) Gaps() []Gap {
	var gaps []Gap
	for _, from := range l.starts() {
		if worst, ok := l.worst(from); ok {
			gaps = append(gaps, worst)
		}
	}
	return gaps
}

// Nearest returns the gap with the least Distance. ok is false if no account had unmet requests throughout an interval.
func (l Log) Nearest() (nearest Gap, ok bool) {
	gaps := l.Gaps()
	if len(gaps) == 0 {
		return Gap{}, false
	}
	return slices.MinFunc(gaps, func(a, b Gap) int { return cmp.Compare(a.Distance(), b.Distance()) }), true
}

// starts returns the first seconds of all intervals, ordered by time.
func (l Log) starts() []int64 {
	starts := make(map[int64]bool)
	for _, seconds := range l {
		for second := range seconds {
			starts[second] = true
		}
	}
	return slices.Sorted(maps.Keys(starts))
}

// worst returns the gap with the least Distance of the interval.
func (l Log) worst(from int64) (worst Gap, ok bool) {
	for account := range l {
		gap, unmet := l.compare(account, from)
		if unmet && gap.Owed > 0 && (!ok || gap.Distance() < worst.Distance()) {
			worst, ok = gap, true
		}
	}
	return worst, ok
}

// compare compares the account with all others over the interval. unmet is false if it had no unmet request in one of its seconds.
func (l Log) compare(account string, from int64) (gap Gap, unmet bool) {
	gap = Gap{Account: account, From: from}
	largest := 0.0
	for second := from; second < from+IntervalSeconds; second++ {
		s := l[account][second]
		if !s.Unmet {
			return gap, false
		}
		gap.Asked += s.Asked
		gap.Received += s.Received
		largest = max(largest, s.Largest)
	}
	gap.Tolerance = toleratedRequests * largest
	for other, theirs := range l {
		owed, received := 0.0, 0.0
		for second := from; second < from+IntervalSeconds; second++ {
			owed += min(l[account][second].Asked, theirs[second].Received)
			received += theirs[second].Received
		}
		if other != account && owed > gap.Owed {
			gap.BestServed, gap.BestReceived, gap.Owed = other, received, owed
		}
	}
	return gap, true
}
