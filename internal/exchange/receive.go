package exchange

import (
	"context"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/filbertrill/filbertrill/internal/exchange/pb"
	"github.com/filbertrill/filbertrill/internal/recovery"
	"github.com/filbertrill/filbertrill/internal/telemetry"
)

// receive handles incoming datagrams until the context ends.
func (x *Exchange) receive(ctx context.Context) {
	buffer := make([]byte, 64<<10)
	for {
		n, _, err := x.conn.ReadFromUDP(buffer)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			x.options.Logger.Warn("Could not read datagram.", "error", err)
			continue
		}
		x.handleDatagram(buffer[:n], time.Now())
	}
}

// handleDatagram handles a datagram that arrived at the given time. No datagram may end the process.
func (x *Exchange) handleDatagram(data []byte, now time.Time) {
	defer recovery.Log(x.options.Logger, "datagram")
	d := &pb.Datagram{}
	if err := proto.Unmarshal(data, d); err != nil {
		x.options.Logger.Warn("Could not decode datagram.", "bytes", len(data), "error", err)
		return
	}
	x.datagramBytes = len(data)
	if entries := datagramEntries(d); entries*minEntryBytes > len(data) || hasLongMember(d) {
		x.options.Logger.Warn("Datagram is of no daemon.", "bytes", len(data), "entries", entries)
		return
	}
	x.countControl(telemetry.Received, senderZone(d), kindOf(d), len(data))
	if s := d.State; s != nil && s.Member != nil && s.View != nil {
		x.handleState(s, now)
	}
	if z := d.Zone; z != nil && z.Delegate != nil && z.View != nil {
		x.handleZone(z, true, now)
	}
	x.handleForwarded(d.Forwarded, now)
	if z := d.OwnZone; z != nil && z.Delegate != nil && z.View != nil {
		x.handleOwnZone(z, now)
	}
	if d.Origins != nil {
		x.options.OnOrigins(d.Origins)
	}
	if d.StoreNews != nil && x.options.OnStoreNews != nil {
		x.options.OnStoreNews(d.StoreNews)
	}
}

// handleState stores the state of a peer if it is newer than the stored one, and calls OnView with
// the views that it contains.
func (x *Exchange) handleState(s *pb.State, now time.Time) {
	self := x.options.Self()
	if s.Member.Id == self.Id {
		return
	}
	if !x.acceptState(s, now) {
		return
	}
	// The views of peers of other zones arrive with the summary of their zone.
	x.mu.Lock()
	inScope := x.isMesh() || (s.Member.Zone == self.Zone && x.takesDirectViews(self, now))
	smallerView := s.Member.Zone == self.Zone && x.aggregated(self) && !s.ToAggregator // the peer doesn't know how large the zone is
	if (s.Member.Zone != self.Zone && !inScope || smallerView) && len(s.Members) == 0 {
		x.peers[s.Member.Id].asksForMembers = true
	}
	x.mu.Unlock()
	if inScope {
		x.options.OnView(s.Member.Id, s.Member, s.View, 0)
	}
	x.handleForwarded(s.Zones, now)
}

// handleForwarded handles summaries of other zones that the delegate has forwarded.
func (x *Exchange) handleForwarded(zones []*pb.Zone, now time.Time) {
	for _, z := range zones {
		if z.Delegate != nil && z.View != nil {
			x.handleZone(z, false, now)
		}
	}
}

