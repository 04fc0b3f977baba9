package configsync

import (
	"slices"
	"time"

	"github.com/filbertrill/filbertrill/internal/member"
	"github.com/filbertrill/filbertrill/internal/peer/pb"
)

// Times after which a silent member is no longer counted.
const (
	// silenceOffList is the silence of a member that the instance list does not hold.
	unlistedTimeout = 60 * time.Second
	// silenceWithoutList is the silence of a member while no instance list answers.
	noListTimeout = 24 * time.Hour
	// firstContact is how long an instance on the list is awaited before it counts as suspected.
	firstContactTimeout = 10 * time.Second
)

// Listing is what the platform's instance list and the settings name.
type InstanceListing struct {
	Answered  bool     // the list has answered at least once
	Addresses []string // peer addresses on the list
	Seeds     []string // peer addresses of the settings; counted until the list answers
}

// Roster is the set of members that a majority is counted of. It keeps members that the
// view has forgotten: a daemon in a minority must not come to take itself for the majority.
type Roster struct {
	self        string
	members     map[string]*member.Status
	replaced    map[string]bool      // addresses of earlier incarnations of known members
	uncontacted map[string]time.Time // since when addresses are listed without a known member
}

// NewRoster returns a roster that holds only the daemon itself.
func NewRoster(self string) *Roster {
	return &Roster{self: self, members: map[string]*member.Status{}, replaced: map[string]bool{}, uncontacted: map[string]time.Time{}}
}

// Update takes in the view and the listing.
func (r *Roster) Update(now time.Time, view []member.Status, listing InstanceListing) {
	for i := range view {
		r.observe(&view[i])
	}
	listed := map[string]bool{}
	for _, address := range listing.Addresses {
		listed[address] = true
	}
	for id, s := range r.members {
		if id != r.self && shouldDrop(s, now, listing.Answered, listed[s.Member.PeerAddress]) {
			delete(r.members, id)
		}
	}
	r.updateUncontacted(now, listing, listed)
}

func (r *Roster) observe(s *member.Status) {
	old, ok := r.members[s.Member.Id]
	if ok && old.Member.PeerAddress != s.Member.PeerAddress {
		r.replaced[old.Member.PeerAddress] = true
	}
	delete(r.replaced, s.Member.PeerAddress)
	r.members[s.Member.Id] = s
}

func shouldDrop(s *member.Status, now time.Time, answered, listed bool) bool {
	if s.Member.State == pb.MemberState_MEMBER_STATE_LEFT {
		return true
	}
	silence := now.Sub(s.Heard)
	if answered {
		return !listed && silence > unlistedTimeout
	}
	return silence > noListTimeout
}

func (r *Roster) updateUncontacted(now time.Time, listing InstanceListing, listed map[string]bool) {
	for address := range r.replaced {
		if listing.Answered && !listed[address] {
			delete(r.replaced, address)
		}
	}
	known := map[string]bool{}
	for _, s := range r.members {
		known[s.Member.PeerAddress] = true
	}
	addresses := listing.Addresses
	if !listing.Answered {
		addresses = listing.Seeds
	}
	previous := r.uncontacted
	r.uncontacted = map[string]time.Time{}
	for _, address := range addresses {
		if known[address] || r.replaced[address] {
			continue
		}
		since, ok := previous[address]
		if !ok {
			since = now
		}
		r.uncontacted[address] = since
	}
}

// Size is the number of members that a majority is counted of.
func (r *Roster) Size() int {
	if _, ok := r.members[r.self]; !ok {
		return len(r.members) + 1 + len(r.uncontacted)
	}
	return len(r.members) + len(r.uncontacted)
}

// Majority is the least number of members that is more than half.
func (r *Roster) Majority() int { return r.Size()/2 + 1 }

// Has reports whether the member is counted.
func (r *Roster) Has(id string) bool {
	_, ok := r.members[id]
	return ok || id == r.self
}

// Members returns the counted members that were heard of, ordered by id.
func (r *Roster) Members() []member.Status {
	out := make([]member.Status, 0, len(r.members))
	for _, s := range r.members {
		out = append(out, *s)
	}
	slices.SortFunc(out, func(a, b member.Status) int {
		if a.Member.Id < b.Member.Id {
			return -1
		}
		return 1
	})
	return out
}

// Awaited is the number of listed instances that were not heard yet and may still start.
func (r *Roster) MaybeStarting(now time.Time) int {
	starting := 0
	for _, since := range r.uncontacted {
		if now.Sub(since) < firstContactTimeout {
			starting++
		}
	}
	return starting
}
