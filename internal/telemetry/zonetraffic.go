package telemetry

import (
	"sync"

	"github.com/uber-go/tally/v4"
)

// TrafficKind is what is sent from one zone to another, the "kind" label.
type TrafficKind string

// The kinds of traffic between zones.
const (
	TrafficRequests TrafficKind = "request" // to backend servers
	TrafficAnswers  TrafficKind = "answer"  // of backend servers
	TrafficFetches  TrafficKind = "fetch"   // cached prompt parts between engines, by their size in memory
	TrafficStates   TrafficKind = "state"   // datagrams between daemons
	TrafficPulls    TrafficKind = "pull"    // what daemons pull from each other
)

// maxZonePairs bounds the label values. Zones come from the records of backend servers.
const maxZonePairs = 1000

type zoneTrafficKey struct {
	from, to string
	kind     TrafficKind
}

// zoneTraffic holds a counter for each pair of zones and kind of traffic.
type zoneTraffic struct {
	scope    tally.Scope
	mu       sync.Mutex
	counters map[zoneTrafficKey]tally.Counter
}

// CountZoneTraffic counts bytes that are sent from one zone to another. It ignores traffic within a
// zone. Each byte is counted by one daemon: the one that forwards the request, sends the datagram or
// pulls.
func (m *Metrics) CountZoneTraffic(from, to string, kind TrafficKind, bytes int64) {
	if from != to && from != "" && to != "" && bytes > 0 {
		m.zoneTraffic.counter(zoneTrafficKey{from, to, kind}).Inc(bytes)
	}
}

func (t *zoneTraffic) counter(key zoneTrafficKey) tally.Counter {
	t.mu.Lock()
	defer t.mu.Unlock()
	if c, ok := t.counters[key]; ok {
		return c
	}
	if len(t.counters) >= maxZonePairs {
		key.from, key.to = Other, Other
		if c, ok := t.counters[key]; ok {
			return c
		}
	}
	c := t.scope.Tagged(map[string]string{"from": key.from, "to": key.to, "kind": string(key.kind)}).Counter("zone_traffic_bytes_total")
	t.counters[key] = c
	return c
}
