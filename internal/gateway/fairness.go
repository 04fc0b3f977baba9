package gateway

import (
	"context"
	"time"

	"github.com/filbertrill/filbertrill/internal/fairness"
	"github.com/filbertrill/filbertrill/internal/logging"
)

// fairnessInterval is the time between two lines of what accounts received. Each holds several seconds, so that a line may be lost.
const fairnessInterval = time.Second

// recordUnread counts a request that was refused before it was read.
func (g *Gateway) recordUnread(account string, tokens float64, now time.Time) {
	g.scheduler.RecordUnread(account, tokens, now)
	g.fairness.RecordAsked(account, tokens, now)
	g.fairness.RecordUnmet(account, now, now)
}

// logFairness logs what each account asked for and received in the last seconds.
func (g *Gateway) logFairness(ctx context.Context) {
	logger := logging.For(logging.Entry)
	ticker := time.NewTicker(fairnessInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			if log := g.fairness.Seconds(now); len(log) > 0 {
				logger.Info(fairness.LogMessage, fairness.DaemonAttribute, g.settings.ID, fairness.SecondsAttribute, log.String())
			}
		}
	}
}
