// Package idempotency lets an unrepeatable request of a plain service run at most once by its
// idempotency key. See the README of this folder.
package idempotency

import (
	"context"
	"maps"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/filbertrill/filbertrill/internal/claim"
	"github.com/filbertrill/filbertrill/internal/filter"
	"github.com/filbertrill/filbertrill/internal/result"
)

// The headers of callers and of answers.
const (
	HeaderKey          = "Idempotency-Key"
	HeaderFirstAttempt = "X-First-Attempt" // "true": the caller never sent the key before
	HeaderReplayed     = "X-Replayed"      // "true": the answer of an earlier run
	HeaderEntry        = "X-Entry"         // the address that takes an issued key
)

// retryAfter is when a caller should come back whose claim could not be recorded.
const retryAfter = time.Second

// Claims decides which attempt runs.
type Claims interface {
	Claim(ctx context.Context, ask claim.Request) (claim.Decision, error)
	End(attempt claim.AttemptID, outcome *claim.Outcome)
}

// Options configure the filter.
type Options struct {
	CallerKeys Claims // for keys of callers
	IssuedKeys Claims // for keys that this daemon issued
	Issuer     claim.Issuer
	// EntryOf returns the address for callers of a daemon, or the empty string.
	EntryAddress   func(daemon string) string
	Window         time.Duration // age at which a key is no longer taken
	MaxClockSkew   time.Duration // how far two clocks may differ
	ClaimTimeout   time.Duration // for recording a claim
	MaxAnswerBytes int           // bytes of an answer kept for callers that ask again
	MaxHeldBytes   int64         // bytes of request bodies that wait for a claim or run under one
}

// New returns the filter.
func New(opts Options) filter.Filter {
	return func(next filter.Handler) filter.Handler { return &handler{opts: opts, next: next} }
}

type handler struct {
	opts      Options
	next      filter.Handler
	heldBytes atomic.Int64 // bytes of request bodies
}

// Handle passes on what is repeatable and what has no key: the daemon makes one attempt of it.
func (h *handler) Handle(ctx context.Context, r *filter.Request) error {
	if r.Chat != nil || r.Service.Repeatable {
		return h.next.Handle(ctx, r)
	}
	values := r.HTTP.Header.Values(HeaderKey)
	if len(values) == 0 {
		return h.next.Handle(ctx, r)
	}
	key, err := h.parseKey(r, values)
	if err != nil {
		return err
	}
	claims, err := h.claimsFor(r, key)
	if err != nil {
		return err
	}
	req, err := h.claimRequest(r, key)
	if err != nil {
		return err
	}
	size := int64(len(r.Body))
	defer h.heldBytes.Add(-size)
	if h.heldBytes.Add(size) > h.opts.MaxHeldBytes {
		return refuse(r, result.DaemonFull, result.EarlierRequestUnknown, "the daemon holds too many request bodies")
	}
	decision, err := claims.Claim(ctx, req)
	if err != nil {
		return result.Wrap(err, result.CallerGone, "the caller went away")
	}
	if decision.Kind == claim.Run {
		return h.run(ctx, r, claims, req.Attempt)
	}
	return writeDecision(r, decision)
}

func (h *handler) parseKey(r *filter.Request, values []string) (claim.Key, error) {
	if len(values) > 1 {
		return claim.Key{}, result.New(result.IdempotencyKeyInvalid, "the request has more than one idempotency key")
	}
	key, err := h.opts.Issuer.Parse(r.Account.ID, values[0])
	if err != nil {
		return claim.Key{}, result.Wrap(err, result.IdempotencyKeyInvalid, "%v", err)
	}
	if key.CreatedAt.After(r.Received.Add(h.opts.MaxClockSkew)) {
		return claim.Key{}, result.New(result.IdempotencyKeyInvalid, "the idempotency key was made in the future: check the clock")
	}
	return key, nil
}

// claims returns who decides on the key. An issued key runs only in its issuer's memory.
func (h *handler) claimsFor(r *filter.Request, key claim.Key) (Claims, error) {
	if !key.Issued() {
		return h.opts.CallerKeys, nil
	}
	if key.Issuer != h.opts.Issuer.Daemon {
		address := h.opts.EntryAddress(key.Issuer)
		r.Writer.Header().Set(HeaderEntry, address)
		return nil, refuse(r, result.ClaimsUnavailable, result.EarlierRequestUnknown,
			"the idempotency key is only taken by its issuer %s at %q", key.Issuer, address)
	}
	if key.Incarnation != h.opts.Issuer.Incarnation {
		return nil, refuse(r, result.IdempotencyKeyInvalid, result.EarlierOutcomeUnknown,
			"the daemon that issued the idempotency key has restarted")
	}
	return h.opts.IssuedKeys, nil
}

