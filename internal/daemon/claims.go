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
	maxKeptAnswer = 16 << 10
	// flushTimeout bounds the last appends of a planned stop.
	flushTimeout = 5 * time.Second
)

// onceOnly holds what unrepeatable requests need.
type onceOnly struct {
	issuer claim.Issuer
	logged *claims.Controller
	issued *claims.Controller
	window time.Duration
}

func (d *Daemon) newOnceOnly(incarnation uint64) *onceOnly {
	book := claim.Options{Daemon: d.settings.ID, Incarnation: incarnation, Window: d.settings.ClaimWindow}
	memory := book
	memory.MinAppendInterval = time.Nanosecond
	return &onceOnly{
		issuer: claim.Issuer{Secret: d.settings.Secret, Daemon: d.settings.ID, Incarnation: incarnation},
		window: d.settings.ClaimWindow,
		logged: claims.NewController(claims.Options{
			Log:         d.log,
			Table:       book,
			CallTimeout: d.settings.LogTimeout,
			Logger:      logging.For(logging.Claims),
			Metrics:     d.metrics,
		}),
		issued: claims.NewController(claims.Options{
			Log:    &claims.MemoryLog{},
			Table:  memory,
			Logger: logging.For(logging.Claims),
		}),
	}
}

// filter returns the filter of the chain.
func (o *onceOnly) filter(d *Daemon) filter.Filter {
	return idempotency.New(idempotency.Options{
		CallerKeys:     o.logged,
		IssuedKeys:     o.issued,
		Issuer:         o.issuer,
		EntryAddress:   d.entryOf,
		Window:         o.window,
		MaxClockSkew:   claim.DefaultMaxClockSkew,
		ClaimTimeout:   d.settings.ClaimTimeout,
		MaxAnswerBytes: maxKeptAnswer,
		MaxHeldBytes:   d.settings.MaxHeld,
	})
}

// entryOf returns the address for callers of a live daemon.
func (d *Daemon) entryOf(id string) string {
	for _, m := range d.members.Live(time.Now()) {
		if m.Id == id {
			return m.ClientAddress
		}
	}
	return ""
}

// Issue returns a key of the account.
func (o *onceOnly) Issue(account string, now time.Time) string {
	var nonce [8]byte
	_, _ = rand.Read(nonce[:]) // never fails
	return o.issuer.Issue(account, now, nonce)
}

// Lifetime returns how long an issued key is taken.
func (o *onceOnly) Lifetime() time.Duration { return o.window }

// flush writes the last outcomes to the log, for callers that ask again elsewhere.
func (o *onceOnly) flush(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, flushTimeout)
	defer cancel()
	if !o.logged.Flush(ctx) {
		logging.For(logging.Claims).Warn("Stopped before all outcomes were in the log.")
	}
}
