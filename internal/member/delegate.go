package member

import (
	"slices"
	"time"

	"github.com/filbertrill/filbertrill/internal/peer/pb"
)

// Intervals, in ticks, at which unchanged reports are repeated.
const (
	relayEveryTicks       = 2 // reports of the own region, to the members of the own data centre
	crossRegionEveryTicks = 8 // reports sent to or received from other regions
	helloEveryTicks       = 2 // reports to addresses at which no live member is known
)

// hellosPerZone is the maximum number of addresses tried per tick in a data centre
// that has no live member.
const hellosPerZone = 2

// delegateReports returns the messages that the delegate of a data centre sends: its own
// report and the stored ones to the other delegates of its region, the stored reports to
// the members of its data centre, and, if it is the region's delegate, the reports of
// its region to the delegates of other regions. An urgent call sends only what changed.
func (v *View) delegateReports(now time.Time, topo topology, urgent bool) []OutboundMessage {
	own := v.makeOwnReport(now)
	ownChanged := v.compactOwnReport(own)
	isDue := func(every uint64) bool { return !urgent && v.ticks%every == 0 }

	reports := v.freshReports(now, func(stored *storedReport) bool {
		return stored.unsent || isDue(crossRegionEveryTicks) || (isDue(relayEveryTicks) && stored.report.Region == v.self.Region)
	})
	var out []OutboundMessage
	if len(reports) > 0 {
		out = v.zoneMessages(topo, reports)
	}
	out = append(out, v.regionMessages(now, topo, own, ownChanged, urgent)...)
	if regionDelegate := topo.regionDelegate(v.self.Region); regionDelegate != nil && regionDelegate.Id == v.self.Id {
		out = append(out, v.crossRegionMessages(now, topo, own, ownChanged, isDue(crossRegionEveryTicks))...)
	}
	return out
}

// compactOwnReport removes the members, zone and region from the own report if the members
// are the same as in the last one. It reports whether anything but the loads changed.
func (v *View) compactOwnReport(own *pb.ZoneReport) bool {
	last := v.lastOwnReport
	v.lastOwnReport = ownReportSummary{digest: own.Digest, applied: own.Applied, behind: own.Behind, suspected: own.Suspected}
	if own.Digest == last.digest {
		own.Members, own.Zone, own.Region = nil, "", ""
	}
	return own.Digest != last.digest || own.Applied != last.applied ||
		!slices.Equal(own.Behind, last.behind) || !slices.Equal(own.Suspected, last.suspected)
}

// freshReports returns forwardable copies, ordered by source, of the stored reports that
// have not timed out and for which include returns true.
func (v *View) freshReports(now time.Time, include func(stored *storedReport) bool) []*pb.ZoneReport {
	var sources []string
	for source, stored := range v.reports {
		timeout := ReportedSuspectTimeout
		if stored.report.Region != v.self.Region {
			timeout = CrossRegionSuspectTimeout
		}
		if now.Sub(stored.createdAt) <= timeout && include(stored) {
			sources = append(sources, source)
		}
	}
	slices.Sort(sources)
	var out []*pb.ZoneReport
	for _, source := range sources {
		stored := v.reports[source]
		out = append(out, v.forwardReport(stored, now, stored.membersUnsent, stored.report.Region == v.self.Region))
	}
	return out
}

// zoneMessages addresses the reports to the other live members of the own data centre.
func (v *View) zoneMessages(topo topology, reports []*pb.ZoneReport) []OutboundMessage {
	var out []OutboundMessage
	for _, m := range topo.zones[v.self.Zone] {
		if m.Id != v.self.Id {
			out = append(out, OutboundMessage{Address: m.PeerAddress, Message: v.zoneReportsEnvelope(m.Id, reports)})
		}
	}
	return out
}

