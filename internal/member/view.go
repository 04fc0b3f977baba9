// Package member holds the pure view of the fleet's members: who is live, which roles
// follow from it, and the messages that keep the views of all daemons alike.
//
// Daemons of a data centre send each other heartbeats. One of them, the delegate, sends
// the list of the members that it hears to the delegates of the region's other data
// centres, and one delegate of each region to those of other regions. Every list is
// passed on whole or by its digest, so a lost, repeated or late message does no harm.
package member

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/filbertrill/filbertrill/internal/peer/pb"
)

// Times of the failure detector. All are compared with ages on the daemon's own
// monotonic clock.
const (
	// SuspectAfter is the silence after which a directly heard member gets no role.
	SuspectTimeout = 3 * time.Second
	// RelayedAfter is the silence after which another data centre's delegate, heard
	// through this data centre's own, gets no role.
	RelayedSuspectTimeout = 5 * time.Second
	// VouchedAfter is the silence after which a member that only its delegate vouches
	// for gets no role. It covers the change of two delegates.
	ReportedSuspectTimeout = 7 * time.Second
	// FarAfter is the silence after which a member of another region gets no role.
	CrossRegionSuspectTimeout = 30 * time.Second
	// ForgetAfter is the age beyond which a member is removed from the view.
	EvictAfter = 60 * time.Second
	// LeftFor is how long a member that has left is kept, for the others to learn of it.
	LeftRetention = 15 * time.Second
)

// Status is a member with the time of the newest evidence that it lives.
type Status struct {
	Member   *pb.Member
	LastSeen time.Time

	timeout time.Duration // silence after which it is suspected
	lost    bool          // whoever vouched for it has ceased to
}

// Place is an address from the settings or the platform's list.
type Endpoint struct {
	Address string
	Zone    string // empty when unknown
}

// Send is the action that sends a message to an address.
type OutboundMessage struct {
	Address string
	Message *pb.Envelope
}

// View is what a daemon knows of the members, itself included. Records that it hands
// out are never changed.
type View struct {
	self           *pb.Member
	selfChangedSeq uint64 // seq of the last change of the own record but for load and offset

	members       map[string]*Status
	sortedIDs     []string // ids of members, ordered; nil when stale
	peers         map[string]*peerContact
	reports       map[string]*storedReport // of other data centres, by source
	lastOwnReport ownReportSummary
	endpoints     []Endpoint

	ticks        uint64
	urgent       bool
	newEndpoints bool // there are new places
	resync       resyncState
}

// NewView returns a view that holds only the daemon itself.
func NewView(self *pb.Member, now time.Time) *View {
	v := &View{
		self:    proto.Clone(self).(*pb.Member),
		members: map[string]*Status{},
		peers:   map[string]*peerContact{},
		reports: map[string]*storedReport{},
	}
	v.self.Seq = max(self.Seq, initialSeq(self.Incarnation))
	v.selfChangedSeq = v.self.Seq + 1
	v.resync = resyncState{lastTick: now, startedAt: now, minEchoSeq: v.self.Seq + 1, requiredEchoes: 1, gracePeriod: startupGracePeriod}
	v.observeSelf(now)
	return v
}

// SetPlaces sets the addresses where further daemons may be found. New ones are tried at
// once.
func (v *View) SetEndpoints(endpoints []Endpoint) {
	if !slices.Equal(v.endpoints, endpoints) {
		v.urgent, v.newEndpoints = true, true
	}
	v.endpoints = endpoints
}

// Self returns a copy of the daemon's own record.
func (v *View) Self() *pb.Member { return proto.Clone(v.self).(*pb.Member) }

// Update changes the daemon's own record. A change that peers have to know makes the
// next messages urgent.
func (v *View) Update(now time.Time, change func(self *pb.Member)) {
	before := proto.Clone(v.self).(*pb.Member)
	change(v.self)
	if recordHash(before) != recordHash(v.self) || before.ConfigDigest != v.self.ConfigDigest {
		v.selfChangedSeq = v.self.Seq + 1
		v.urgent = true
	}
	if before.AppliedOffset != v.self.AppliedOffset {
		v.urgent = true
	}
	v.observeSelf(now)
}