func (h *handler) claimRequest(r *filter.Request, key claim.Key) (claim.Request, error) {
	attempt, err := claim.ParseAttemptID(r.ID)
	if err != nil {
		return claim.Request{}, err
	}
	waitDeadline := r.Received.Add(time.Duration(r.Service.Deadline))
	claimDeadline := r.Received.Add(h.opts.ClaimTimeout)
	if waitDeadline.Before(claimDeadline) {
		claimDeadline = waitDeadline
	}
	return claim.Request{
		Attempt:       attempt,
		Key:           key.Hash(r.Account.ID),
		Content:       claim.ContentHash(r.Service.ID, r.HTTP.Method, r.Path, r.Body),
		KeyCreatedAt:  key.CreatedAt,
		ClaimDeadline: claimDeadline,
		WaitDeadline:  waitDeadline,
	}, nil
}

// run passes the request on and records how it ended, whatever happens.
func (h *handler) run(ctx context.Context, r *filter.Request, claims Claims, attempt claim.AttemptID) error {
	outcome := &claim.Outcome{}
	defer func() { claims.End(attempt, outcome) }()
	err := h.next.Handle(ctx, r)
	outcome = h.outcome(r, err)
	return err
}

// outcome returns nil when no byte of the request can have reached a backend server.
func (h *handler) outcome(r *filter.Request, err error) *claim.Outcome {
	if r.Answer != nil {
		return h.answerOutcome(r.Answer)
	}
	neverGranted := r.Granted.IsZero()
	if err != nil && (neverGranted || result.From(err).Class() == result.NotRun) {
		return nil
	}
	return &claim.Outcome{}
}

func (h *handler) answerOutcome(a *filter.Answer) *claim.Outcome {
	o := &claim.Outcome{Status: a.Status, Header: headerFields(a.Header), Body: a.Body}
	if len(a.Body) > h.opts.MaxAnswerBytes {
		o.Header, o.Body, o.BodyDropped = nil, nil, true
	}
	return o
}

// fields returns the headers in the order of their names.
func headerFields(header map[string]string) []claim.HeaderField {
	var out []claim.HeaderField
	for _, name := range slices.Sorted(maps.Keys(header)) {
		out = append(out, claim.HeaderField{Name: name, Value: header[name]})
	}
	return out
}

// answer answers a request that does not run.
func writeDecision(r *filter.Request, decision claim.Decision) error {
	switch decision.Kind {
	case claim.Replay:
		r.Writer.Header().Set(HeaderReplayed, "true")
		earlier := filter.Answer{Status: decision.Outcome.Status, Header: map[string]string{}, Body: decision.Outcome.Body}
		for _, f := range decision.Outcome.Header {
			earlier.Header[f.Name] = f.Value
		}
		return earlier.Write(r.Writer)
	case claim.KeyReused:
		return result.New(result.IdempotencyKeyReused, "the idempotency key was used before with other content")
	case claim.Unclaimed:
		return result.New(result.ClaimsUnavailable, "the claim could not be recorded").After(retryAfter)
	case claim.Unavailable:
		return refuse(r, result.ClaimsUnavailable, result.EarlierRequestUnknown,
			"this request was not run, and whether an earlier one with its key ran can't be told now")
	case claim.KeyExpired:
		return refuse(r, result.IdempotencyKeyInvalid, result.EarlierOutcomeUnknown,
			"the idempotency key is older than the log tells")
	}
	if decision.Outcome != nil && decision.Outcome.Status != 0 {
		return result.New(result.EarlierOutcomeUnknown, "an earlier request ran and was answered %s; its answer was not kept",
			http.StatusText(decision.Outcome.Status))
	}
	return result.New(result.EarlierOutcomeUnknown, "an earlier request may have run, and its outcome is not known")
}

// unknown refuses a request that was not run. Only when the caller says that it never sent
// the key before is its key known not to have run either.
func refuse(r *filter.Request, firstAttemptCode, repeatCode result.Code, format string, args ...any) error {
	code := repeatCode
	if isFirstAttempt(r.HTTP) {
		code = firstAttemptCode
	}
	return result.New(code, format, args...).After(retryAfter)
}

func isFirstAttempt(h *http.Request) bool { return h.Header.Get(HeaderFirstAttempt) == "true" }
