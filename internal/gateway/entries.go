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

// entry is a daemon that takes requests of callers.
type entry struct {
	address, zone, region string
	strained              bool
}

// entries returns the daemons that a caller of the zone may connect to.
func (g *Gateway) entries(zone, region string) Entries {
	var all []entry
	if !g.draining.Load() {
		all = append(all, entry{g.settings.Entry, g.settings.Zone, g.settings.Region, g.strain.strained.Load()})
	}
	for _, m := range g.exchange.Members() {
		if !m.Draining {
			all = append(all, entry{m.EntryAddress, m.Zone, m.Region, m.Strained})
		}
	}
	return Entries{Addresses: choose(all, zone, region), TTL: min(entryTTL, g.settings.EntryTTLMax)}
}

// choose returns the addresses of the caller's zone when there are enough, else of its region,
// else all. Strained daemons are left out while there is another one.
func choose(all []entry, zone, region string) []string {
	usable := slices.DeleteFunc(slices.Clone(all), func(e entry) bool { return e.strained })
	if len(usable) == 0 {
		usable = all
	}
	near := []func(entry) bool{
		func(e entry) bool { return e.zone == zone },
		func(e entry) bool { return e.region == region },
		func(entry) bool { return true },
	}
	var addresses []string
	for _, match := range near {
		addresses = nil
		for _, e := range usable {
			if match(e) {
				addresses = append(addresses, e.address)
			}
		}
		if len(addresses) >= minLocal {
			break
		}
	}
	slices.Sort(addresses)
	return addresses[:min(len(addresses), maxEntries)]
}
