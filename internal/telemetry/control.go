package telemetry

import "github.com/uber-go/tally/v4"

// Direction tells whether a control message was sent or received.
type Direction string

// The directions of control messages.
const (
	Sent     Direction = "sent"
	Received Direction = "received"
)

// Locality tells whether a control message crosses the boundary of the daemon's zone. It is the
// "scope" label.
type Locality string

// The localities of control messages.
const (
	SameZone   Locality = "zone"
	RemoteZone Locality = "remote_zone"
)

// Kind is the type of a control message, the "kind" label.
type Kind string

// The kinds of control messages.
const (
	KindPing          Kind = "ping"
	KindPong          Kind = "pong"
	KindHeartbeat     Kind = "heartbeat"
	KindBidReport     Kind = "bid_report"
	KindGrantBatch    Kind = "grant_batch"
	KindRunReport     Kind = "run_report"
	KindConfigRecords Kind = "config_records"
	KindConfigRequest Kind = "config_request"
	KindConfigReply   Kind = "config_reply"
	KindZoneReports   Kind = "zone_reports"
	KindLog           Kind = "log" // calls to the platform's log
	KindOther         Kind = Other
)

var kinds = []Kind{
	KindPing, KindPong, KindHeartbeat, KindBidReport, KindGrantBatch, KindRunReport,
	KindConfigRecords, KindConfigRequest, KindConfigReply, KindZoneReports, KindLog, KindOther,
}

type controlKey struct {
	direction Direction
	locality  Locality
	kind      Kind
}

// newControlCounters returns a counter for each combination of direction, locality and kind.
func newControlCounters(scope tally.Scope) map[controlKey]tally.Counter {
	counters := make(map[controlKey]tally.Counter)
	for _, direction := range []Direction{Sent, Received} {
		for _, locality := range []Locality{SameZone, RemoteZone} {
			for _, kind := range kinds {
				tags := map[string]string{"scope": string(locality), "kind": string(kind)}
				name := "control_" + string(direction) + "_bytes_total"
				counters[controlKey{direction, locality, kind}] = scope.Tagged(tags).Counter(name)
			}
		}
	}
	return counters
}

// CountControl counts the bytes of a control message. Kinds that are not declared above count
// as KindOther.
func (m *Metrics) CountControl(direction Direction, locality Locality, kind Kind, bytes int) {
	counter, ok := m.controlBytes[controlKey{direction, locality, kind}]
	if !ok {
		counter = m.controlBytes[controlKey{direction, locality, KindOther}]
	}
	counter.Inc(int64(bytes))
}