// acceptState stores the state of a peer. It returns false if the state is not newer than the stored
// one.
func (x *Exchange) acceptState(s *pb.State, now time.Time) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	entries, replaced := x.retainedEntries(1+stateEntries(s)), 0
	if known, ok := x.peers[s.Member.Id]; ok {
		replaced = known.entries
	}
	if !x.mayRetain(entries, replaced) {
		x.options.Logger.Warn("State ignored, there are too many.", "peer", s.Member.Id, "entries", entries)
		return false
	}
	for _, m := range s.Members {
		if a := x.addAddress(m.ControlAddress, m.Zone); a != nil {
			a.list(m)
		}
	}
	if a := x.addAddress(s.Member.ControlAddress, s.Member.Zone); a != nil {
		a.lastSeen, a.heardAt = now, now
		a.list(s.Member)
	}
	isToAggregator := s.ToAggregator && s.Member.Zone == x.options.Self().Zone
	if isToAggregator {
		x.askedAsAggregator = now
	}
	p, ok := x.peers[s.Member.Id]
	if !ok {
		p = &peer{}
		x.peers[s.Member.Id] = p
	}
	if old := p.state; old != nil && !newer(s.Incarnation, s.Sequence, old.Incarnation, old.Sequence) {
		// A daemon that restarts after its clock was set back has a lower incarnation than before.
		if p.live || s.Incarnation == old.Incarnation {
			return false
		}
	}
	if !p.live || !sameMember(p.state.Member, s.Member) {
		x.fleet.membersChanged()
	}
	if !p.live {
		x.options.Logger.Info("Peer is live.", "peer", s.Member.Id, "incarnation", s.Incarnation)
	}
	p.state, p.entries, p.lastSeen, p.live = s, entries, now, true
	if isToAggregator {
		x.ownPlacements.add(s.View.Placements, now)
		x.remotePlacements.add(s.View.Placements, now)
	}
	return true
}

// handleZone stores the summary of another zone if it is newer than the stored one, and calls OnView
// with its view. fromDelegate is false if a zone peer forwarded the summary.
func (x *Exchange) handleZone(z *pb.Zone, fromDelegate bool, now time.Time) {
	if !x.acceptZone(z, fromDelegate, now) {
		return
	}
	x.options.OnView(ZonePrefix+z.Zone, z.Delegate, z.View, viewAge(z))
}

// acceptZone stores the summary of another zone. It returns false if its view is not needed: the
// summary is not newer or is of this daemon's own zone, or the fleet is a full mesh, in which each
// peer sends its view itself.
func (x *Exchange) acceptZone(z *pb.Zone, fromDelegate bool, now time.Time) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if z.Zone == x.options.Self().Zone {
		return false
	}
	a := x.addAddress(z.Delegate.ControlAddress, z.Zone)
	if fromDelegate && a != nil {
		a.lastSeen = now
	}
	old, ok := x.zones[z.Zone]
	if ok && old.Delegate.Id == z.Delegate.Id && !newer(z.Incarnation, z.Sequence, old.Incarnation, old.Sequence) {
		return false
	}
	if ok && len(z.Members) == 0 {
		z.Members = old.Members
	}
	entries, replaced := x.retainedEntries(zoneEntries(z)), 0
	if ok {
		replaced = old.entries
	}
	if !x.mayRetain(entries, replaced) {
		x.options.Logger.Warn("Summary ignored, there are too many.", "zone", z.Zone, "entries", entries)
		return false
	}
	if !ok {
		x.options.Logger.Info("Zone is live.", "zone", z.Zone, "delegate", z.Delegate.Id, "members", len(z.Members))
	}
	if !ok || !slices.EqualFunc(old.Members, z.Members, sameMember) {
		x.fleet.sizeChanged()
		x.fleet.membersChanged()
	}
	received := &zone{Zone: z, entries: entries, lastSeen: now, placements: &placementQueue{}}
	if ok && old.placements != nil {
		received.placements = old.placements
	}
	if x.isAggregator(now) {
		received.placements.add(z.View.Placements, now)
	}
	x.zones[z.Zone] = received
	// The other daemons of that zone don't send datagrams to this one, so the zone summary
	// keeps their addresses from expiring.
	for _, m := range z.Members {
		if a := x.addAddress(m.ControlAddress, m.Zone); a != nil {
			a.lastSeen = now
			a.list(m)
		}
	}
	return !x.isMesh()
}

// newer reports whether a state or zone summary is newer than another one of the same sender.
func newer(incarnation, sequence, oldIncarnation, oldSequence uint64) bool {
	return incarnation > oldIncarnation || (incarnation == oldIncarnation && sequence > oldSequence)
}
