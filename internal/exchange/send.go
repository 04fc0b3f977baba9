package exchange

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/filbertrill/filbertrill/internal/exchange/pb"
	"github.com/filbertrill/filbertrill/internal/telemetry"
)

// sendInterval returns the time between two states that this daemon sends. The caller holds the
// lock.
func (x *Exchange) sendInterval() time.Duration {
	targets, mesh := 0, x.isMesh()
	self := x.options.Self()
	if x.aggregated(self) {
		return AggregateInterval
	}
	ownZone := self.Zone
	for _, a := range x.addresses {
		if mesh || a.zone == ownZone || a.zone == "" {
			targets++
		}
	}
	return sendIntervalFor(targets, mesh)
}

// ReceiveInterval returns the longest time between two datagrams in which a daemon like this one learns the state of its zone.
func (x *Exchange) ReceiveInterval() time.Duration {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.aggregated(x.options.Self()) {
		return MaxSummaryInterval
	}
	return x.sendInterval()
}

// sendIntervalFor returns the time between two states that are sent to the number of targets.
func sendIntervalFor(targets int, mesh bool) time.Duration {
	if mesh {
		return max(minSendInterval, time.Duration(targets)*meshIntervalPerPeer)
	}
	return min(max(minSendInterval, time.Duration(targets)*zoneIntervalPerPeer), maxSendInterval)
}

// nextSendDelay returns the send interval with up to 10% of random jitter.
func (x *Exchange) nextSendDelay() time.Duration {
	x.mu.Lock()
	defer x.mu.Unlock()
	interval := x.sendInterval()
	return interval + time.Duration(rand.Int64N(int64(interval/10)))
}

// send sends the state of this daemon and, if it is the delegate, the summary of its zone. An urgent
// state is sent to other zones although their crossZoneInterval has not passed.
func (x *Exchange) send(now time.Time, urgent bool) {
	self := x.options.Self()
	x.mu.Lock()
	x.expire(now)
	interval := x.sendInterval()
	crossZone := urgent || now.Sub(x.lastCrossZone) >= crossZoneInterval-interval/2
	if crossZone {
		x.lastCrossZone = now
		interval = max(interval, crossZoneInterval)
	}
	x.mu.Unlock()
	view := x.options.View(time.Duration(placementIntervals * float64(interval)))
	x.mu.Lock()
	x.sequence++
	stateTargets, zoneTargets := x.targets(self, crossZone)
	state := &pb.State{Member: self, Incarnation: x.incarnation, Sequence: x.sequence, View: view}
	if x.aggregated(self) {
		x.sendAggregated(self, state, stateTargets, zoneTargets, now) // unlocks
		return
	}
	isDelegate := !x.isMesh() && ZoneRank(self, x.members()) == 0
	var listed *pb.State // with the list of members, once per memberListInterval
	var askers []address
	if crossZone && now.Sub(x.lastMemberList) > memberListInterval {
		x.lastMemberList = now
		listed = &pb.State{Member: self, Incarnation: x.incarnation, Sequence: x.sequence, View: withoutEvidence(view), Members: x.members()}
		askers = x.askers(now)
		if x.isMesh() || isDelegate || x.zoneListDue(now) {
			state.Members = listed.Members
		}
	}
	var summary *pb.Zone
	if isDelegate {
		state.Zones, summary = x.summaries(self, view, listed != nil, now)
	}
	x.mu.Unlock()
	forwarded := splitZones(state)
	listApart := len(state.Members) > 0 && proto.Size(state) > maxDatagramBytes/2
	if listApart {
		state.Members = nil
	}
	x.sendDatagram(&pb.Datagram{State: state}, stateTargets)
	if listApart { // after the state: receivers take no view twice, but each list
		x.sendDatagram(&pb.Datagram{State: listed}, stateTargets)
	}
	for _, z := range forwarded {
		x.sendDatagram(&pb.Datagram{Forwarded: []*pb.Zone{z}}, stateTargets)
	}
	x.sendDatagram(&pb.Datagram{State: listed}, askers)
	if isDelegate {
		x.sendDatagram(&pb.Datagram{Zone: summary}, zoneTargets)
	}
	if isDelegate && listed != nil {
		// Daemons of one zone that have lost each other learn of each other from the lists of others.
		x.sendDatagram(&pb.Datagram{State: listed}, zoneTargets)
	}
}

