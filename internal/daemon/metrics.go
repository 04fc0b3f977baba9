package daemon

import (
	"context"
	"time"

	"github.com/filbertrill/filbertrill/internal/telemetry"
)

// gaugeInterval is the interval between updates of the gauges.
const gaugeInterval = 2 * time.Second

// updateGauges updates the gauges of the daemon's state until the context ends.
func (d *Daemon) updateGauges(ctx context.Context) {
	ticker := time.NewTicker(gaugeInterval)
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
	if lastRead, _ := d.config.LogHealth(); !lastRead.IsZero() {
		d.metrics.SetLogAge(now.Sub(lastRead))
	}
	knowledge := d.config.Freshness(now)
	d.metrics.SetCutOff(knowledge.CutOff)
	if knowledge.Ready {
		d.metrics.SetConfigAge(knowledge.Age)
	}
	for service, count := range d.dispatch.RequestCounts() {
		d.metrics.SetWaiting(service, count.Waiting)
		d.metrics.SetRunning(service, count.Running)
	}
}

// load returns the number of requests that wait or run at this daemon.
func (d *Daemon) load() uint32 {
	n := 0
	for _, count := range d.dispatch.RequestCounts() {
		n += count.Waiting + count.Running
	}
	return uint32(n)
}

// messageKinds maps the kinds of messages between daemons to the kinds of the metrics.
var messageKinds = map[string]telemetry.Kind{
	"ping":         telemetry.KindPing,
	"pong":         telemetry.KindPong,
	"heartbeat":    telemetry.KindHeartbeat,
	"zone_reports": telemetry.KindZoneReports,
	"demand":       telemetry.KindBidReport,
	"grant":        telemetry.KindGrantBatch,
	"config":       telemetry.KindConfigRecords,
}

// countControl counts a message between daemons. The peer is an address for sent messages and a
// member ID for received ones.
func (d *Daemon) countControl(bytes int, sent bool, kind string, peer string) {
	k, ok := messageKinds[kind]
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
