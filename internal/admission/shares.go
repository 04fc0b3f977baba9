// Package admission decides which requests are refused when the backend servers of a service
// can't answer all of them in time, and when a refused caller should retry. It has no clock,
// socket or lock of its own.
package admission

import (
	"iter"
	"math"
	"slices"
	"time"

	"github.com/filbertrill/filbertrill/internal/monotonic"
)

// Shares tracks the usage of accounts over a sliding window, both of this daemon and as reported
// by its peers, and computes the max-min fair shares of the capacity. It is not safe for
// concurrent use.
type Shares struct {
	window   time.Duration
	capacity float64               // tokens per second
	accounts map[uint64]*usageRing // usage of this daemon
	pacers   map[uint64]*pacer     // of this daemon, see Credit
	peers    map[string]peerUsage
	reported usageHistory // usage of this daemon

	levels           Levels
	levelsComputedAt time.Time

	ranks map[int]*usageRing // what the requests of each rank ask for at this daemon and receive

	largest   float64   // cost in tokens of the largest request of late, see recordCost
	largestAt time.Time // when it was recorded
}

// peerUsage is the last usage report of a peer, by account.
type peerUsage struct {
	usage      map[uint64]Usage
	takenAt    time.Time // by the daemon, or by the one of several that did so first
	receivedAt time.Time
	history    usageHistory
}

const (
	// reportTTL is how long a peer's usage report counts as one of now. The usage in it counts for a window: a daemon that is too
	// busy to report still serves its accounts.
	reportTTL = 1500 * time.Millisecond
	// maxShareRatio is the required bound of what an account receives over fairnessWindows, relative to the least served
	// account with unmet demand.
	maxShareRatio   = 2.0
	fairnessWindows = 1.5
	// requestTolerance is the number of the largest requests that are added to what the least served account receives in a
	// window. Users leave out three of them in one and a half windows. Rates are uneven by as much, and the lowest of many
	// accounts would else keep all of them from using idle servers.
	requestTolerance = 2
	// satisfiedShare is the share of its demand that an account must receive to count as served,
	// whatever others receive. The requirement is half.
	satisfiedShare = 0.6
	// minLimitShare is the least limit of accounts, as a share of the guaranteed level. An account whose daemon serves so little that the
	// limit would be lower gains nothing if all others are stopped: they yield to the guaranteed level then.
	minLimitShare = 0.125
	// levelsTTL is how long computed levels are reused.
	levelsTTL = 50 * time.Millisecond
)

// NewShares returns Shares over a sliding window of the given length.
func NewShares(window time.Duration) *Shares {
	return &Shares{
		window:   window,
		accounts: make(map[uint64]*usageRing),
		pacers:   make(map[uint64]*pacer),
		peers:    make(map[string]peerUsage),
		ranks:    make(map[int]*usageRing),
	}
}

// SetCapacity sets the capacity in tokens per second that the accounts share.
func (s *Shares) SetCapacity(tokensPerSecond float64) { s.capacity = tokensPerSecond }

// RecordDemand adds the tokens of a request to the demand of the account.
func (s *Shares) RecordDemand(account uint64, tokens float64, now time.Time) {
	s.accountRing(account).bucketAt(s.bucketIndex(now)).demand += tokens
	s.recordCost(tokens, now)
}

// RecordUnread adds the tokens of a request that was refused unread to the demand of the account.
func (s *Shares) RecordUnread(account uint64, tokens float64, now time.Time) {
	s.RecordDemand(account, tokens, now)
	s.accountRing(account).bucketAt(s.bucketIndex(now)).unread += tokens
}

// recordCost keeps the cost of the largest request, which counts for two windows.
func (s *Shares) recordCost(tokens float64, now time.Time) {
	if tokens >= s.largest || now.Sub(s.largestAt) > 2*s.window {
		s.largest, s.largestAt = tokens, now
	}
}

// RecordAdmitted adds the tokens of a request that is sent to a server.
func (s *Shares) RecordAdmitted(account uint64, tokens float64, now time.Time) {
	s.accountRing(account).bucketAt(s.bucketIndex(now)).admitted += tokens
	if p, ok := s.pacers[account]; ok {
		p.credit -= tokens
	}
}

