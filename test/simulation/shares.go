package simulation

import (
	"fmt"
	"time"

	"github.com/filbertrill/filbertrill/internal/fairness"
)

// fairnessSeconds is the length of the intervals over which shares are compared: one and a half
// fairness windows.
const fairnessSeconds = 6

// ShareLog holds what each account asked for and received, by second of the simulation.
type ShareLog map[string][]secondShare

// secondShare is what an account asked for and received in one second, in tokens. Retries count
// again as asked.
type secondShare struct {
	asked, admitted float64
	refused         bool // at least one request was refused
}

// record adds a request that was sent at the given time.
func (l ShareLog) record(account string, at time.Time, cost float64, admitted bool) {
	second := int(at.Sub(Start) / time.Second)
	for len(l[account]) <= second {
		l[account] = append(l[account], secondShare{})
	}
	share := &l[account][second]
	share.asked += cost
	if admitted {
		share.admitted += cost
	} else {
		share.refused = true
	}
}

// ShareGap is an interval in which an account with unmet demand received less than others.
type ShareGap struct {
	Account, BestServed string
	FromSecond          int
	Ratio               float64 // of what the account received to the lesser of its demand and what the best served received
}

// String implements fmt.Stringer.
func (g ShareGap) String() string {
	return fmt.Sprintf("%s received %.2f of %s from second %d", g.Account, g.Ratio, g.BestServed, g.FromSecond)
}

// LargestGap returns the gap with the least ratio over all intervals of fairnessSeconds that begin
// at the given second or later and end before the other one. Only accounts that are refused in each
// second of an interval count as underserved.
func (l ShareLog) LargestGap(fromSecond, toSecond int) ShareGap {
	worst := ShareGap{Ratio: 1}
	for from := fromSecond; from+fairnessSeconds <= toSecond; from++ {
		best, bestAdmitted := "", 0.0
		for account := range l {
			if s := l.sum(account, from); s.admitted > bestAdmitted {
				best, bestAdmitted = account, s.admitted
			}
		}
		for account := range l {
			s := l.sum(account, from)
			if ratio := s.admitted / min(s.asked, bestAdmitted); s.refused && ratio < worst.Ratio {
				worst = ShareGap{account, best, from, ratio}
			}
		}
	}
	return worst
}

// sum returns what the account asked for and received in the interval that begins at the second.
// refused is true if it was refused in each second.
func (l ShareLog) sum(account string, from int) secondShare {
	total := secondShare{refused: true}
	for second := from; second < from+fairnessSeconds; second++ {
		if second >= len(l[account]) {
			total.refused = false
			break
		}
		share := l[account][second]
		total.asked += share.asked
		total.admitted += share.admitted
		total.refused = total.refused && share.refused
	}
	return total
}

// Admitted returns the tokens that all accounts received.
func (l ShareLog) Admitted() float64 {
	total := 0.0
	for _, seconds := range l {
		for _, share := range seconds {
			total += share.admitted
		}
	}
	return total
}

// Rates returns the tokens a second that all accounts asked for and received between the seconds.
func (l ShareLog) Rates(fromSecond, toSecond int) (asked, received float64) {
	for _, shares := range l {
		for second := fromSecond; second < min(toSecond, len(shares)); second++ {
			asked += shares[second].asked
			received += shares[second].admitted
		}
	}
	length := float64(toSecond - fromSecond)
	return asked / length, received / length
}

// recordFairness adds a request that was sent at the given time to Simulation.Fairness.
func (s *Simulation) recordFairness(account string, at time.Time, cost float64, admitted bool) {
	second := fairness.Second{Asked: cost, Largest: cost, Unmet: !admitted}
	if admitted {
		second.Received = cost
	}
	s.Fairness.Add(account, at.Unix(), second)
}

// recordWait adds the time for which a request waited beyond the objective. sentAt is the time of the attempt that was admitted.
func (s *Simulation) recordWait(account string, sentAt, firstEvent time.Time) {
	for late := sentAt.Add(objective); late.Before(firstEvent); late = late.Truncate(time.Second).Add(time.Second) {
		s.Fairness.Add(account, late.Unix(), fairness.Second{Unmet: true})
	}
}
