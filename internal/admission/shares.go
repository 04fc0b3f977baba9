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
const buckets = 8

// Use is what an account asked for and was given over the window, in tokens.
type Usage struct {
	Demand         float64
	Admitted       float64
	RecentAdmitted float64 // of Admitted, in the second half of the window
}

func (u Usage) plus(o Usage) Usage {
	return Usage{u.Demand + o.Demand, u.Admitted + o.Admitted, u.RecentAdmitted + o.RecentAdmitted}
}

// Shares keeps what accounts asked for over a sliding window, of this daemon and of its
// peers, and works out their max-min fair share of the capacity. It is not safe for
// concurrent use.
type Shares struct {
	window   time.Duration
	capacity float64 // tokens a second
	accounts map[uint64]*ring
	peers    map[string]peerUse

	levels   Levels
	levelsAt time.Time
}

type peerUse struct {
	uses map[uint64]Usage
	at   time.Time
}

type ring struct {
	slots [buckets]Usage
	index int64 // of the newest slot
}

const (
	// peerTTL is how long the use that a peer reported counts.
	peerTTL = 1500 * time.Millisecond
	// maxLead is how many times as much an account may receive lately, beyond what all are owed,
	// as another one that wants more than the level: the users ask that no one gets less than
	// half of what the best served account gets, and requests under way blur both.
	maxLead = 1.7
	// content is the share of what it asks for with which an account is not left behind, whatever
	// others receive: the users ask for half.
	content = 0.7
	// levelAge is how old worked-out shares may be.
	levelAge = 50 * time.Millisecond
)

// NewShares returns shares over windows of the given length.
func NewShares(window time.Duration) *Shares {
	return &Shares{
		window:   window,
		accounts: make(map[uint64]*ring),
		peers:    make(map[string]peerUse),
	}
}

// SetCapacity sets the tokens a second that are shared.
func (s *Shares) SetCapacity(tokensPerSecond float64) { s.capacity = tokensPerSecond }

// Ask records a request of the account.
func (s *Shares) RecordDemand(account uint64, tokens float64, now time.Time) {
	s.ring(account).at(s.index(now)).Demand += tokens
}

// Admit records that a request of the account was sent to a server.
func (s *Shares) RecordAdmitted(account uint64, tokens float64, now time.Time) {
	s.ring(account).at(s.index(now)).Admitted += tokens
}

// SetPeer records the uses that a peer reported.
func (s *Shares) SetPeerUsage(peer string, uses map[uint64]Usage, now time.Time) {
	s.peers[peer] = peerUse{uses, now}
}

// Own returns the uses of this daemon over the window.
func (s *Shares) OwnUsage(now time.Time) map[uint64]Usage {
	uses := make(map[uint64]Usage, len(s.accounts))
	index := s.index(now)
	for account, r := range s.accounts {
		if use := r.sum(index); use.Demand > 0 {
			uses[account] = use
		} else {
			delete(s.accounts, account)
		}
	}
	return uses
}

// Use returns the use of the account over the fleet.
func (s *Shares) Usage(account uint64, now time.Time) Usage {
	var use Usage
	if r, ok := s.accounts[account]; ok {
		use = r.sum(s.index(now))
	}
	for peer, p := range s.peers {
		if now.Sub(p.at) > peerTTL {
			delete(s.peers, peer)
			continue
		}
		use = use.plus(p.uses[account])
	}
	return use
}

// Levels are the most tokens a window that an account receives while others want more.
type Levels struct {
	Guaranteed  float64 // out of the capacity that the accounts are promised together
	Attained    float64 // out of what the servers have taken lately, where that is more
	RecentLimit float64 // of Use.Lately, beyond which an account leaves too far behind another one that wants as much
}

// Levels returns the max-min fair shares of the accounts that ask now.
func (s *Shares) Levels(now time.Time) Levels {
	if now.Sub(s.levelsAt) < levelAge {
		return s.levels
	}
	total := s.OwnUsage(now)
	for peer, p := range s.peers {
		if now.Sub(p.at) > peerTTL {
			delete(s.peers, peer)
			continue
		}
		for account, use := range p.uses {
			total[account] = total[account].plus(use)
		}
	}
	asked := make([]float64, 0, len(total))
	admitted := 0.0
	for _, use := range total {
		asked = append(asked, use.Demand)
		admitted += use.Admitted
	}
	promised := s.capacity * s.window.Seconds()
	s.levels = Levels{Guaranteed: MaxMinLevel(asked, promised), Attained: MaxMinLevel(asked, max(promised, admitted))}
	s.levels.RecentLimit = max(s.levels.Guaranteed/2, maxLead*least(total, s.levels.Attained))
	s.levelsAt = now
	return s.levels
}

// least returns what the account has received lately that received least of those that ask for
// more than the level and don't get most of it: infinity when there is none. Over the whole
// window, one that has just begun to flood would take all of the next seconds before it is ahead.
func least(uses map[uint64]Usage, level float64) float64 {
	got := math.Inf(1)
	for _, use := range uses {
		if use.Demand > level && use.Admitted < content*use.Demand {
			got = min(got, use.RecentAdmitted)
		}
	}
	return got
}

// MaxMin returns the level up to which demands are met so that they use up the capacity:
// infinity, when all of them fit.
func MaxMinLevel(demands []float64, capacity float64) float64 {
	slices.Sort(demands)
	for i, d := range demands {
		left := float64(len(demands) - i)
		if d*left > capacity {
			return capacity / left
		}
		capacity -= d
	}
	return math.Inf(1)
}

func (s *Shares) index(now time.Time) int64 {
	return steady.UnixNano(now) / (s.window.Nanoseconds() / buckets)
}

func (s *Shares) ring(account uint64) *ring {
	r, ok := s.accounts[account]
	if !ok {
		r = &ring{}
		s.accounts[account] = r
	}
	return r
}

// at returns the slot of the index and clears those that have left the window.
func (r *ring) at(index int64) *Usage {
	if index-r.index >= buckets {
		*r = ring{index: index}
	}
	for r.index < index {
		r.index++
		r.slots[r.index%buckets] = Usage{}
	}
	return &r.slots[r.index%buckets]
}

func (r *ring) sum(index int64) Usage {
	var use Usage
	r.at(index)
	for i, slot := range r.slots {
		use.Demand += slot.Demand
		use.Admitted += slot.Admitted
		if age := (index - int64(i)) % buckets; (age+buckets)%buckets < buckets/2 {
			use.RecentAdmitted += slot.Admitted
		}
	}
	return use
}
