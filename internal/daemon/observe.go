package daemon

import (
	"context"
	"time"

	"github.com/filbertrill/filbertrill/internal/telemetry"
)

// observeInterval is the time between two updates of the gauges.
const observeInterval = 2 * time.Second

// observe sets the gauges of the daemon's state until the context ends.
func (d *Daemon) observe(ctx context.Context) {
	ticker := time.NewTicker(observeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			d.setGauges(now)
		}
	}
}

func (d *Daemon) setGauges(now time.Time) {
	d.metrics.SetMembersLive(len(d.members.Live(now)))
	applied, _ := d.config.Applied()
	d.metrics.SetAppliedOffset(applied)
	if read, _ := d.config.LogHealth(); !read.IsZero() {
		d.metrics.SetLogAge(now.Sub(read))
	}
	known := d.config.Freshness(now)
	d.metrics.SetCutOff(known.CutOff)
	if known.Established {
		d.metrics.SetKnownAge(known.Age)
	}
	for service, count := range d.dispatch.Counts() {
		d.metrics.SetWaiting(service, count.Waiting)
		d.metrics.SetRunning(service, count.Running)
	}
}

// load is the number of requests that wait and run at this daemon.
func (d *Daemon) load() uint32 {
	n := 0
	for _, count := range d.dispatch.Counts() {
		n += count.Waiting + count.Running
	}
	return uint32(n)
}

// controlKinds are the kinds of peer's messages in the metrics.
var controlKinds = map[string]telemetry.Kind{
	"ping":         telemetry.KindPing,
	"pong":         telemetry.KindPong,
	"heartbeat":    telemetry.KindHeartbeat,
	"zone_reports": telemetry.KindZoneReports,
	"demand":       telemetry.KindBidReport,
	"grant":        telemetry.KindGrantBatch,
	"config":       telemetry.KindConfigRecords,
}

// countControl counts a control message. The peer is an address for sent messages and a
// member id for received ones.
func (d *Daemon) countControl(bytes int, sent bool, kind string, peer string) {
	k, ok := controlKinds[kind]
	if !ok {
		k = telemetry.KindOther
	}
	direction := telemetry.Received
	if sent {
		direction = telemetry.Sent
	}
	reach := telemetry.RemoteZone
	if d.members.Zone(peer) == d.settings.Zone {
		reach = telemetry.SameZone
	}
	d.metrics.CountControl(direction, reach, k, bytes)
}
