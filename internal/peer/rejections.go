package peer

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"storj.io/drpc/drpcmetadata"
)

// Bounds of the log of refused connections.
const (
	maxLoggedSenders     = 256
	rejectionLogInterval = 10 * time.Minute
)

// refusals logs connections without a valid token once for each claimed sender.
type rejectionLog struct {
	mu         sync.Mutex
	lastLogged map[string]time.Time
}

func (r *rejectionLog) record(ctx context.Context, err error, logger *slog.Logger) {
	meta, _ := drpcmetadata.Get(ctx)
	sender := meta[metaSender]
	if r.shouldLog(sender, time.Now()) {
		logger.Warn("Refused a connection without a valid token.", "sender", sender, "error", err)
	}
}

// first reports whether the sender was not logged of late.
func (r *rejectionLog) shouldLog(sender string, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if last, ok := r.lastLogged[sender]; ok && now.Sub(last) < rejectionLogInterval {
		return false
	}
	if r.lastLogged == nil || len(r.lastLogged) >= maxLoggedSenders {
		r.lastLogged = map[string]time.Time{}
	}
	r.lastLogged[sender] = now
	return true
}