// Urgent reports whether something changed that peers have to know before the next beat.
func (v *View) Urgent() bool { return v.urgent }

func (v *View) observeSelf(now time.Time) {
	if _, ok := v.members[v.self.Id]; !ok {
		v.sortedIDs = nil
	}
	v.members[v.self.Id] = &Status{Member: v.Self(), LastSeen: now}
}

// observe takes in evidence of a member.
func (v *View) observe(m *pb.Member, evidence time.Time, timeout time.Duration, now time.Time) {
	if m.Id == v.self.Id {
		return
	}
	old, ok := v.members[m.Id]
	if ok && m.Incarnation < old.Member.Incarnation && !v.Suspected(old, now) {
		return
	}
	if ok && m.Incarnation == old.Member.Incarnation && evidence.Before(old.LastSeen) {
		return
	}
	if !ok {
		if !v.replaceAtAddress(m, evidence) {
			return
		}
		v.sortedIDs = nil
	}
	v.members[m.Id] = &Status{Member: m, LastSeen: evidence, timeout: timeout}
}

// takeAddress removes the earlier member at a new member's address. It reports false when
// the known one is the later.
func (v *View) replaceAtAddress(m *pb.Member, evidence time.Time) bool {
	for id, s := range v.members {
		if s.Member.PeerAddress != m.PeerAddress {
			continue
		}
		if id == v.self.Id || !s.LastSeen.Before(evidence) {
			return false
		}
		delete(v.members, id)
	}
	return true
}

// drop marks a member whose source vouches for it no longer.
func (v *View) markLost(id string, evidence time.Time) {
	if s, ok := v.members[id]; ok && !s.LastSeen.After(evidence) {
		s.lost = true
	}
}

// expire removes what was not heard of for long.
func (v *View) expire(now time.Time) {
	for id, s := range v.members {
		age := now.Sub(s.LastSeen)
		left := s.Member.State == pb.MemberState_MEMBER_STATE_LEFT && age > LeftRetention
		if id != v.self.Id && (left || age > EvictAfter) {
			delete(v.members, id)
			v.sortedIDs = nil
		}
	}
	for id, contact := range v.peers {
		if now.Sub(contact.lastSeen) > EvictAfter {
			delete(v.peers, id)
		}
	}
	for id, stored := range v.reports {
		if now.Sub(stored.createdAt) > EvictAfter {
			delete(v.reports, id)
		}
	}
}

// Suspected reports whether the member's signs of life stay out.
func (v *View) Suspected(s *Status, now time.Time) bool {
	if s.Member.Id == v.self.Id {
		return false
	}
	return s.lost || v.resync.detectionTime(now).Sub(s.LastSeen) > s.timeout
}

// Reason tells why a member is suspected; it is empty for others.
func (v *View) SuspicionReason(s *Status, now time.Time) string {
	switch {
	case !v.Suspected(s, now):
		return ""
	case s.lost:
		return "its data centre hears it no longer"
	case s.Member.Zone == v.self.Zone:
		return "no heartbeat"
	}
	return "no report from its data centre"
}

// All returns every known member, ordered by id.
func (v *View) All() []Status {
	if v.sortedIDs == nil {
		for id := range v.members {
			v.sortedIDs = append(v.sortedIDs, id)
		}
		slices.Sort(v.sortedIDs)
	}
	out := make([]Status, 0, len(v.sortedIDs))
	for _, id := range v.sortedIDs {
		if s, ok := v.members[id]; ok {
			out = append(out, *s)
		}
	}
	return out
}

// Get returns a known member, or nil.
func (v *View) Get(id string) *Status { return v.members[id] }

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
