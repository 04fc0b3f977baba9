package gateway

import (
	"context"
	"log/slog"
	"slices"
	"time"

	"github.com/filbertrill/filbertrill/internal/exchange/pb"
)

// Registry keeps addresses by which daemons find each other when none of their seeds is left.
type Registry interface {
	// Register replaces the control addresses kept for the zone.
	Register(ctx context.Context, zone string, addresses []string) error
	// Registered returns the control addresses kept for all zones.
	Registered(ctx context.Context) ([]string, error)
}

const (
	// registrarTick is the time between two looks at the members.
	registrarInterval = 2 * time.Second
	// registerPause is the least time between two records of a zone: more than daemons take
	// to restart one after the other.
	minRegisterInterval = 10 * time.Second
	// registeredDaemons is the number of daemons that a record names: as many as may be gone
	// at once in small zones, and as many as the platform gives seeds.
	maxRegisteredPerZone = 3
	// lonelyAfter is the time without a peer after which the records are read; a daemon that
	// has seeds hears of others within a second.
	noPeersTimeout = 3 * time.Second
	// lonelyPause bounds the time between two reads: a fleet may consist of one daemon.
	maxReadInterval = 30 * time.Second
	// registryTimeout bounds a call.
	registryTimeout = time.Second
)

// registrar keeps the zone's record in step with its members, and reads all records when
// this daemon knows no peer. Only the first daemon of a zone writes; two that both take
// themselves for the first write the same or are soon overwritten.
type registrar struct {
	registry Registry
	zone     string
	addPeer  func(control string)
	logger   *slog.Logger

	registered   []string
	registeredAt time.Time
	noPeersSince time.Time // since when there is no peer; zero with peers
	readAt       time.Time
	readCount    int
}

// plan returns what is due: the addresses to register, nil for none, and whether to read.
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
	for _, m := range peers { // in the order of their ids
		if m.Zone != self.Zone || m.Draining {
			continue
		}
		if m.Id < self.Id {
			return nil, read // that one registers
		}
		if len(addresses) < maxRegisteredPerZone {
			addresses = append(addresses, m.ControlAddress)
		}
	}
	if slices.Equal(addresses, r.registered) {
		return nil, read
	}
	return addresses, read
}

// keepRegistered runs the registrar until the context ends.
func (g *Gateway) runRegistrar(ctx context.Context) {
	r := &registrar{
		registry: g.platform.Registry,
		zone:     g.settings.Zone,
		addPeer:  func(address string) { g.exchange.Know(address, "") },
		logger:   g.logger,
	}
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-time.After(registrarInterval):
			register, read := r.plan(g.member(), g.exchange.Members(), now)
			r.execute(ctx, register, read, now)
		}
	}
}

// sync does what is due.
func (r *registrar) execute(ctx context.Context, register []string, read bool, now time.Time) {
	ctx, cancel := context.WithTimeout(ctx, registryTimeout)
	defer cancel()
	if register != nil {
		r.registeredAt = now // also when it fails: the store is not to be pressed
		if err := r.registry.Register(ctx, r.zone, register); err != nil {
			r.logger.Warn("Zone not registered.", "control", register, "error", err)
		} else {
			r.registered = register
			r.logger.Info("Zone registered.", "control", register)
		}
	}
	if !read {
		return
	}
	r.readAt, r.readCount = now, r.readCount+1
	addresses, err := r.registry.Registered(ctx)
	if err != nil {
		r.logger.Warn("Records of daemons not read.", "error", err)
		return
	}
	r.logger.Info("Without peers, records of daemons read.", "control", addresses)
	for _, address := range addresses {
		r.addPeer(address)
	}
}
