package daemon

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/filbertrill/filbertrill/internal/peer/pb"
)

// farewell is the time for the last message to leave.
const leaveUpdateDelay = 200 * time.Millisecond

// Drain begins a planned stop. Further calls change nothing.
func (d *Daemon) Drain() { d.drainOnce.Do(func() { close(d.drainRequested) }) }

// untilStopped runs the steps of a planned stop: out of the entry answers, serve on until
// every answer that names this daemon has expired, finish what waits and runs, leave.
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
	d.logger.Info("Closed the door, finishing requests.", "requests", d.load())
	if err := d.entry.Shutdown(ctx); err != nil {
		return errors.Wrap(err, "finish requests")
	}
	d.keys.flush(ctx)
	d.members.SetState(pb.MemberState_MEMBER_STATE_LEFT)
	sleep(ctx, leaveUpdateDelay)
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