// regionMessages addresses reports to the delegates of the region's other data centres: all
// reports of the region on every tick, and only changed ones if urgent. Reports of other
// regions are repeated less often, and included only if this daemon received them from
// another region or is the region's delegate.
func (v *View) regionMessages(now time.Time, topo topology, own *pb.ZoneReport, ownChanged, urgent bool) []OutboundMessage {
	regionDelegate := topo.regionDelegate(v.self.Region)
	isRegionDelegate := regionDelegate != nil && regionDelegate.Id == v.self.Id
	reports := v.freshReports(now, func(stored *storedReport) bool {
		if stored.report.Region == v.self.Region {
			return !urgent || stored.unsent
		}
		return (isRegionDelegate || stored.fromOtherRegion) && (stored.unsent || (!urgent && v.ticks%crossRegionEveryTicks == 0))
	})
	if !urgent || ownChanged {
		reports = append(reports, own)
	}
	if len(reports) == 0 {
		return nil
	}
	var out []OutboundMessage
	for _, zone := range topo.regions[v.self.Region] {
		if delegate := topo.delegate(zone); zone != v.self.Zone {
			out = append(out, OutboundMessage{Address: delegate.PeerAddress, Message: v.zoneReportsEnvelope(delegate.Id, reports)})
		}
	}
	return out
}

// crossRegionMessages addresses the reports of the own region to the delegates of other
// regions: all of them if due, otherwise those that changed.
func (v *View) crossRegionMessages(now time.Time, topo topology, own *pb.ZoneReport, ownChanged, due bool) []OutboundMessage {
	reports := v.freshReports(now, func(stored *storedReport) bool {
		return stored.report.Region == v.self.Region && (due || stored.unsent)
	})
	if due || ownChanged {
		reports = append(reports, own)
	}
	if len(reports) == 0 {
		return nil
	}
	var out []OutboundMessage
	for region := range topo.regions {
		if region == v.self.Region {
			continue
		}
		delegate := topo.regionDelegate(region)
		out = append(out, OutboundMessage{Address: delegate.PeerAddress, Message: v.zoneReportsEnvelope(delegate.Id, reports)})
	}
	return out
}

// probes returns messages without reports to the delegates of the region's other data
// centres. They only request an echo, and don't attest that any member is alive.
func (v *View) probes(topo topology) []OutboundMessage {
	var out []OutboundMessage
	for _, zone := range topo.regions[v.self.Region] {
		if delegate := topo.delegate(zone); zone != v.self.Zone {
			out = append(out, OutboundMessage{Address: delegate.PeerAddress, Message: v.zoneReportsEnvelope(delegate.Id, nil)})
		}
	}
	return out
}

// clearPending marks all changes as sent.
func (v *View) clearPending() {
	v.urgent, v.newEndpoints = false, false
	for _, stored := range v.reports {
		stored.unsent, stored.membersUnsent = false, false
	}
}

// hellos returns reports to addresses at which a member may be found. Every daemon sends them
// to endpoints at which no member is known and whose data centre is unknown. The delegate
// also sends them, in rotation, to the addresses of data centres without a live member.
func (v *View) hellos(topo topology, now time.Time) []OutboundMessage {
	ids := map[string]string{}
	for id, s := range v.members {
		ids[s.Member.PeerAddress] = id
	}
	hello := func(address string) OutboundMessage {
		report := v.makeOwnReport(now)
		return OutboundMessage{Address: address, Message: v.zoneReportsEnvelope(ids[address], []*pb.ZoneReport{report})}
	}
	var out []OutboundMessage
	byZone := map[string][]string{}
	for _, endpoint := range v.unknownEndpoints() {
		if endpoint.Zone == "" {
			out = append(out, hello(endpoint.Address))
		} else {
			byZone[endpoint.Zone] = append(byZone[endpoint.Zone], endpoint.Address)
		}
	}
	if delegate := topo.delegate(v.self.Zone); delegate == nil || delegate.Id != v.self.Id {
		return out
	}
	for _, s := range v.All() {
		byZone[s.Member.Zone] = append(byZone[s.Member.Zone], s.Member.PeerAddress)
	}
	for zone, addresses := range byZone {
		if zone == v.self.Zone || len(topo.zones[zone]) > 0 {
			continue
		}
		for i := range min(hellosPerZone, len(addresses)) {
			next := (int(v.ticks/helloEveryTicks)*hellosPerZone + i) % len(addresses)
			out = append(out, hello(addresses[next]))
		}
	}
	return out
}
