package exchange

import (
	"time"

	"github.com/filbertrill/filbertrill/internal/exchange/pb"
	"github.com/filbertrill/filbertrill/internal/telemetry"
)

// fleetCache holds what is derived from all known daemons. It is asked for with each datagram, and
// changes seldom. The zero value is empty.
type fleetCache struct {
	size    int          // see Exchange.fleetSize, 0 for unknown
	members []*pb.Member // see Exchange.members, nil for unknown
}

// sizeChanged discards the number of daemons, after an address or the members of a zone have changed.
func (c *fleetCache) sizeChanged() { c.size = 0 }

// membersChanged discards the members, after one has changed, failed or become live.
func (c *fleetCache) membersChanged() { c.members = nil }

// Members returns the live daemons of the fleet except this one, sorted by ID. The caller must not
// change the slice.
func (x *Exchange) Members() []*pb.Member {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.members()
}

// FleetSize returns the number of known daemons in the fleet, including this one and failed ones that
// have not expired.
func (x *Exchange) FleetSize() int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.fleetSize()
}

// fleetSize implements FleetSize. The caller holds the lock.
func (x *Exchange) fleetSize() int {
	if x.fleet.size > 0 {
		return x.fleet.size
	}
	controlAddresses := make(map[string]bool, len(x.addresses))
	for controlAddress := range x.addresses {
		controlAddresses[controlAddress] = true
	}
	for _, z := range x.zones {
		for _, m := range z.Members {
			controlAddresses[m.ControlAddress] = true
		}
	}
	delete(controlAddresses, x.options.ControlAddress) // a summary of the own zone lists this daemon
	x.fleet.size = len(controlAddresses) + 1
	return x.fleet.size
}

// Shares returns the number of daemons among which what the fleet may use together is divided. It is FleetSize, except for a
// daemon that has just started and doesn't know the size of its fleet yet: that one may use next to nothing. A daemon to which
// the settings name no other is alone until another one makes itself known.
func (x *Exchange) Shares() int {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.settled || len(x.addresses) == 0 {
		return x.fleetSize()
	}
	return max(x.fleetSize(), maxAddresses)
}

// SetRegistryRead records that the addresses of registered daemons have been added, as far as there are any. A daemon without
// peers doesn't know before how large its fleet is.
func (x *Exchange) SetRegistryRead() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.registryRead = true
}

// settle determines whether this daemon knows the size of its fleet. The caller holds the lock.
func (x *Exchange) settle(now time.Time) {
	if x.settled || now.Sub(x.grewAt) < settleTime {
		return
	}
	x.settled = x.registryRead || len(x.addresses) == 0 || len(x.members()) > 0
	if x.settled {
		x.options.Logger.Info("Size of the fleet known.", "daemons", x.fleetSize())
	}
}

// expireAddresses removes the addresses of daemons that have been silent for too long. Silence doesn't prove that a daemon has
// ended: it may be cut off, and go on with its share of what the fleet may use together. So after expiryTimeout daemons remove
// those that have said before that they would leave, and others only while over three fifths of the fleet are in touch: the
// shares that are counted twice are then less than the margin that retry.Window leaves. After lostTimeout all are removed. The
// caller holds the lock.
func (x *Exchange) expireAddresses(now time.Time) {
	known, inTouch := 1, 1
	for _, a := range x.addresses {
		if now.Sub(a.lastSeen) <= silentTimeout {
			known, inTouch = known+1, inTouch+1
		} else if !a.leaving {
			known++
		}
	}
	mostInTouch := 5*inTouch > 3*known
	for controlAddress, a := range x.addresses {
		silence := now.Sub(a.lastSeen)
		if silence > lostTimeout || (silence > expiryTimeout && (mostInTouch || a.leaving)) {
			delete(x.addresses, controlAddress)
			x.fleet.sizeChanged()
		}
	}
}

// list records the member as last listed at the address.
func (a *address) list(m *pb.Member) {
	if a.member == nil || a.member.Id != m.Id {
		a.served = false
	}
	a.served = a.served || !m.Draining
	a.leaving = a.served && m.Draining
	a.member = m
}

// members implements Members. The caller holds the lock.
func (x *Exchange) members() []*pb.Member {
	if x.fleet.members != nil {
		return x.fleet.members
	}
	out := make([]*pb.Member, 0, len(x.addresses))
	seen := make(map[string]bool, len(x.addresses))
	for id, p := range x.peers {
		if p.live {
			out = append(out, p.state.Member)
			seen[id] = true
		}
	}
	self := x.options.Self().Id
	for _, z := range x.zones {
		for _, m := range z.Members {
			if !seen[m.Id] && m.Id != self {
				out = append(out, m)
			}
		}
	}
	sortMembers(out)
	x.fleet.members = out
	return out
}

// isMesh reports whether the fleet is a full mesh, in which every daemon sends its state to all
// others. The caller holds the lock.
func (x *Exchange) isMesh() bool { return x.fleetSize() <= maxMeshSize }

// sameMember reports whether the messages have the same content.
func sameMember(a, b *pb.Member) bool {
	return a.Id == b.Id && a.Zone == b.Zone && a.Region == b.Region &&
		a.EntryAddress == b.EntryAddress && a.ControlAddress == b.ControlAddress &&
		a.Draining == b.Draining && a.Strained == b.Strained && a.Processor == b.Processor &&
		a.StoreLost == b.StoreLost && a.KnowsPrompts == b.KnowsPrompts && a.KnowsServers == b.KnowsServers
}

// zoneOf returns the zone of the daemon with the control address, empty if it is unknown.
func (x *Exchange) zoneOf(controlAddress string) string {
	x.mu.Lock()
	defer x.mu.Unlock()
	if a, ok := x.addresses[controlAddress]; ok {
		return a.zone
	}
	return ""
}

// countSent reports bytes that were sent to a zone to Options.OnZoneTraffic.
func (x *Exchange) countSent(to string, kind telemetry.TrafficKind, bytes int) {
	if x.options.OnZoneTraffic != nil {
		x.options.OnZoneTraffic(x.options.Self().Zone, to, kind, int64(bytes))
	}
}

// countReceived reports bytes that were received from a zone to Options.OnZoneTraffic.
func (x *Exchange) countReceived(from string, kind telemetry.TrafficKind, bytes int) {
	if x.options.OnZoneTraffic != nil {
		x.options.OnZoneTraffic(from, x.options.Self().Zone, kind, int64(bytes))
	}
}
