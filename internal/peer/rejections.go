package peer

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"storj.io/drpc/drpcmetadata"
)

const (
	// maxLoggedSenders bounds the memory of a rejectionLog: the sender is not authenticated,
	// so a caller may claim any number of them.
	maxLoggedSenders = 256
	// rejectionLogInterval is the minimum time between two log lines for the same sender.
	rejectionLogInterval = 10 * time.Minute
)

// rejectionLog logs connections without a valid token, at most once per claimed sender and
// rejectionLogInterval.
type rejectionLog struct {
	mu         sync.Mutex
	lastLogged map[string]time.Time
}

// record logs a connection that was rejected with err, unless its sender was logged recently.
func (r *rejectionLog) record(ctx context.Context, err error, logger *slog.Logger) {
	meta, _ := drpcmetadata.Get(ctx)
	sender := meta[metaSender]
	if r.shouldLog(sender, time.Now()) {
		logger.Warn("Rejected a connection without a valid token.", "sender", sender, "error", err)
	}
}

// shouldLog reports whether a rejection of the sender should be logged at now, and if so
// records that it was. Before it would exceed maxLoggedSenders, it drops all records.
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
