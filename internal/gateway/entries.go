package gateway

import (
	"slices"
	"time"
)

const (
	// entryTTL is how long callers should keep the addresses: short, so that those of a
	// daemon that stops are soon out of use.
	entryTTL = 1500 * time.Millisecond
	// minLocal is the number of daemons in the caller's zone that is enough without others.
	minLocal = 2
	// maxEntries bounds the addresses of one answer.
	maxEntries = 64
)

// entries returns the daemons that a caller of the zone may connect to: those of its zone
// when there are enough, else those of its region, else all.
func (g *Gateway) entries(zone, region string) Entries {
	type entry struct{ address, zone, region string }
	var all []entry
	if !g.draining.Load() {
		all = append(all, entry{g.settings.Entry, g.settings.Zone, g.settings.Region})
	}
	for _, m := range g.exchange.Members() {
		if !m.Draining {
			all = append(all, entry{m.EntryAddress, m.Zone, m.Region})
		}
	}
	pick := func(match func(entry) bool) []string {
		var out []string
		for _, e := range all {
			if match(e) {
				out = append(out, e.address)
			}
		}
		return out
	}
	addresses := pick(func(e entry) bool { return e.zone == zone })
	if len(addresses) < minLocal {
		addresses = pick(func(e entry) bool { return e.region == region })
	}
	if len(addresses) < minLocal {
		addresses = pick(func(entry) bool { return true })
	}
	slices.Sort(addresses)
	return Entries{Addresses: addresses[:min(len(addresses), maxEntries)], TTL: min(entryTTL, g.settings.EntryTTLMax)}
}
