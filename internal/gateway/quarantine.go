package gateway

import (
	"strconv"
	"time"

	"github.com/filbertrill/filbertrill/internal/exchange/pb"
	"github.com/filbertrill/filbertrill/internal/quarantine"
)

// publishQuarantine logs the subjects that became suspected, or are no longer, and updates the gauges.
func (g *Gateway) publishQuarantine() {
	for _, c := range g.scheduler.QuarantineChanges() {
		kind, id := c.Kind.String(), formatHash(c.ID)
		if c.Suspected {
			g.logger.Warn("Suspected of ending servers.", "kind", kind, "id", id, "servers", len(c.Servers), "until", c.Until)
		} else {
			g.logger.Info("No longer suspected of ending servers.", "kind", kind, "id", id, "since", c.Since)
		}
		g.metrics.SetQuarantined(kind, id, c.Suspected)
	}
}

// mayTry reports whether this daemon is one of those, triers in number, that make the trials of a suspect, by rendezvous
// hashing (Thaler and Ravishankar 1998). Daemons that have lost each other may all be.
func (g *Gateway) mayTry(suspect uint64, triers int) bool {
	own := quarantine.TrialRank(suspect, g.settings.ID)
	higher := 0
	for _, m := range g.exchange.Members() {
		if !m.Draining && quarantine.TrialRank(suspect, m.Id) > own {
			higher++
		}
	}
	return higher < triers
}

// formatHash formats a hash as in the log of requests.
func formatHash(hash uint64) string { return strconv.FormatUint(hash, 16) }

// quarantineMessage returns the prompt parts and requests that are held.
func (g *Gateway) quarantineMessage() *pb.QuarantineList {
	list := &pb.QuarantineList{}
	for _, s := range g.scheduler.Quarantined(time.Now()) {
		list.Suspects = append(list.Suspects, &pb.Quarantined{
			Kind: uint32(s.Kind), Id: s.ID, SinceUnixMs: s.Since.UnixMilli(), UntilUnixMs: s.Until.UnixMilli(), Servers: s.Servers,
		})
	}
	return list
}

// liftQuarantine releases a prompt part or request in the whole fleet.
func (g *Gateway) liftQuarantine(id uint64) bool {
	lifted := g.scheduler.LiftQuarantine(id, time.Now())
	g.exchange.TriggerSend()
	return lifted
}
