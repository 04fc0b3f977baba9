package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/filbertrill/filbertrill/internal/peer/pb"
)

// firstConfigPollInterval is the interval between checks for the first configuration.
const firstConfigPollInterval = 50 * time.Millisecond

// PeerAddress returns the address that the daemon listens on for other daemons and operators.
func (d *Daemon) PeerAddress() string { return d.listener.Addr().String() }

// Run serves until a drain is complete, or until the context ends, which stops it immediately.
// Once it listens, it calls ready with the address for callers.
func (d *Daemon) Run(ctx context.Context, ready func(clientAddress string)) error {
	ctx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	defer d.mesh.Close()

	address, err := d.entry.Start()
	if err != nil {
		return errors.Wrap(err, "listen on the client address")
	}
	advertised := d.settings.Advertise
	if advertised == "" {
		advertised = address.String()
	}
	d.members.SetClientAddress(advertised)
	loops := []func(context.Context){
		d.config.Run, d.members.Run, d.dispatch.Run, d.keys.callerKeys.Run, d.keys.issuedKeys.Run,
		d.updateGauges, d.updateOrders, d.orders.Run, d.quarantine.Run, d.serveWhenConfigured,
	}
	for _, run := range loops {
		wg.Go(func() { run(ctx) })
	}
	wg.Go(func() { _ = d.mesh.Serve(d.listener) })
	d.logger.Info("Listening.", "callers", address.String(), "peers", d.PeerAddress())
	ready(address.String())
	return d.shutdownOnDrain(ctx)
}

// serveWhenConfigured sets the member state to LIVE once the daemon has a configuration, unless a
// drain has begun.
func (d *Daemon) serveWhenConfigured(ctx context.Context) {
	ticker := time.NewTicker(firstConfigPollInterval)
	defer ticker.Stop()
	for d.config.Current() == nil {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
	select {
	case <-d.drainRequested:
	default:
		d.members.SetState(pb.MemberState_MEMBER_STATE_LIVE)
		d.logger.Info("Serving.")
	}
}
