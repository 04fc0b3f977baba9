package forward

import (
	"github.com/filbertrill/filbertrill/internal/placement"
	"github.com/filbertrill/filbertrill/internal/telemetry"
)

// countZoneTraffic counts what the attempt has sent between zones: the request, the answer, and the
// prompt parts that the server has fetched for it.
func (h *Handler) countZoneTraffic(c *call, choice placement.Choice, record *attemptRecord) {
	to := choice.Server.Zone
	h.Metrics.CountZoneTraffic(h.Zone, to, telemetry.TrafficRequests, record.sentBytes)
	h.Metrics.CountZoneTraffic(to, h.Zone, telemetry.TrafficAnswers, record.receivedBytes)
	if choice.FetchedTokens > 0 {
		fetched := int64(float64(choice.FetchedTokens) * c.service.BytesPerToken)
		h.Metrics.CountZoneTraffic(choice.Source.Zone, to, telemetry.TrafficFetches, fetched)
	}
}
