package daemon

import (
	"context"
	"crypto/rand"
	"time"

	"github.com/filbertrill/filbertrill/internal/claim"
	"github.com/filbertrill/filbertrill/internal/controller/claims"
	"github.com/filbertrill/filbertrill/internal/filter"
	"github.com/filbertrill/filbertrill/internal/filter/idempotency"
	"github.com/filbertrill/filbertrill/internal/logging"
)

const (
	// maxReplayedAnswerBytes is the maximum body size of an answer that is stored for callers
	// that repeat their request.
	maxReplayedAnswerBytes = 16 << 10
	// flushTimeout is the timeout of the last appends to the log during a drain.
	flushTimeout = 5 * time.Second
)

// idempotencyKeys issues idempotency keys, and holds the claims of requests that carry a key.
// Claims for keys that callers created are in the shared log. Claims for keys that this daemon
// issued are only in its memory.
type idempotencyKeys struct {
	issuer     claim.Issuer
	callerKeys *claims.Controller
	issuedKeys *claims.Controller
	window     time.Duration
}

func (d *Daemon) newIdempotencyKeys(incarnation uint64) *idempotencyKeys {
	tableOptions := claim.Options{Daemon: d.settings.ID, Incarnation: incarnation, Window: d.settings.ClaimWindow}
	memoryTableOptions := tableOptions
	memoryTableOptions.MinAppendInterval = time.Nanosecond // no batching delay for appends to memory; 0 selects the default
	return &idempotencyKeys{
		issuer: claim.Issuer{Secret: d.settings.Secret, Daemon: d.settings.ID, Incarnation: incarnation},
		window: d.settings.ClaimWindow,
		callerKeys: claims.NewController(claims.Options{
			Log:         d.log,
			Table:       tableOptions,
			CallTimeout: d.settings.LogTimeout,
			Logger:      logging.For(logging.Claims),
			Metrics:     d.metrics,
		}),
		issuedKeys: claims.NewController(claims.Options{
			Log:    &claims.MemoryLog{},
			Table:  memoryTableOptions,
			Logger: logging.For(logging.Claims),
		}),
	}
}

// filter returns the filter that runs an unrepeatable request at most once per key.
func (k *idempotencyKeys) filter(d *Daemon) filter.Filter {
	return idempotency.New(idempotency.Options{
		CallerKeys:     k.callerKeys,
		IssuedKeys:     k.issuedKeys,
		Issuer:         k.issuer,
		EntryAddress:   d.entryAddress,
		Window:         k.window,
		MaxClockSkew:   claim.DefaultMaxClockSkew,
		ClaimTimeout:   d.settings.ClaimTimeout,
		MaxAnswerBytes: maxReplayedAnswerBytes,
		MaxHeldBytes:   d.settings.MaxHeld,
	})
}

// entryAddress returns the client address of the live daemon with the ID, or "" if there is none.
func (d *Daemon) entryAddress(id string) string {
	for _, m := range d.members.Live(time.Now()) {
		if m.Id == id {
			return m.ClientAddress
		}
	}
	return ""
}

// Issue returns a new idempotency key for the account.
func (k *idempotencyKeys) Issue(account string, now time.Time) string {
	var nonce [8]byte
	_, _ = rand.Read(nonce[:]) // crypto/rand.Read never returns an error
	return k.issuer.Issue(account, now, nonce)
}

// Lifetime returns how long an issued key is accepted.
func (k *idempotencyKeys) Lifetime() time.Duration { return k.window }

// flush writes the last outcomes to the log, so that other daemons can answer callers that
// repeat their request.
func (k *idempotencyKeys) flush(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, flushTimeout)
	defer cancel()
	if !k.callerKeys.Flush(ctx) {
		logging.For(logging.Claims).Warn("Not all outcomes were written to the log before the daemon stopped.")
	}
}
