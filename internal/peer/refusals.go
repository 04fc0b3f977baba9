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
	maxRefusedSenders = 256
	repeatRefusals    = 10 * time.Minute
)

// refusals logs connections without a valid token once for each claimed sender.
type refusals struct {
	mu     sync.Mutex
	logged map[string]time.Time
}

func (r *refusals) note(ctx context.Context, err error, logger *slog.Logger) {
	meta, _ := drpcmetadata.Get(ctx)
	sender := meta[metaSender]
	if r.first(sender, time.Now()) {
		logger.Warn("Refused a connection without a valid token.", "sender", sender, "error", err)
	}
}

// first reports whether the sender was not logged of late.
func (r *refusals) first(sender string, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if at, ok := r.logged[sender]; ok && now.Sub(at) < repeatRefusals {
		return false
	}
	if r.logged == nil || len(r.logged) >= maxRefusedSenders {
		r.logged = map[string]time.Time{}
	}
	r.logged[sender] = now
	return true
}
