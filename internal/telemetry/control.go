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

// The kinds of control messages between daemons on a platform.
const (
	KindState       Kind = "peer_state"
	KindMemberList  Kind = "member_list"
	KindZoneSummary Kind = "zone_summary" // for the delegates of other zones
	KindForward     Kind = "forward"      // of summaries of other zones
	KindOwnZone     Kind = "own_zone"     // summary for the daemons of a large zone
	KindOrigins     Kind = "origins"
	KindStoreNews   Kind = "store_news"
	KindPull        Kind = "pull"
)

var kinds = []Kind{
	KindPing, KindPong, KindHeartbeat, KindBidReport, KindGrantBatch, KindRunReport,
	KindConfigRecords, KindConfigRequest, KindConfigReply, KindZoneReports, KindLog, KindOther,
	KindState, KindMemberList, KindZoneSummary, KindForward, KindOwnZone, KindOrigins, KindStoreNews, KindPull,
}

// controlCounter counts the control messages of one direction, locality and kind.
type controlCounter struct{ bytes, messages tally.Counter }

type controlKey struct {
	direction Direction
	locality  Locality
	kind      Kind
}

// newControlCounters returns a counter for each combination of direction, locality and kind.
func newControlCounters(scope tally.Scope) map[controlKey]controlCounter {
	counters := make(map[controlKey]controlCounter)
	for _, direction := range []Direction{Sent, Received} {
		for _, locality := range []Locality{SameZone, RemoteZone} {
			for _, kind := range kinds {
				tags := map[string]string{"scope": string(locality), "kind": string(kind)}
				name := "control_" + string(direction)
				tagged := scope.Tagged(tags)
				counters[controlKey{direction, locality, kind}] = controlCounter{tagged.Counter(name + "_bytes_total"), tagged.Counter(name + "_messages_total")}
			}
		}
	}
	return counters
}

// CountControl counts a control message and its bytes. Kinds that are not declared above count
// as KindOther.
func (m *Metrics) CountControl(direction Direction, locality Locality, kind Kind, bytes int) {
	counter, ok := m.controlBytes[controlKey{direction, locality, kind}]
	if !ok {
		counter = m.controlBytes[controlKey{direction, locality, KindOther}]
	}
	counter.bytes.Inc(int64(bytes))
	counter.messages.Inc(1)
}