// SetPeerUsage replaces the usage by account that the peer reported, as of takenAt. The map must not be
// changed afterwards.
func (s *Shares) SetPeerUsage(peer string, usage map[uint64]Usage, takenAt, now time.Time) {
	s.peers[peer] = peerUsage{usage, takenAt, now, s.peers[peer].history.add(datedUsage{usage, takenAt})}
}

// OwnUsage returns the usage by account of this daemon alone over the window.
func (s *Shares) OwnUsage(now time.Time) map[uint64]Usage {
	usage := make(map[uint64]Usage, len(s.accounts))
	index := s.bucketIndex(now)
	for account, r := range s.accounts {
		if sum := r.sum(index); sum.Demand > 0 {
			usage[account] = sum
		} else {
			delete(s.accounts, account)
			delete(s.pacers, account)
		}
	}
	return usage
}

// Report returns OwnUsage for peers, and keeps it for DemandShare. The map must not be changed.
func (s *Shares) Report(now time.Time) map[uint64]Usage {
	usage := s.OwnUsage(now)
	s.reported = s.reported.add(datedUsage{usage, now})
	return usage
}

// Usage returns the usage of the account over the fleet.
func (s *Shares) Usage(account uint64, now time.Time) Usage {
	var usage Usage
	if r, ok := s.accounts[account]; ok {
		usage = r.sum(s.bucketIndex(now))
	}
	for _, p := range s.countedPeers(now) {
		usage = usage.Plus(p.usage[account])
	}
	return usage
}

// countedPeers returns the peers whose usage counts, and forgets the others.
func (s *Shares) countedPeers(now time.Time) iter.Seq2[string, peerUsage] {
	return func(yield func(string, peerUsage) bool) {
		for peer, p := range s.peers {
			if now.Sub(p.receivedAt) > s.window {
				delete(s.peers, peer)
				continue
			}
			if !yield(peer, p) {
				return
			}
		}
	}
}

// ReportAge returns the time since the oldest peer report that counts as one of now was taken.
func (s *Shares) ReportAge(now time.Time) time.Duration {
	var oldest time.Duration
	for _, p := range s.peers {
		if now.Sub(p.receivedAt) <= reportTTL {
			oldest = max(oldest, now.Sub(p.takenAt))
		}
	}
	return oldest
}

// DemandShare returns the part of the demand of the account over the fleet that arrives at this
// daemon. Demands are compared as of the time of the oldest report: if that of this daemon were
// newer, the parts of all daemons would add up to a multiple of the demand while it grows. ok is
// false if no demand of that time is known.
func (s *Shares) DemandShare(account uint64, now time.Time) (share float64, ok bool) {
	asOf := now.Add(-s.ReportAge(now))
	own, peers := s.reported.demandAt(account, asOf), 0.0
	for _, p := range s.countedPeers(now) {
		peers += p.history.demandAt(account, asOf)
	}
	if own == 0 {
		return 0, false
	}
	return own / (own + peers), true
}

// OwnDemand returns the part of the account's demand over the window that arrives at this daemon.
func (s *Shares) OwnDemand(account uint64, now time.Time) float64 {
	if r, ok := s.accounts[account]; ok {
		return r.sum(s.bucketIndex(now)).Demand
	}
	return 0
}

// DemandGrowth returns the demand of the account that has arrived at this daemon of late, without a request of the given cost that
// was just recorded, relative to the one as of the time of the oldest report. It is at least 1.
func (s *Shares) DemandGrowth(account uint64, cost float64, now time.Time) float64 {
	r, ok := s.accounts[account]
	reported := s.reported.demandAt(account, now.Add(-s.ReportAge(now)))
	if !ok || reported <= 0 {
		return 1
	}
	index, bucket := s.bucketIndex(now), s.window/bucketCount
	length := bucket + time.Duration(monotonic.UnixNano(now)%bucket.Nanoseconds()) // of the newest bucket so far, and the one before
	recent := r.bucketAt(index).demand + r.bucketBefore(index).demand - cost
	return max(1, recent/reported*s.window.Seconds()/length.Seconds())
}

