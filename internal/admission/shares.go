// Package admission decides which requests are refused when the backend servers of a
// service can't answer all in time, and when a refused caller should come back. It has no
// clock, socket or lock of its own.
package admission

import (
	"math"
	"slices"
	"time"

	"github.com/filbertrill/filbertrill/internal/monotonic"
)

// buckets is the number of steps in which the window slides.
const buckets = 8

// Use is what an account asked for and was given over the window, in tokens.
type Use struct {
	Asked    float64
	Admitted float64
	Lately   float64 // of Admitted, in the second half of the window
}

func (u Use) plus(o Use) Use {
	return Use{u.Asked + o.Asked, u.Admitted + o.Admitted, u.Lately + o.Lately}
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
	uses map[uint64]Use
	at   time.Time
}

type ring struct {
	slots [buckets]Use
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
func (s *Shares) Ask(account uint64, tokens float64, now time.Time) {
	s.ring(account).at(s.index(now)).Asked += tokens
}

// Admit records that a request of the account was sent to a server.
func (s *Shares) Admit(account uint64, tokens float64, now time.Time) {
	s.ring(account).at(s.index(now)).Admitted += tokens
}

// SetPeer records the uses that a peer reported.
func (s *Shares) SetPeer(peer string, uses map[uint64]Use, now time.Time) {
	s.peers[peer] = peerUse{uses, now}
}

// Own returns the uses of this daemon over the window.
func (s *Shares) Own(now time.Time) map[uint64]Use {
	uses := make(map[uint64]Use, len(s.accounts))
	index := s.index(now)
	for account, r := range s.accounts {
		if use := r.sum(index); use.Asked > 0 {
			uses[account] = use
		} else {
			delete(s.accounts, account)
		}
	}
	return uses
}

// Use returns the use of the account over the fleet.
func (s *Shares) Use(account uint64, now time.Time) Use {
	var use Use
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
	Owed    float64 // out of the capacity that the accounts are promised together
	Reached float64 // out of what the servers have taken lately, where that is more
	Bound   float64 // of Use.Lately, beyond which an account leaves too far behind another one that wants as much
}

// Levels returns the max-min fair shares of the accounts that ask now.
func (s *Shares) Levels(now time.Time) Levels {
	if now.Sub(s.levelsAt) < levelAge {
		return s.levels
	}
	total := s.Own(now)
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
		asked = append(asked, use.Asked)
		admitted += use.Admitted
	}
	promised := s.capacity * s.window.Seconds()
	s.levels = Levels{Owed: MaxMin(asked, promised), Reached: MaxMin(asked, max(promised, admitted))}
	s.levels.Bound = max(s.levels.Owed/2, maxLead*least(total, s.levels.Reached))
	s.levelsAt = now
	return s.levels
}

// least returns what the account has received lately that received least of those that ask for
// more than the level and don't get most of it: infinity when there is none. Over the whole
// window, one that has just begun to flood would take all of the next seconds before it is ahead.
func least(uses map[uint64]Use, level float64) float64 {
	got := math.Inf(1)
	for _, use := range uses {
		if use.Asked > level && use.Admitted < content*use.Asked {
			got = min(got, use.Lately)
		}
	}
	return got
}

// MaxMin returns the level up to which demands are met so that they use up the capacity:
// infinity, when all of them fit.
func MaxMin(demands []float64, capacity float64) float64 {
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
	return monotonic.UnixNano(now) / (s.window.Nanoseconds() / buckets)
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
func (r *ring) at(index int64) *Use {
	if index-r.index >= buckets {
		*r = ring{index: index}
	}
	for r.index < index {
		r.index++
		r.slots[r.index%buckets] = Use{}
	}
	return &r.slots[r.index%buckets]
}

func (r *ring) sum(index int64) Use {
	var use Use
	r.at(index)
	for i, slot := range r.slots {
		use.Asked += slot.Asked
		use.Admitted += slot.Admitted
		if age := (index - int64(i)) % buckets; (age+buckets)%buckets < buckets/2 {
			use.Lately += slot.Admitted
		}
	}
	return use
}