// sendAggregated sends the state of a daemon in a large zone to its aggregators, and what the daemon sends as an aggregator or
// delegate. discovery are addresses of unknown zones. The caller holds the lock, which sendAggregated releases.
func (x *Exchange) sendAggregated(self *pb.Member, state *pb.State, discovery, zoneTargets []address, now time.Time) {
	x.recordOwnView(x.sequence, state.View)
	if x.isAggregator(now) {
		x.ownPlacements.add(state.View.Placements, now)
		x.remotePlacements.add(state.View.Placements, now)
	}
	targets := x.aggregatorTargets(self, now)
	withMembers := now.Sub(x.lastMemberList) > memberListInterval
	if withMembers {
		x.lastMemberList = now
	}
	summary, summaryTargets := x.ownZoneSummary(self, state.View, now, withMembers)
	askers := x.askers(now) // that have just started, mostly
	var listed *pb.State
	if withMembers || len(askers) > 0 {
		listed = &pb.State{Member: self, Incarnation: x.incarnation, Sequence: x.sequence, View: withoutEvidence(state.View), Members: x.members()}
	}
	others, toOthers := x.summaries(self, state.View, withMembers, now)
	if ZoneRank(self, x.members()) != 0 {
		toOthers = nil
	} else {
		toOthers.View.Placements = x.remotePlacements.take()
	}
	if summary == nil || now.Sub(x.lastForward) < ForwardInterval-AggregateInterval/2 {
		others = nil
	} else {
		x.lastForward = now
		others = x.unsentZones(others)
	}
	x.mu.Unlock()
	for _, t := range targets {
		sent := proto.CloneOf(state)
		sent.ToAggregator, sent.WantsSummary = true, t.wantsSummary
		x.sendDatagram(&pb.Datagram{State: sent}, []address{*t.address})
	}
	if withMembers { // such addresses are mostly of daemons that have left
		x.sendDatagram(&pb.Datagram{State: state}, discovery)
	}
	if summary != nil {
		x.sendDatagram(&pb.Datagram{OwnZone: summary}, summaryTargets)
	}
	for _, z := range others {
		x.sendDatagram(&pb.Datagram{Forwarded: []*pb.Zone{z}}, summaryTargets)
	}
	x.sendDatagram(&pb.Datagram{State: listed}, askers)
	if toOthers != nil {
		x.sendDatagram(&pb.Datagram{Zone: toOthers}, zoneTargets)
	}
	if toOthers != nil && withMembers {
		x.sendDatagram(&pb.Datagram{State: listed}, zoneTargets)
	}
}

// unsentZones returns the summaries that were not sent to the daemons of this zone yet, with the placements that have come since they
// last were. The caller holds the lock.
func (x *Exchange) unsentZones(summaries []*pb.Zone) (unsent []*pb.Zone) {
	for _, s := range summaries {
		z := x.zones[s.Zone]
		if z.wasSent || z.placements == nil {
			continue
		}
		z.wasSent = true
		s.View = withPlacements(s.View, z.placements.take())
		unsent = append(unsent, s)
	}
	return unsent
}

// withoutEvidence returns a copy of the view without suspects and placements, which may be too large to
// send beside the list of members.
func withoutEvidence(v *pb.View) *pb.View {
	return &pb.View{
		Servers: v.Servers, Accounts: v.Accounts, Withdrawn: v.Withdrawn, Models: v.Models, Limits: v.Limits, Demands: v.Demands, Daemons: v.Daemons,
		ConfigVersion: v.ConfigVersion, ConfigAgeMs: v.ConfigAgeMs, ServerDigest: v.ServerDigest, ServerAgeMs: v.ServerAgeMs, StoreEra: v.StoreEra,
		Evacuations: v.Evacuations, Refused: v.Refused, StoreReturnAgeMs: v.StoreReturnAgeMs,
	}
}

// splitZones removes the summaries of other zones from the state if they make it larger than
// maxStateBytes, and returns them.
func splitZones(state *pb.State) []*pb.Zone {
	zones := state.Zones
	size := 0
	for _, z := range zones {
		size += proto.Size(z)
	}
	if size <= maxStateBytes {
		return nil
	}
	state.Zones = nil
	return zones
}

// zoneListDue reports whether a daemon that is no delegate sends the list of members to its zone: after
// changes, which the delegate may not know of, and at times. The caller holds the lock.
func (x *Exchange) zoneListDue(now time.Time) bool {
	if x.fleetSize() == x.listedSize && now.Sub(x.lastZoneList) < zoneListInterval {
		return false
	}
	x.listedSize, x.lastZoneList = x.fleetSize(), now
	return true
}

