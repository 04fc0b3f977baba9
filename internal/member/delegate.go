package member

import (
	"slices"
	"time"

	"github.com/filbertrill/filbertrill/internal/peer/pb"
)

// How often reports without news are sent, in beats.
const (
	relayEveryTicks       = 2 // to the members of the own data centre
	crossRegionEveryTicks = 8 // between regions, and of other regions
	helloEveryTicks       = 2 // to addresses where no member is known
)

// hellosPerZone bounds the addresses that are tried at a time in a data centre of which
// no member is heard.
const hellosPerZone = 2

// delegateReports are what the delegate of a data centre sends: its own report and those
// it holds to the delegates of the region, all that it holds to its own members, and
// those of the region to other regions when it speaks for the region.
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

// noteOwn strips from the own report what the receivers hold, and reports whether it has news.
func (v *View) compactOwnReport(own *pb.ZoneReport) bool {
	last := v.lastOwnReport
	v.lastOwnReport = ownReportSummary{digest: own.Digest, applied: own.Applied, behind: own.Behind, suspected: own.Suspected}
	if own.Digest == last.digest {
		own.Members, own.Zone, own.Region = nil, "", ""
	}
	return own.Digest != last.digest || own.Applied != last.applied ||
		!slices.Equal(own.Behind, last.behind) || !slices.Equal(own.Suspected, last.suspected)
}

// fresh returns the fresh reports that the filter takes, to be passed on.
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

func (v *View) zoneMessages(topo topology, reports []*pb.ZoneReport) []OutboundMessage {
	var out []OutboundMessage
	for _, m := range topo.zones[v.self.Zone] {
		if m.Id != v.self.Id {
			out = append(out, OutboundMessage{Address: m.PeerAddress, Message: v.zoneReportsEnvelope(m.Id, reports)})
		}
	}
	return out
}

// toRegion sends at every beat, and with news at once. Reports of other regions go along
// only from the daemon that has them first hand.
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

// probes ask the delegates of the region for an echo and vouch for no one.
func (v *View) probes(topo topology) []OutboundMessage {
	var out []OutboundMessage
	for _, zone := range topo.regions[v.self.Region] {
		if delegate := topo.delegate(zone); zone != v.self.Zone {
			out = append(out, OutboundMessage{Address: delegate.PeerAddress, Message: v.zoneReportsEnvelope(delegate.Id, nil)})
		}
	}
	return out
}

// settled notes that all news was passed on.
func (v *View) clearPending() {
	v.urgent, v.newEndpoints = false, false
	for _, stored := range v.reports {
		stored.unsent, stored.membersUnsent = false, false
	}
}

// hellos go to addresses of data centres in which no member is heard, from the delegate,
// and to addresses of unknown data centres, from every daemon.
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