// Credit returns the tokens that the account may still receive from this daemon at the rate, in
// tokens per second. It is infinite if the rate is.
func (s *Shares) Credit(account uint64, rate float64, now time.Time) float64 {
	p, ok := s.pacers[account]
	switch {
	case math.IsInf(rate, 1):
		delete(s.pacers, account)
		return rate
	case !ok:
		p = &pacer{credit: rate * pacerBurst.Seconds(), updatedAt: now}
		s.pacers[account] = p
	}
	p.accrue(rate, now)
	return p.credit
}

// Levels are max-min fair levels: the most tokens per window that an account receives while other
// accounts have unmet demand. They are infinite when no account has.
type Levels struct {
	Guaranteed float64 // from the configured capacity, or like Attained if there is none
	Attained   float64 // from the tokens admitted over the window, if they exceed that capacity
	// Limit bounds the Usage.rate of all accounts while others are underserved. It is never
	// below minLimitShare of Guaranteed.
	Limit float64
	// HighestRate is the highest Usage.rate of all accounts.
	HighestRate float64
}

// Levels returns the levels of the accounts with demand in the window; it recomputes them at most
// once per levelsTTL.
func (s *Shares) Levels(now time.Time) Levels {
	if now.Sub(s.levelsComputedAt) < levelsTTL {
		return s.levels
	}
	total := s.OwnUsage(now)
	for _, p := range s.countedPeers(now) {
		for account, usage := range p.usage {
			total[account] = total[account].Plus(usage)
		}
	}
	demands := make([]float64, 0, len(total))
	admitted, highestRate := 0.0, 0.0
	for _, usage := range total {
		demands = append(demands, usage.Demand)
		admitted += usage.Admitted
		highestRate = max(highestRate, usage.rate())
	}
	capacity := s.capacity * s.window.Seconds()
	if capacity == 0 {
		capacity = admitted
	}
	s.levels = Levels{
		Guaranteed:  MaxMinLevel(demands, capacity),
		Attained:    MaxMinLevel(demands, max(capacity, admitted)),
		Limit:       math.Inf(1),
		HighestRate: highestRate,
	}
	if s.levels.Guaranteed > 0 {
		lowest := leastServed(total, s.levels.Guaranteed) + requestTolerance*s.largest
		s.levels.Limit = maxLeadRatio(s.window, s.ReportAge(now)) * lowest
		if s.levels.Limit < minLimitShare*s.levels.Guaranteed {
			s.levels.Limit = s.levels.Guaranteed
		}
	}
	s.levelsComputedAt = now
	return s.levels
}

// maxLeadRatio bounds the rate of an account relative to that of the least served account with unmet demand. Rates are means over a
// window and known when they are reported, so that a limit follows a change late by half a window and the age of the reports.
func maxLeadRatio(window, reportAge time.Duration) float64 {
	lag := window/2 + reportAge
	return maxShareRatio / (1 + lag.Seconds()/(fairnessWindows*window.Seconds()))
}

// leastServed returns the lowest rate of the underserved accounts, or infinity if there is none.
func leastServed(usage map[uint64]Usage, guaranteed float64) float64 {
	lowest := math.Inf(1)
	for _, u := range usage {
		if u.underserved(guaranteed) {
			lowest = min(lowest, u.rate())
		}
	}
	return lowest
}

// MaxMinLevel returns the max-min fair level: the sum of all demands, each capped at the level,
// equals the capacity. It returns infinity when all demands fit. It sorts demands in place.
func MaxMinLevel(demands []float64, capacity float64) float64 {
	slices.Sort(demands)
	for i, demand := range demands {
		remaining := float64(len(demands) - i)
		if demand*remaining > capacity {
			return capacity / remaining
		}
		capacity -= demand
	}
	return math.Inf(1)
}

// bucketIndex returns the number of the bucket that the time falls into.
func (s *Shares) bucketIndex(now time.Time) int64 {
	return monotonic.UnixNano(now) / (s.window.Nanoseconds() / bucketCount)
}

func (s *Shares) accountRing(account uint64) *usageRing {
	r, ok := s.accounts[account]
	if !ok {
		r = &usageRing{}
		s.accounts[account] = r
	}
	return r
}
