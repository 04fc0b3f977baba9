package exchange

import (
	"github.com/filbertrill/filbertrill/internal/exchange/pb"
	"github.com/filbertrill/filbertrill/internal/telemetry"
)

// kindOf returns the kind of the datagram in metrics.
func kindOf(d *pb.Datagram) telemetry.Kind {
	switch {
	case d.OwnZone != nil:
		return telemetry.KindOwnZone
	case d.Zone != nil:
		return telemetry.KindZoneSummary
	case len(d.Forwarded) > 0:
		return telemetry.KindForward
	case d.StoreNews != nil:
		return telemetry.KindStoreNews
	case d.Origins != nil:
		return telemetry.KindOrigins
	case len(d.GetState().GetMembers()) > 0:
		return telemetry.KindMemberList
	}
	return telemetry.KindState
}

// senderZone returns the zone of the daemon that has sent the datagram, empty if the datagram doesn't name it. Forwarded
// summaries come from the receiver's own zone.
func senderZone(d *pb.Datagram) string {
	switch {
	case d.OwnZone != nil:
		return d.OwnZone.Zone
	case d.Zone != nil:
		return d.Zone.Zone
	}
	return d.GetState().GetMember().GetZone()
}

// countControl reports a message to or from a daemon of the zone to Options.OnControl.
func (x *Exchange) countControl(direction telemetry.Direction, zone string, kind telemetry.Kind, bytes int) {
	if x.options.OnControl == nil {
		return
	}
	locality := telemetry.SameZone
	if zone != "" && zone != x.options.Self().Zone {
		locality = telemetry.RemoteZone
	}
	x.options.OnControl(direction, locality, kind, bytes)
}
