package daemon

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/filbertrill/filbertrill/internal/peer/pb"
)

// leaveUpdateDelay is the time for the update to state LEFT to be sent before the daemon stops.
const leaveUpdateDelay = 200 * time.Millisecond

// Drain begins a graceful shutdown. Further calls have no effect.
func (d *Daemon) Drain() { d.drainOnce.Do(func() { close(d.drainRequested) }) }

// shutdownOnDrain waits for Drain and then shuts down gracefully. The daemon is removed from
// responses of /v1/entries, keeps serving until every such response that lists it has expired,
// finishes its waiting and running requests, and leaves the fleet. It returns nil early if the
// context ends.
func (d *Daemon) shutdownOnDrain(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return nil
	case <-d.drainRequested:
	}
	d.logger.Info("Draining.", "lifetime", d.settings.EntriesLifetime, "margin", d.settings.DrainMargin)
	d.members.SetState(pb.MemberState_MEMBER_STATE_DRAINING)
	if !sleep(ctx, d.settings.DrainMargin+d.settings.EntriesLifetime/2) {
		return nil
	}
	d.entry.DisableKeepAlives()
	if !sleep(ctx, d.settings.EntriesLifetime/2) {
		return nil
	}
	d.logger.Info("Closing the listener, finishing requests.", "requests", d.load())
	if err := d.entry.Shutdown(ctx); err != nil {
		return errors.Wrap(err, "finish requests")
	}
	d.keys.flush(ctx)
	d.members.SetState(pb.MemberState_MEMBER_STATE_LEFT)
	sleep(ctx, leaveUpdateDelay)
	d.logger.Info("Stopped.")
	return nil
}

// sleep waits for the duration. It returns false if the context ends first.
func sleep(ctx context.Context, duration time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(duration):
		return true
	}
}
