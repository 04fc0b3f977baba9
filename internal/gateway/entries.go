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
	minNearby = 2
	// maxEntries bounds the addresses of one answer.
	maxAddresses = 64
)

// entry is a daemon that takes requests of callers.
type entry struct {
	address, zone, region string
	overloaded            bool
	cpuCores              float64 // cores
}

// entries returns the daemons that a caller of the zone may connect to.
func (g *Gateway) entries(zone, region string) Entries {
	var candidates []entry
	if !g.draining.Load() {
		candidates = append(candidates, newEntry(g.member()))
	}
	for _, m := range g.exchange.Members() {
		if !m.Draining {
			candidates = append(candidates, newEntry(m))
		}
	}
	addresses := selectAddresses(candidates, zone, region, rand.Float64)
	return Entries{Addresses: addresses, TTL: min(entryTTL, g.settings.MaxEntryTTL)}
}

func newEntry(m *pb.Member) entry {
	return entry{m.EntryAddress, m.Zone, m.Region, m.Strained, float64(m.Processor)}
}

// choose returns addresses of the caller's zone when there are enough, else of its region,
// else of all. Strained daemons are left out while there is another one. Callers pick one of
// the addresses at random: a daemon with less processor time is named in fewer answers.
func selectAddresses(candidates []entry, zone, region string, random func() float64) []string {
	usable := slices.DeleteFunc(slices.Clone(candidates), func(e entry) bool { return e.overloaded })
	if len(usable) == 0 {
		usable = candidates
	}
	scopes := []func(entry) bool{
		func(e entry) bool { return e.zone == zone },
		func(e entry) bool { return e.region == region },
		func(entry) bool { return true },
	}
	var nearest []entry
	for _, inScope := range scopes {
		nearest = slices.DeleteFunc(slices.Clone(usable), func(e entry) bool { return !inScope(e) })
		if len(nearest) >= minNearby {
			break
		}
	}
	return sampleByCPU(nearest, random)
}

// sample draws each daemon with a chance in proportion to its processor time, the largest
// always, and returns the addresses in order.
func sampleByCPU(entries []entry, random func() float64) []string {
	maxCores := 0.0
	for _, e := range entries {
		maxCores = max(maxCores, e.cpuCores)
	}
	var addresses []string
	for _, e := range entries {
		if e.cpuCores >= maxCores || random() < e.cpuCores/maxCores {
			addresses = append(addresses, e.address)
		}
	}
	slices.Sort(addresses)
	return addresses[:min(len(addresses), maxAddresses)]
}
