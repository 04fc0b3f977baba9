package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/filbertrill/filbertrill/internal/peer/pb"
)

// idlePoll is the time between two looks for the first configuration.
const firstConfigPollInterval = 50 * time.Millisecond

// PeerAddress returns the bound address for other daemons.
func (d *Daemon) PeerAddress() string { return d.listener.Addr().String() }

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
	loops := []func(context.Context){
		d.config.Run, d.members.Run, d.dispatch.Run, d.keys.callerKeys.Run, d.keys.issuedKeys.Run,
		d.updateGauges, d.updateOrders, d.orders.Run, d.serveWhenConfigured,
	}
	for _, run := range loops {
		wg.Go(func() { run(ctx) })
	}
	wg.Go(func() { _ = d.mesh.Serve(d.listener) })
	d.logger.Info("Listening.", "callers", address.String(), "peers", d.PeerAddress())
	ready(address.String())
	return d.shutdownOnDrain(ctx)
}

// serveWhenConfigured makes the daemon live once it has a configuration.
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
