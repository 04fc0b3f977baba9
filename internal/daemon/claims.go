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
	// maxKeptAnswer is the longest answer, in bytes, that a caller that asks again receives.
	maxReplayedAnswerBytes = 16 << 10
	// flushTimeout bounds the last appends of a planned stop.
	flushTimeout = 5 * time.Second
)

// onceOnly holds what unrepeatable requests need.
type idempotencyKeys struct {
	issuer     claim.Issuer
	callerKeys *claims.Controller
	issuedKeys *claims.Controller
	window     time.Duration
}

func (d *Daemon) newIdempotencyKeys(incarnation uint64) *idempotencyKeys {
	tableOptions := claim.Options{Daemon: d.settings.ID, Incarnation: incarnation, Window: d.settings.ClaimWindow}
	memoryTableOptions := tableOptions
	memoryTableOptions.MinAppendInterval = time.Nanosecond
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

// filter returns the filter of the chain.
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

// entryOf returns the address for callers of a live daemon.
func (d *Daemon) entryAddress(id string) string {
	for _, m := range d.members.Live(time.Now()) {
		if m.Id == id {
			return m.ClientAddress
		}
	}
	return ""
}

// Issue returns a key of the account.
func (k *idempotencyKeys) Issue(account string, now time.Time) string {
	var nonce [8]byte
	_, _ = rand.Read(nonce[:]) // never fails
	return k.issuer.Issue(account, now, nonce)
}

// Lifetime returns how long an issued key is taken.
func (k *idempotencyKeys) Lifetime() time.Duration { return k.window }

// flush writes the last outcomes to the log, for callers that ask again elsewhere.
func (k *idempotencyKeys) flush(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, flushTimeout)
	defer cancel()
	if !k.callerKeys.Flush(ctx) {
		logging.For(logging.Claims).Warn("Stopped before all outcomes were in the log.")
	}
}
