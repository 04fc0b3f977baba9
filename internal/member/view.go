// Package member holds the pure view of the fleet's members and the roles that follow from it.
package member

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"github.com/filbertrill/filbertrill/internal/peer/pb"
)

// Times of the failure detector.
const (
	// SuspectAfter is the age of a member's last heartbeat beyond which it gets no role.
	SuspectAfter = 3 * time.Second
	// ForgetAfter is the age beyond which a member is removed from the view.
	ForgetAfter = 60 * time.Second
)

// Status is a member with the time that it was last heard of.
type Status struct {
	Member *pb.Member
	Heard  time.Time
}

// View is what a daemon knows of the members, itself included.
type View struct {
	self    string
	members map[string]*Status
}

// NewView returns a view that holds only the daemon itself.
func NewView(self *pb.Member, now time.Time) *View {
	v := &View{self: self.Id, members: map[string]*Status{}}
	v.members[self.Id] = &Status{Member: proto.Clone(self).(*pb.Member), Heard: now}
	return v
}

// Observe takes in a member's record. Only a higher (incarnation, seq) refreshes it.
// It reports whether the record was newer.
func (v *View) Observe(m *pb.Member, now time.Time) bool {
	old, ok := v.members[m.Id]
	if ok && !newer(m, old.Member) {
		return false
	}
	v.members[m.Id] = &Status{Member: m, Heard: now}
	return true
}

func newer(a, b *pb.Member) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	return a.Seq > b.Seq
}

// Expire removes members that were not heard of for ForgetAfter.
func (v *View) Expire(now time.Time) {
	for id, s := range v.members {
		if id != v.self && now.Sub(s.Heard) > ForgetAfter {
			delete(v.members, id)
		}
	}
}

// Suspected reports whether the member's heartbeats stay out.
func (v *View) Suspected(s *Status, now time.Time) bool {
	return s.Member.Id != v.self && now.Sub(s.Heard) > SuspectAfter
}

// All returns every known member, ordered by id.
func (v *View) All() []Status {
	out := make([]Status, 0, len(v.members))
	for _, s := range v.members {
		out = append(out, *s)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Member.Id < out[j].Member.Id })
	return out
}

// Live returns the members that are neither suspected nor left, ordered by id.
func (v *View) Live(now time.Time) []*pb.Member {
	var out []*pb.Member
	for _, s := range v.All() {
		if v.Suspected(&s, now) || s.Member.State == pb.MemberState_MEMBER_STATE_LEFT {
			continue
		}
		out = append(out, s.Member)
	}
	return out
}

// Owner returns the member that a key belongs to, by rendezvous hashing (Thaler and
// Ravishankar 1998), or nil when there are no members. Draining members own nothing
// while another is left.
func Owner(key string, members []*pb.Member) *pb.Member {
	var best *pb.Member
	var bestScore uint64
	bestDraining := true
	for _, m := range members {
		draining := m.State == pb.MemberState_MEMBER_STATE_DRAINING
		score := Score(key, m.Id)
		better := best == nil || (bestDraining && !draining)
		if !better && draining == bestDraining {
			better = score > bestScore
		}
		if better {
			best, bestScore, bestDraining = m, score, draining
		}
	}
	return best
}

// Score is the rendezvous weight of a member for a key.
func Score(key, memberID string) uint64 {
	return xxhash.Sum64String(key + "\x00" + memberID)
}
