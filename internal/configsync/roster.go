package configsync

import (
	"slices"
	"time"

	"github.com/filbertrill/filbertrill/internal/member"
	"github.com/filbertrill/filbertrill/internal/peer/pb"
)

// Times after which the roster drops a silent member or stops waiting for it.
const (
	// unlistedTimeout is the time from the last message of a member to the read of an instance list that lacks it.
	unlistedTimeout = 60 * time.Second
	// noListTimeout is the silence of a member since whose last message no instance list was read.
	noListTimeout = 24 * time.Hour
	// firstContactTimeout is how long an instance that is on the list, but was never seen,
	// counts as starting. After that it counts as suspected.
	firstContactTimeout = 10 * time.Second
)

// InstanceListing holds the peer addresses from the platform's instance list and from the
// settings.
type InstanceListing struct {
	AsOf      time.Time // start of the last read of the instance list that succeeded; zero for none
	Addresses []string  // peer addresses on the instance list
	Seeds     []string  // peer addresses from the settings; used until the list answers
}

// Roster is the set of members over which a majority is counted. It keeps members that have
// expired from the member view: otherwise a daemon on the minority side of a partition would
// after some time count as a majority of the remaining members.
type Roster struct {
	self        string
	members     map[string]*member.Status
	replaced    map[string]bool      // addresses at which known members had earlier incarnations
	uncontacted map[string]time.Time // first time that an address was listed without a known member
}

// NewRoster returns a roster that contains only the daemon itself, whose id is self.
func NewRoster(self string) *Roster {
	return &Roster{self: self, members: map[string]*member.Status{}, replaced: map[string]bool{}, uncontacted: map[string]time.Time{}}
}

// Update merges the member view and the instance listing into the roster, and drops members
// that have left or were silent for too long.
func (r *Roster) Update(now time.Time, view []member.Status, listing InstanceListing) {
	for i := range view {
		r.observe(&view[i])
	}
	listed := map[string]bool{}
	for _, address := range listing.Addresses {
		listed[address] = true
	}
	for id, s := range r.members {
		if id != r.self && shouldDrop(s, now, listing.AsOf, listed[s.Member.PeerAddress]) {
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

// shouldDrop reports whether a member has left, or was silent for too long and is not on the list of listedAsOf. A list from before
// its last message says nothing of it.
func shouldDrop(s *member.Status, now, listedAsOf time.Time, listed bool) bool {
	if s.Member.State == pb.MemberState_MEMBER_STATE_LEFT {
		return true
	}
	return !listed && (listedAsOf.Sub(s.LastSeen) > unlistedTimeout || now.Sub(s.LastSeen) > noListTimeout)
}

func (r *Roster) updateUncontacted(now time.Time, listing InstanceListing, listed map[string]bool) {
	for address := range r.replaced {
		if !listing.AsOf.IsZero() && !listed[address] {
			delete(r.replaced, address)
		}
	}
	known := map[string]bool{}
	for _, s := range r.members {
		known[s.Member.PeerAddress] = true
	}
	addresses := listing.Addresses
	if listing.AsOf.IsZero() {
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

// Size returns the number of members over which a majority is counted: the known members,
// the daemon itself, and the listed addresses without a known member.
func (r *Roster) Size() int {
	if _, ok := r.members[r.self]; !ok {
		return len(r.members) + 1 + len(r.uncontacted)
	}
	return len(r.members) + len(r.uncontacted)
}

// Majority returns the smallest number of members that is more than half of Size.
func (r *Roster) Majority() int { return r.Size()/2 + 1 }

// Has reports whether the member with the given id is known or the daemon itself.
func (r *Roster) Has(id string) bool {
	_, ok := r.members[id]
	return ok || id == r.self
}

// Members returns the known members, ordered by id.
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

// MaybeStarting returns the number of listed instances without a known member that have been
// on the list for less than firstContactTimeout and so may still be starting.
func (r *Roster) MaybeStarting(now time.Time) int {
	starting := 0
	for _, since := range r.uncontacted {
		if now.Sub(since) < firstContactTimeout {
			starting++
		}
	}
	return starting
}
