package gateway

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/filbertrill/filbertrill/internal/exchange/pb"
)

const (
	// entryTTL is how long callers may cache the addresses. It is short so that callers stop
	// using the address of a stopping daemon quickly.
	entryTTL = 1500 * time.Millisecond
	// minNearby is the number of usable daemons below which the search is extended from the
	// caller's zone to its region, and from the region to the whole fleet.
	minNearby = 2
	// maxAddresses bounds the addresses in one answer.
	maxAddresses = 64
	// allowedScope is the index of the widest search that stays in the allowed regions.
	allowedScope = 2
)

// entry is a daemon that accepts requests from callers.
type entry struct {
	address, zone, region string
	overloaded            bool
	cpuCores              float64
}

// entries returns the daemons that a caller of the host in the zone and region should connect to.
func (g *Gateway) entries(host, zone, region string) Entries {
	var candidates []entry
	if !g.draining.Load() {
		candidates = append(candidates, newEntry(g.member()))
	}
	for _, m := range g.exchange.Members() {
		if !m.Draining {
			candidates = append(candidates, newEntry(m))
		}
	}
	var allowed []string
	if c := g.topology.Config(); c != nil {
		allowed = c.HostRegions(host)
	}
	addresses := selectAddresses(candidates, zone, region, allowed, rand.Float64)
	return Entries{Addresses: addresses, TTL: min(entryTTL, g.settings.MaxEntryTTL)}
}

func newEntry(m *pb.Member) entry {
	return entry{m.EntryAddress, m.Zone, m.Region, m.Strained, float64(m.Processor)}
}

// selectAddresses returns addresses in the caller's zone if there are at least minNearby,
// else in its region, else in the allowed regions, else in all regions. allowed is nil if all regions are. Overloaded daemons are excluded unless all are
// overloaded. Callers pick an address at random, so a daemon with fewer CPU cores is
// included in fewer answers. random returns values in [0, 1).
func selectAddresses(candidates []entry, zone, region string, allowed []string, random func() float64) []string {
	usable := slices.DeleteFunc(slices.Clone(candidates), func(e entry) bool { return e.overloaded })
	if len(usable) == 0 {
		usable = candidates
	}
	scopes := []func(entry) bool{
		func(e entry) bool { return e.zone == zone },
		func(e entry) bool { return e.region == region },
		func(e entry) bool { return allowed == nil || e.region == region || slices.Contains(allowed, e.region) },
		func(entry) bool { return true },
	}
	var nearest []entry
	for i, inScope := range scopes {
		nearest = slices.DeleteFunc(slices.Clone(usable), func(e entry) bool { return !inScope(e) })
		if len(nearest) >= minNearby || (len(nearest) > 0 && allowed != nil && i == allowedScope) {
			break // a single allowed daemon is better than one that isn't
		}
	}
	return sampleByCPU(nearest, random)
}

// sampleByCPU includes each daemon with a probability proportional to its CPU cores, and
// always those with the most cores. It returns at most maxAddresses addresses, sorted.
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
