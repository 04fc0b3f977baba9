package telemetry

import (
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestZoneTrafficIsCountedByPairAndKind(t *testing.T) {
	m, handler, closer := New(Options{Interval: time.Hour})
	m.CountZoneTraffic("z1", "z2", TrafficRequests, 100)
	m.CountZoneTraffic("z1", "z2", TrafficRequests, 20)
	m.CountZoneTraffic("z2", "z1", TrafficAnswers, 7)
	m.CountZoneTraffic("z1", "z1", TrafficStates, 5)
	m.CountZoneTraffic("z1", "", TrafficStates, 5)
	require.NoError(t, closer.Close()) // makes the final report
	w := httptest.NewRecorder()
	handler.ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	assert.Contains(t, w.Body.String(), `filbertrill_zone_traffic_bytes_total{from="z1",kind="request",to="z2"} 120`)
	assert.Contains(t, w.Body.String(), `filbertrill_zone_traffic_bytes_total{from="z2",kind="answer",to="z1"} 7`)
	assert.NotContains(t, w.Body.String(), `kind="state"`, "traffic within a zone, or to a zone that is not known")
}

func TestZonePairsAreBounded(t *testing.T) {
	m, _, closer := New(Options{Interval: time.Hour})
	for i := range 2 * maxZonePairs {
		m.CountZoneTraffic("z1", string(rune('a'+i)), TrafficStates, 1)
	}
	assert.LessOrEqual(t, len(m.zoneTraffic.counters), maxZonePairs+1)
	require.NoError(t, closer.Close())
}
