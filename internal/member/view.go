// Package member implements the membership protocol and failure detector of the fleet
// without I/O: which members are live, which roles they have, and which messages to send
// so that the views of all daemons converge.
//
// The daemons of a data centre send each other heartbeats. One of them, the delegate, sends
// the list of the live members to the delegates of the region's other data centres. One
// delegate of each region sends the lists of its region to the delegates of other regions.
// A list is always sent in full or by its digest, so lost, duplicate and late messages are
// harmless.
package member

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/filbertrill/filbertrill/internal/peer/pb"
)

// Timeouts of the failure detector, measured on the daemon's own monotonic clock. A member
// that is silent for longer than its suspect timeout is suspected and gets no role.
const (
	// SuspectTimeout applies to members that send messages to this daemon directly.
	SuspectTimeout = 3 * time.Second
	// RelayedSuspectTimeout applies to the delegates of other data centres whose reports
	// arrive through the own delegate.
	RelayedSuspectTimeout = 5 * time.Second
	// ReportedSuspectTimeout applies to members of other data centres that are known only
	// from the reports of their delegate. It allows for the replacement of two delegates.
	ReportedSuspectTimeout = 7 * time.Second
	// CrossRegionSuspectTimeout applies to members of other regions.
	CrossRegionSuspectTimeout = 30 * time.Second
	// EvictAfter is the silence after which a member is removed from the view.
	EvictAfter = 60 * time.Second
	// LeftRetention is how long a member that has left stays in the view, so that all
	// daemons receive its state.
	LeftRetention = 15 * time.Second
)

// Status is a member and the time of the newest evidence that it is alive.
type Status struct {
	Member   *pb.Member
	LastSeen time.Time

	timeout time.Duration // silence after which it is suspected
	lost    bool          // reported as suspected, or no longer listed, by its data centre
}

// Endpoint is a peer address from the settings or the platform's instance list.
type Endpoint struct {
	Address string
	Zone    string // empty when unknown
}

// OutboundMessage is a message to be sent to a peer address.
type OutboundMessage struct {
	Address string
	Message *pb.Envelope
}

// View is the state of all known members, including the daemon itself. Returned records are
// never modified. It is not safe for concurrent use.
type View struct {
	self           *pb.Member
	selfChangedSeq uint64 // first seq sent with the current own record, except load and offset

	members       map[string]*Status
	sortedIDs     []string // ids of members; nil if outdated
	peers         map[string]*peerContact
	reports       map[string]*storedReport // of other data centres, by source
	lastOwnReport ownReportSummary
	endpoints     []Endpoint

	ticks        uint64
	urgent       bool
	newEndpoints bool // endpoints have changed and are not yet tried
	resync       resyncState
}

// NewView returns a view with only the daemon itself as a member.
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

// SetEndpoints sets the addresses at which other daemons may be found. If they changed, they
// are tried without waiting for the next tick.
func (v *View) SetEndpoints(endpoints []Endpoint) {
	if !slices.Equal(v.endpoints, endpoints) {
		v.urgent, v.newEndpoints = true, true
	}
	v.endpoints = endpoints
}

// Self returns a copy of the daemon's own record.
func (v *View) Self() *pb.Member { return proto.Clone(v.self).(*pb.Member) }

// Update modifies the daemon's own record. Changes other than of the load or seq are urgent.
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

// Urgent reports whether there are changes to send with Flush before the next Tick.
func (v *View) Urgent() bool { return v.urgent }

// observeSelf enters the own record among the members.
func (v *View) observeSelf(now time.Time) {
	if _, ok := v.members[v.self.Id]; !ok {
		v.sortedIDs = nil
	}
	v.members[v.self.Id] = &Status{Member: v.Self(), LastSeen: now}
}

// observe records that a member was alive at seenAt. It does nothing if the same incarnation
// was seen later, if a later incarnation is known and not suspected, or if the member is new
// and another one at its address was not seen before seenAt.
func (v *View) observe(m *pb.Member, seenAt time.Time, timeout time.Duration, now time.Time) {
	if m.Id == v.self.Id {
		return
	}
	old, ok := v.members[m.Id]
	if ok && m.Incarnation < old.Member.Incarnation && !v.Suspected(old, now) {
		return
	}
	if ok && m.Incarnation == old.Member.Incarnation && seenAt.Before(old.LastSeen) {
		return
	}
	if !ok {
		if !v.replaceAtAddress(m, seenAt) {
			return
		}
		v.sortedIDs = nil
	}
	v.members[m.Id] = &Status{Member: m, LastSeen: seenAt, timeout: timeout}
}

// replaceAtAddress removes other members with the address of a new member. It reports false
// if one of them was seen at or after seenAt, or is the daemon itself.
func (v *View) replaceAtAddress(m *pb.Member, seenAt time.Time) bool {
	for id, other := range v.members {
		if other.Member.PeerAddress != m.PeerAddress {
			continue
		}
		if id == v.self.Id || !other.LastSeen.Before(seenAt) {
			return false
		}
		delete(v.members, id)
	}
	return true
}

// markLost marks a member as lost unless it was seen after seenAt.
func (v *View) markLost(id string, seenAt time.Time) {
	if s, ok := v.members[id]; ok && !s.LastSeen.After(seenAt) {
		s.lost = true
	}
}

// expire removes members, peers and reports after EvictAfter, and members that have left
// after LeftRetention.
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

// Suspected reports whether a member has exceeded its suspect timeout or was lost by its data
// centre. The daemon itself is never suspected.
func (v *View) Suspected(s *Status, now time.Time) bool {
	if s.Member.Id == v.self.Id {
		return false
	}
	return s.lost || v.resync.detectionTime(now).Sub(s.LastSeen) > s.timeout
}

// SuspicionReason describes why a member is suspected. It returns the empty string for
// members that are not.
func (v *View) SuspicionReason(s *Status, now time.Time) string {
	switch {
	case !v.Suspected(s, now):
		return ""
	case s.lost:
		return "no longer reported by its data centre"
	case s.Member.Zone == v.self.Zone:
		return "no heartbeat"
	}
	return "no report from its data centre"
}

// All returns all known members, including suspected ones and those that have left, ordered
// by id.
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

// Get returns the member with an id, or nil if it is not known.
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
