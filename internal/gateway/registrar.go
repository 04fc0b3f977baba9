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
	Register(ctx context.Context, zone string, control []string) error
	// Registered returns the control addresses kept for all zones.
	Registered(ctx context.Context) ([]string, error)
}

const (
	// registrarTick is the time between two looks at the members.
	registrarTick = 2 * time.Second
	// registerPause is the least time between two records of a zone: more than daemons take
	// to restart one after the other.
	registerPause = 10 * time.Second
	// registeredDaemons is the number of daemons that a record names: as many as may be gone
	// at once in small zones, and as many as the platform gives seeds.
	registeredDaemons = 3
	// lonelyAfter is the time without a peer after which the records are read; a daemon that
	// has seeds hears of others within a second.
	lonelyAfter = 3 * time.Second
	// lonelyPause bounds the time between two reads: a fleet may consist of one daemon.
	lonelyPause = 30 * time.Second
	// registryTimeout bounds a call.
	registryTimeout = time.Second
)

// registrar keeps the zone's record in step with its members, and reads all records when
// this daemon knows no peer. Only the first daemon of a zone writes; two that both take
// themselves for the first write the same or are soon overwritten.
type registrar struct {
	registry Registry
	zone     string
	know     func(control string)
	logger   *slog.Logger

	written   []string
	writtenAt time.Time
	alone     time.Time // since when there is no peer; zero with peers
	readAt    time.Time
	reads     int
}

// plan returns what is due: the addresses to register, nil for none, and whether to read.
func (r *registrar) plan(self *pb.Member, others []*pb.Member, now time.Time) (register []string, read bool) {
	if len(others) == 0 {
		if r.alone.IsZero() {
			r.alone, r.reads = now, 0
		}
		pause := min(lonelyAfter<<min(r.reads, 4), lonelyPause)
		read = now.Sub(r.alone) >= lonelyAfter && now.Sub(r.readAt) >= pause
	} else {
		r.alone = time.Time{}
	}
	if self.Draining || (!r.writtenAt.IsZero() && now.Sub(r.writtenAt) < registerPause) {
		return nil, read
	}
	control := []string{self.ControlAddress}
	for _, m := range others { // in the order of their ids
		if m.Zone != self.Zone || m.Draining {
			continue
		}
		if m.Id < self.Id {
			return nil, read // that one registers
		}
		if len(control) < registeredDaemons {
			control = append(control, m.ControlAddress)
		}
	}
	if slices.Equal(control, r.written) {
		return nil, read
	}
	return control, read
}

// keepRegistered runs the registrar until the context ends.
func (g *Gateway) keepRegistered(ctx context.Context) {
	r := &registrar{
		registry: g.handlers.Registry,
		zone:     g.settings.Zone,
		know:     func(control string) { g.exchange.AddAddress(control, "") },
		logger:   g.logger,
	}
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-time.After(registrarTick):
			register, read := r.plan(g.member(), g.exchange.Members(), now)
			r.sync(ctx, register, read, now)
		}
	}
}

// sync does what is due.
func (r *registrar) sync(ctx context.Context, register []string, read bool, now time.Time) {
	ctx, cancel := context.WithTimeout(ctx, registryTimeout)
	defer cancel()
	if register != nil {
		r.writtenAt = now // also when it fails: the store is not to be pressed
		if err := r.registry.Register(ctx, r.zone, register); err != nil {
			r.logger.Warn("Zone not registered.", "control", register, "error", err)
		} else {
			r.written = register
			r.logger.Info("Zone registered.", "control", register)
		}
	}
	if !read {
		return
	}
	r.readAt, r.reads = now, r.reads+1
	control, err := r.registry.Registered(ctx)
	if err != nil {
		r.logger.Warn("Records of daemons not read.", "error", err)
		return
	}
	r.logger.Info("Without peers, records of daemons read.", "control", control)
	for _, address := range control {
		r.know(address)
	}
}
