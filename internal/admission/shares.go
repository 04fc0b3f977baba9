// Package admission decides which requests are refused when the backend servers of a
// service can't answer all in time, and when a refused caller should come back. It has no
// clock, socket or lock of its own.
package admission

import (
	"math"
	"slices"
	"time"

	"github.com/filbertrill/filbertrill/internal/steady"
)

// buckets is the number of steps in which the window slides.
const bucketCount = 8

// Use is what an account asked for and was given over the window, in tokens.
type Usage struct {
	Demand         float64
	Admitted       float64
	RecentAdmitted float64 // of Admitted, in the second half of the window
}

func (u Usage) plus(other Usage) Usage {
	return Usage{u.Demand + other.Demand, u.Admitted + other.Admitted, u.RecentAdmitted + other.RecentAdmitted}
}

// Shares keeps what accounts asked for over a sliding window, of this daemon and of its
// peers, and works out their max-min fair share of the capacity. It is not safe for
// concurrent use.
type Shares struct {
	window   time.Duration
	capacity float64 // tokens a second
	accounts map[uint64]*usageRing
	peers    map[string]peerUsage

	levels           Levels
	levelsComputedAt time.Time
}

type peerUsage struct {
	usage      map[uint64]Usage
	receivedAt time.Time
}

type usageRing struct {
	buckets [bucketCount]Usage
	index   int64 // of the newest slot
}

const (
	// peerTTL is how long the use that a peer reported counts.
	peerUsageTTL = 1500 * time.Millisecond
	// maxLead is how many times as much an account may receive lately, beyond what all are owed,
	// as another one that wants more than the level: the users ask that no one gets less than
	// half of what the best served account gets, and requests under way blur both.
	maxLeadRatio = 1.7
	// content is the share of what it asks for with which an account is not left behind, whatever
	// others receive: the users ask for half.
	satisfiedShare = 0.7
	// levelAge is how old worked-out shares may be.
	levelsTTL = 50 * time.Millisecond
)

// NewShares returns shares over windows of the given length.
func NewShares(window time.Duration) *Shares {
	return &Shares{
		window:   window,
		accounts: make(map[uint64]*usageRing),
		peers:    make(map[string]peerUsage),
	}
}

// SetCapacity sets the tokens a second that are shared.
func (s *Shares) SetCapacity(tokensPerSecond float64) { s.capacity = tokensPerSecond }

// Ask records a request of the account.
func (s *Shares) RecordDemand(account uint64, tokens float64, now time.Time) {
	s.accountRing(account).bucketAt(s.bucketIndex(now)).Demand += tokens
}

// Admit records that a request of the account was sent to a server.
func (s *Shares) RecordAdmitted(account uint64, tokens float64, now time.Time) {
	s.accountRing(account).bucketAt(s.bucketIndex(now)).Admitted += tokens
}

// SetPeer records the uses that a peer reported.
func (s *Shares) SetPeerUsage(peer string, usage map[uint64]Usage, now time.Time) {
	s.peers[peer] = peerUsage{usage, now}
}

// Own returns the uses of this daemon over the window.
func (s *Shares) OwnUsage(now time.Time) map[uint64]Usage {
	usage := make(map[uint64]Usage, len(s.accounts))
	index := s.bucketIndex(now)
	for account, r := range s.accounts {
		if sum := r.sum(index); sum.Demand > 0 {
			usage[account] = sum
		} else {
			delete(s.accounts, account)
		}
	}
	return usage
}

// Use returns the use of the account over the fleet.
func (s *Shares) Usage(account uint64, now time.Time) Usage {
	var usage Usage
	if r, ok := s.accounts[account]; ok {
		usage = r.sum(s.bucketIndex(now))
	}
	for peer, p := range s.peers {
		if now.Sub(p.receivedAt) > peerUsageTTL {
			delete(s.peers, peer)
			continue
		}
		usage = usage.plus(p.usage[account])
	}
	return usage
}

// Levels are the most tokens a window that an account receives while others want more.
type Levels struct {
	Guaranteed  float64 // out of the capacity that the accounts are promised together
	Attained    float64 // out of what the servers have taken lately, where that is more
	RecentLimit float64 // of Use.Lately, beyond which an account leaves too far behind another one that wants as much
}

// Levels returns the max-min fair shares of the accounts that ask now.
func (s *Shares) Levels(now time.Time) Levels {
	if now.Sub(s.levelsComputedAt) < levelsTTL {
		return s.levels
	}
	total := s.OwnUsage(now)
	for peer, p := range s.peers {
		if now.Sub(p.receivedAt) > peerUsageTTL {
			delete(s.peers, peer)
			continue
		}
		for account, usage := range p.usage {
			total[account] = total[account].plus(usage)
		}
	}
	demands := make([]float64, 0, len(total))
	admitted := 0.0
	for _, usage := range total {
		demands = append(demands, usage.Demand)
		admitted += usage.Admitted
	}
	guaranteed := s.capacity * s.window.Seconds()
	s.levels = Levels{Guaranteed: MaxMinLevel(demands, guaranteed), Attained: MaxMinLevel(demands, max(guaranteed, admitted))}
	s.levels.RecentLimit = max(s.levels.Guaranteed/2, maxLeadRatio*leastServed(total, s.levels.Attained))
	s.levelsComputedAt = now
	return s.levels
}

// least returns what the account has received lately that received least of those that ask for
// more than the level and don't get most of it: infinity when there is none. Over the whole
// window, one that has just begun to flood would take all of the next seconds before it is ahead.
func leastServed(usage map[uint64]Usage, level float64) float64 {
	lowest := math.Inf(1)
	for _, u := range usage {
		if u.Demand > level && u.Admitted < satisfiedShare*u.Demand {
			lowest = min(lowest, u.RecentAdmitted)
		}
	}
	return lowest
}

// MaxMin returns the level up to which demands are met so that they use up the capacity:
// infinity, when all of them fit.
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

func (s *Shares) bucketIndex(now time.Time) int64 {
	return steady.UnixNano(now) / (s.window.Nanoseconds() / bucketCount)
}

func (s *Shares) accountRing(account uint64) *usageRing {
	r, ok := s.accounts[account]
	if !ok {
		r = &usageRing{}
		s.accounts[account] = r
	}
	return r
}

// at returns the slot of the index and clears those that have left the window.
func (r *usageRing) bucketAt(index int64) *Usage {
	if index-r.index >= bucketCount {
		*r = usageRing{index: index}
	}
	for r.index < index {
		r.index++
		r.buckets[r.index%bucketCount] = Usage{}
	}
	return &r.buckets[r.index%bucketCount]
}

func (r *usageRing) sum(index int64) Usage {
	var usage Usage
	r.bucketAt(index)
	for i, bucket := range r.buckets {
		usage.Demand += bucket.Demand
		usage.Admitted += bucket.Admitted
		if age := (index - int64(i)) % bucketCount; (age+bucketCount)%bucketCount < bucketCount/2 {
			usage.RecentAdmitted += bucket.Admitted
		}
	}
	return usage
}
