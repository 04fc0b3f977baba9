package member

import (
	"slices"
	"time"

	"github.com/filbertrill/filbertrill/internal/peer/pb"
)

// How often reports without news are sent, in beats.
const (
	relayEvery = 2 // to the members of the own data centre
	farEvery   = 8 // between regions, and of other regions
	helloEvery = 2 // to addresses where no member is known
)

// hellosPerZone bounds the addresses that are tried at a time in a data centre of which
// no member is heard.
const hellosPerZone = 2

// delegateReports are what the delegate of a data centre sends: its own report and those
// it holds to the delegates of the region, all that it holds to its own members, and
// those of the region to other regions when it speaks for the region.
func (v *View) delegateReports(now time.Time, f fleet, urgent bool) []OutboundMessage {
	own := v.makeReport(now)
	news := v.noteOwn(own)
	due := func(every uint64) bool { return !urgent && v.beats%every == 0 }

	relay := v.fresh(now, func(h *held) bool {
		return h.news || due(farEvery) || (due(relayEvery) && h.report.Region == v.self.Region)
	})
	var out []OutboundMessage
	if len(relay) > 0 {
		out = v.toZone(f, relay)
	}
	out = append(out, v.toRegion(now, f, own, news, urgent)...)
	if d := f.regionDelegate(v.self.Region); d != nil && d.Id == v.self.Id {
		out = append(out, v.toOtherRegions(now, f, own, news, due(farEvery))...)
	}
	return out
}

// noteOwn strips from the own report what the receivers hold, and reports whether it has news.
func (v *View) noteOwn(own *pb.ZoneReport) bool {
	last := v.own
	v.own = ownReport{digest: own.Digest, applied: own.Applied, behind: own.Behind, suspected: own.Suspected}
	if own.Digest == last.digest {
		own.Members, own.Zone, own.Region = nil, "", ""
	}
	return own.Digest != last.digest || own.Applied != last.applied ||
		!slices.Equal(own.Behind, last.behind) || !slices.Equal(own.Suspected, last.suspected)
}

// fresh returns the fresh reports that the filter takes, to be passed on.
func (v *View) fresh(now time.Time, take func(h *held) bool) []*pb.ZoneReport {
	var sources []string
	for source, h := range v.reports {
		limit := ReportedSuspectTimeout
		if h.report.Region != v.self.Region {
			limit = CrossRegionSuspectTimeout
		}
		if now.Sub(h.heard) <= limit && take(h) {
			sources = append(sources, source)
		}
	}
	slices.Sort(sources)
	var out []*pb.ZoneReport
	for _, source := range sources {
		h := v.reports[source]
		out = append(out, v.passOn(h, now, h.newSet, h.report.Region == v.self.Region))
	}
	return out
}

func (v *View) toZone(f fleet, reports []*pb.ZoneReport) []OutboundMessage {
	var out []OutboundMessage
	for _, m := range f.zones[v.self.Zone] {
		if m.Id != v.self.Id {
			out = append(out, OutboundMessage{Address: m.PeerAddress, Message: v.envelope(m.Id, reports)})
		}
	}
	return out
}

// toRegion sends at every beat, and with news at once. Reports of other regions go along
// only from the daemon that has them first hand.
func (v *View) toRegion(now time.Time, f fleet, own *pb.ZoneReport, news, urgent bool) []OutboundMessage {
	speaks := f.regionDelegate(v.self.Region)
	first := speaks != nil && speaks.Id == v.self.Id
	reports := v.fresh(now, func(h *held) bool {
		if h.report.Region == v.self.Region {
			return !urgent || h.news
		}
		return (first || h.abroad) && (h.news || (!urgent && v.beats%farEvery == 0))
	})
	if !urgent || news {
		reports = append(reports, own)
	}
	if len(reports) == 0 {
		return nil
	}
	var out []OutboundMessage
	for _, zone := range f.regions[v.self.Region] {
		if d := f.delegate(zone); zone != v.self.Zone {
			out = append(out, OutboundMessage{Address: d.PeerAddress, Message: v.envelope(d.Id, reports)})
		}
	}
	return out
}

func (v *View) toOtherRegions(now time.Time, f fleet, own *pb.ZoneReport, news, due bool) []OutboundMessage {
	reports := v.fresh(now, func(h *held) bool {
		return h.report.Region == v.self.Region && (due || h.news)
	})
	if due || news {
		reports = append(reports, own)
	}
	if len(reports) == 0 {
		return nil
	}
	var out []OutboundMessage
	for region := range f.regions {
		if region == v.self.Region {
			continue
		}
		d := f.regionDelegate(region)
		out = append(out, OutboundMessage{Address: d.PeerAddress, Message: v.envelope(d.Id, reports)})
	}
	return out
}

// probes ask the delegates of the region for an echo and vouch for no one.
func (v *View) probes(f fleet) []OutboundMessage {
	var out []OutboundMessage
	for _, zone := range f.regions[v.self.Region] {
		if d := f.delegate(zone); zone != v.self.Zone {
			out = append(out, OutboundMessage{Address: d.PeerAddress, Message: v.envelope(d.Id, nil)})
		}
	}
	return out
}

// settled notes that all news was passed on.
func (v *View) settled() {
	v.urgent, v.greet = false, false
	for _, h := range v.reports {
		h.news, h.newSet = false, false
	}
}

// hellos go to addresses of data centres in which no member is heard, from the delegate,
// and to addresses of unknown data centres, from every daemon.
func (v *View) hellos(f fleet, now time.Time) []OutboundMessage {
	ids := map[string]string{}
	for id, s := range v.members {
		ids[s.Member.PeerAddress] = id
	}
	hello := func(address string) OutboundMessage {
		report := v.makeReport(now)
		return OutboundMessage{Address: address, Message: v.envelope(ids[address], []*pb.ZoneReport{report})}
	}
	var out []OutboundMessage
	byZone := map[string][]string{}
	for _, place := range v.unknownPlaces() {
		if place.Zone == "" {
			out = append(out, hello(place.Address))
		} else {
			byZone[place.Zone] = append(byZone[place.Zone], place.Address)
		}
	}
	if d := f.delegate(v.self.Zone); d == nil || d.Id != v.self.Id {
		return out
	}
	for _, s := range v.All() {
		byZone[s.Member.Zone] = append(byZone[s.Member.Zone], s.Member.PeerAddress)
	}
	for zone, addresses := range byZone {
		if zone == v.self.Zone || len(f.zones[zone]) > 0 {
			continue
		}
		for i := range min(hellosPerZone, len(addresses)) {
			at := (int(v.beats/helloEvery)*hellosPerZone + i) % len(addresses)
			out = append(out, hello(addresses[at]))
		}
	}
	return out
}
