package gateway

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/filbertrill/filbertrill/internal/exchange/pb"
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
	processor             float64 // cores
}

// entries returns the daemons that a caller of the zone may connect to.
func (g *Gateway) entries(zone, region string) Entries {
	var all []entry
	if !g.draining.Load() {
		all = append(all, entryOf(g.member()))
	}
	for _, m := range g.exchange.Members() {
		if !m.Draining {
			all = append(all, entryOf(m))
		}
	}
	addresses := choose(all, zone, region, rand.Float64)
	return Entries{Addresses: addresses, TTL: min(entryTTL, g.settings.MaxEntryTTL)}
}

func entryOf(m *pb.Member) entry {
	return entry{m.EntryAddress, m.Zone, m.Region, m.Strained, float64(m.Processor)}
}

// choose returns addresses of the caller's zone when there are enough, else of its region,
// else of all. Strained daemons are left out while there is another one. Callers pick one of
// the addresses at random: a daemon with less processor time is named in fewer answers.
func choose(all []entry, zone, region string, random func() float64) []string {
	usable := slices.DeleteFunc(slices.Clone(all), func(e entry) bool { return e.strained })
	if len(usable) == 0 {
		usable = all
	}
	near := []func(entry) bool{
		func(e entry) bool { return e.zone == zone },
		func(e entry) bool { return e.region == region },
		func(entry) bool { return true },
	}
	var nearest []entry
	for _, match := range near {
		nearest = slices.DeleteFunc(slices.Clone(usable), func(e entry) bool { return !match(e) })
		if len(nearest) >= minLocal {
			break
		}
	}
	return sample(nearest, random)
}

// sample draws each daemon with a chance in proportion to its processor time, the largest
// always, and returns the addresses in order.
func sample(entries []entry, random func() float64) []string {
	most := 0.0
	for _, e := range entries {
		most = max(most, e.processor)
	}
	var addresses []string
	for _, e := range entries {
		if e.processor >= most || random() < e.processor/most {
			addresses = append(addresses, e.address)
		}
	}
	slices.Sort(addresses)
	return addresses[:min(len(addresses), maxEntries)]
}