// summaries returns the summaries of the other zones, which the delegate forwards to its zone, and that
// of its own. They contain the members if withMembers is set or these have changed since they last did.
// The caller holds the lock.
func (x *Exchange) summaries(self *pb.Member, view *pb.View, withMembers bool, now time.Time) (others []*pb.Zone, own *pb.Zone) {
	own = x.summarizeZone(self, view, now)
	if silent := x.silentUsage(self, now); len(silent) > 0 {
		own.View = MergeViews(append([]*pb.View{own.View}, silent...))
	}
	for name, z := range x.zones {
		if name != self.Zone {
			others = append(others, z.forwarded(now))
		}
	}
	if members := x.members(); withMembers || !slices.Equal(members, x.summarized) {
		x.summarized = members
		return others, own
	}
	for i := range others {
		others[i] = withoutMembers(others[i])
	}
	return others, withoutMembers(own)
}

// targets returns the addresses to which the state of this daemon is sent, and those in other zones
// to which the zone summary is sent if this daemon is the delegate. In a full mesh other zones are
// included if crossZone is set. The caller holds the lock.
func (x *Exchange) targets(self *pb.Member, crossZone bool) (stateTargets, zoneTargets []address) {
	candidates := make(map[string]int)
	mesh := x.isMesh()
	aggregated := x.aggregated(self)
	for controlAddress, a := range x.addresses {
		if aggregated && a.zone == self.Zone {
			continue // see aggregatorTargets
		}
		if a.zone == "" || a.zone == self.Zone || (mesh && crossZone) {
			stateTargets = append(stateTargets, *a)
			continue
		}
		if mesh {
			continue
		}
		if z, ok := x.zones[a.zone]; ok {
			if z.Delegate.ControlAddress == controlAddress {
				zoneTargets = append(zoneTargets, *a)
			}
			continue
		}
		if candidates[a.zone]++; candidates[a.zone] <= maxDelegateCandidates {
			zoneTargets = append(zoneTargets, *a)
		}
	}
	return stateTargets, zoneTargets
}

// askers returns the addresses of live peers that ask for the list of members, each at most once per memberListInterval. It
// discards their question. The caller holds the lock.
func (x *Exchange) askers(now time.Time) []address {
	var out []address
	for _, p := range x.peers {
		a, ok := x.addresses[p.state.Member.ControlAddress]
		if ok && p.live && p.asksForMembers && now.Sub(a.listedAt) >= memberListInterval {
			a.listedAt = now
			out = append(out, *a)
		}
		p.asksForMembers = false
	}
	return out
}

// withoutMembers returns a copy of the summary without the list of members. Receivers keep the list that
// they have: it changes seldom, and has more bytes than most views.
func withoutMembers(z *pb.Zone) *pb.Zone {
	return &pb.Zone{Zone: z.Zone, Delegate: z.Delegate, Incarnation: z.Incarnation, Sequence: z.Sequence, View: z.View, AgeMs: z.AgeMs}
}

// silentUsage returns what accounts received at the daemons of this one's zone that count as failed since less than UsageTTL. They may
// be too busy to report. The caller holds the lock.
func (x *Exchange) silentUsage(self *pb.Member, now time.Time) (views []*pb.View) {
	for _, p := range x.peers {
		if !p.live && p.state.Member.Zone == self.Zone && now.Sub(p.lastSeen) <= x.options.UsageTTL {
			views = append(views, &pb.View{Accounts: p.state.View.Accounts, ConfigAgeMs: math.MaxUint32})
		}
	}
	return views
}

// summarizeZone returns the summary of this daemon's zone. The caller holds the lock.
func (x *Exchange) summarizeZone(self *pb.Member, view *pb.View, now time.Time) *pb.Zone {
	views, members := []*pb.View{view}, []*pb.Member{self}
	var age time.Duration
	for _, p := range x.peers {
		if p.live && p.state.Member.Zone == self.Zone {
			views = append(views, p.state.View)
			members = append(members, p.state.Member)
			age = max(age, now.Sub(p.lastSeen))
		}
	}
	return &pb.Zone{
		Zone: self.Zone, Delegate: self, Incarnation: x.incarnation, Sequence: x.sequence,
		View: MergeViews(views), Members: members, AgeMs: AgeMillis(age),
	}
}

// sendDatagram sends the datagram to the addresses. It logs errors.
func (x *Exchange) sendDatagram(d *pb.Datagram, to []address) {
	if len(to) == 0 {
		return
	}
	data, err := proto.Marshal(d)
	if err != nil || len(data) > maxDatagramBytes {
		x.options.Logger.Error("Datagram is too large or could not be encoded.", "bytes", len(data), "error", err)
		return
	}
	for _, a := range to {
		if _, err := x.conn.WriteToUDP(data, a.udp); err != nil {
			x.options.Logger.Debug("Could not send datagram.", "to", a.udp, "error", err)
			continue
		}
		x.countSent(a.zone, telemetry.TrafficStates, len(data))
		x.countControl(telemetry.Sent, a.zone, kindOf(d), len(data))
	}
}
