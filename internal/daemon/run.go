package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/filbertrill/filbertrill/internal/entry"
	"github.com/filbertrill/filbertrill/internal/peer/pb"
)

// Times of a planned stop.
const (
	// drainMargin is added to the lifetime of entry answers, for the age of peers' views.
	drainMargin = 2 * time.Second
	idlePoll    = 50 * time.Millisecond
)

// PeerAddress returns the bound address for other daemons.
func (d *Daemon) PeerAddress() string { return d.listener.Addr().String() }

// Drain begins a planned stop. Further calls change nothing.
func (d *Daemon) Drain() { d.drainOnce.Do(func() { close(d.drain) }) }

// Run serves until a planned stop is complete, or at once when the context ends. It calls
// ready with the bound address for callers once it listens.
func (d *Daemon) Run(ctx context.Context, ready func(clientAddress string)) error {
	ctx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	defer d.mesh.Close()

	address, err := d.entry.Start()
	if err != nil {
		return errors.Wrap(err, "listen for callers")
	}
	advertised := d.settings.Advertise
	if advertised == "" {
		advertised = address.String()
	}
	d.members.SetClientAddress(advertised)
	parts := []func(context.Context){
		d.config.Run, d.members.Run, d.dispatch.Run, d.once.logged.Run, d.once.issued.Run, d.serveWhenConfigured,
	}
	for _, run := range parts {
		wg.Go(func() { run(ctx) })
	}
	wg.Go(func() { _ = d.mesh.Serve(d.listener) })
	d.logger.Info("Listening.", "callers", address.String(), "peers", d.PeerAddress())
	ready(address.String())
	return d.untilStopped(ctx)
}

// serveWhenConfigured makes the daemon live once it has a configuration.
func (d *Daemon) serveWhenConfigured(ctx context.Context) {
	ticker := time.NewTicker(idlePoll)
	defer ticker.Stop()
	for d.config.Current() == nil {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
	select {
	case <-d.drain:
	default:
		d.members.SetState(pb.MemberState_MEMBER_STATE_LIVE)
		d.logger.Info("Serving.")
	}
}

// untilStopped runs the steps of a planned stop: out of the entry answers, serve on for
// their lifetime, finish what runs, leave.
func (d *Daemon) untilStopped(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return nil
	case <-d.drain:
	}
	d.logger.Info("Draining.", "lifetime", entry.EntriesLifetime)
	d.members.SetState(pb.MemberState_MEMBER_STATE_DRAINING)
	if !sleep(ctx, entry.EntriesLifetime+drainMargin) {
		return nil
	}
	if err := d.entry.Shutdown(ctx); err != nil {
		return errors.Wrap(err, "finish requests")
	}
	d.once.flush(ctx)
	d.members.SetState(pb.MemberState_MEMBER_STATE_LEFT)
	sleep(ctx, idlePoll)
	d.logger.Info("Stopped.")
	return nil
}

// sleep waits, and reports false when the context ended first.
func sleep(ctx context.Context, duration time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(duration):
		return true
	}
}
