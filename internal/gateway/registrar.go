package gateway

import (
	"context"
	"log/slog"
	"slices"
	"time"

	"github.com/filbertrill/filbertrill/internal/exchange/pb"
)

// Registry stores the control addresses of some daemons of each zone. A daemon that can't reach
// any of its seeds finds the fleet through them.
type Registry interface {
	// Register replaces the control addresses stored for the zone.
	Register(ctx context.Context, zone string, addresses []string) error
	// Registered returns the control addresses stored for all zones. It may return addresses and an error, if some of the
	// records can't be read.
	Registered(ctx context.Context) ([]string, error)
	// Era returns the highest era of the store in its answers so far. It rises when the store was restored from a copy,
	// which may lack what was registered last.
	Era() uint64
}

const (
	// registrarInterval is the time between two checks of the members.
	registrarInterval = 2 * time.Second
	// minRegisterInterval is the minimum time between two registrations of a zone. It is
	// longer than the time from one daemon to the next in a rolling restart.
	minRegisterInterval = 10 * time.Second
	// maxRegisteredPerZone bounds the addresses registered for a zone. In small zones that many
	// daemons may be down at once, and the platform provides as many seeds.
	maxRegisteredPerZone = 3
	// noPeersTimeout is the time without peers after which the registry is read. A daemon
	// with reachable seeds finds peers within a second.
	noPeersTimeout = 3 * time.Second
	// maxReadInterval is the upper bound of the exponential backoff between two reads. A fleet
	// may consist of a single daemon, which never finds peers.
	maxReadInterval = 30 * time.Second
	// registryTimeout bounds the registry calls of one interval.
	registryTimeout = time.Second
)

// registrar registers addresses of the zone's members, and reads the addresses of all zones
// if this daemon knows no peer. Only the daemon with the lowest ID of a zone registers. Two
// daemons that both take that role for a while do no harm: they write the same addresses, or
// one soon overwrites the other.
type registrar struct {
	registry Registry
	zone     string
	addPeer  func(address string)
	onRead   func() // called when the registered addresses have been read and added
	logger   *slog.Logger

	era          uint64    // highest era of the store that a daemon of the fleet knows
	registered   []string  // addresses of the last successful registration
	registeredIn uint64    // era of the store after the last successful registration
	registeredAt time.Time // of the last attempt
	noPeersSince time.Time // zero while there are peers
	readAt       time.Time // of the last attempt
	readCount    int       // reads since noPeersSince
}

// plan returns the addresses to register now, nil for none, and whether to read the registry.
// peers must be sorted by ID.
func (r *registrar) plan(self *pb.Member, peers []*pb.Member, now time.Time) (register []string, read bool) {
	if len(peers) == 0 {
		if r.noPeersSince.IsZero() {
			r.noPeersSince, r.readCount = now, 0
		}
		interval := min(noPeersTimeout<<min(r.readCount, 4), maxReadInterval)
		read = now.Sub(r.noPeersSince) >= noPeersTimeout && now.Sub(r.readAt) >= interval
	} else {
		r.noPeersSince = time.Time{}
	}
	if self.Draining || (!r.registeredAt.IsZero() && now.Sub(r.registeredAt) < minRegisterInterval) {
		return nil, read
	}
	addresses := []string{self.ControlAddress}
	for _, m := range peers { // sorted by ID
		if m.Zone != self.Zone || m.Draining {
			continue
		}
		if m.Id < self.Id {
			return nil, read // the peer registers
		}
		if len(addresses) < maxRegisteredPerZone {
			addresses = append(addresses, m.ControlAddress)
		}
	}
	if slices.Equal(addresses, r.registered) && r.era <= r.registeredIn {
		return nil, read
	}
	return addresses, read
}

// runRegistrar runs the registrar until the context ends.
func (g *Gateway) runRegistrar(ctx context.Context) {
	r := &registrar{
		registry: g.platform.Registry,
		zone:     g.settings.Zone,
		addPeer:  func(address string) { g.exchange.AddAddress(address, "") },
		onRead:   g.exchange.SetRegistryRead,
		logger:   g.logger,
	}
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-time.After(registrarInterval):
			r.era = g.storeEra()
			register, read := r.plan(g.member(), g.exchange.Members(), now)
			r.execute(ctx, register, read, now)
		}
	}
}

// execute makes the registry calls that plan asked for.
func (r *registrar) execute(ctx context.Context, register []string, read bool, now time.Time) {
	ctx, cancel := context.WithTimeout(ctx, registryTimeout)
	defer cancel()
	if register != nil {
		r.registeredAt = now // also after a failure, to limit the load on the store
		if err := r.registry.Register(ctx, r.zone, register); err != nil {
			r.logger.Warn("Zone registration failed.", "control", register, "error", err)
		} else {
			r.registered, r.registeredIn = register, r.registry.Era()
			r.logger.Info("Zone registered.", "control", register)
		}
	}
	if !read {
		return
	}
	r.readAt, r.readCount = now, r.readCount+1
	addresses, err := r.registry.Registered(ctx)
	if err != nil {
		r.logger.Warn("Registered addresses could not be read.", "read", len(addresses), "error", err)
	}
	if len(addresses) > 0 {
		r.logger.Info("Registered addresses read, no peers known.", "control", addresses)
	}
	for _, address := range addresses {
		r.addPeer(address)
	}
	if err == nil || len(addresses) > 0 { // records that can't be read name no daemon
		r.onRead()
	}
}
