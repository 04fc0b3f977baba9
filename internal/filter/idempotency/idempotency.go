// Package idempotency is a filter that runs an unrepeatable request to a plain service at most
// once for each idempotency key. See the README of this folder.
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

// Headers of requests and answers.
const (
	HeaderKey          = "Idempotency-Key"
	HeaderFirstAttempt = "X-First-Attempt" // request; "true": the caller has never sent the key before
	HeaderReplayed     = "X-Replayed"      // answer; "true": this is the answer of an earlier run
	HeaderEntry        = "X-Entry"         // answer; address of the daemon that accepts the issued key
)

// retryAfter is the delay that a caller is asked to wait before it repeats a refused request.
const retryAfter = time.Second

// Claims decides which attempts may run. See the methods of claims.Controller.
type Claims interface {
	Claim(ctx context.Context, req claim.Request) (claim.Decision, error)
	End(attempt claim.AttemptID, outcome *claim.Outcome)
}

// Options configure the filter.
type Options struct {
	CallerKeys Claims // for keys that callers created
	IssuedKeys Claims // for keys that this daemon issued
	Issuer     claim.Issuer
	// EntryAddress returns the address at which a daemon accepts requests, or the empty string if
	// it is not known.
	EntryAddress   func(daemon string) string
	Window         time.Duration // deduplication window: maximum age of a key
	MaxClockSkew   time.Duration // maximum difference between two clocks
	ClaimTimeout   time.Duration // maximum time to record a claim, from receipt of the request
	MaxAnswerBytes int           // maximum body size of an answer that is stored for replay
	MaxHeldBytes   int64         // maximum total body size of requests that wait for a claim or run with one
}

// New returns the idempotency filter.
func New(opts Options) filter.Filter {
	return func(next filter.Handler) filter.Handler { return &handler{opts: opts, next: next} }
}

type handler struct {
	opts      Options
	next      filter.Handler
	heldBytes atomic.Int64 // total size of the request bodies counted against MaxHeldBytes
}

// Handle passes on repeatable requests and requests without a key without a claim: each is an attempt
// of its own, and runs again if the caller repeats it. Other requests run only if their claim is
// granted.
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
		return result.Wrap(err, result.CallerGone, "the caller disconnected")
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
		return claim.Key{}, result.New(result.IdempotencyKeyInvalid, "the idempotency key has a creation time in the future; check the clock of its creator")
	}
	return key, nil
}

// claimsFor returns the Claims for the key. Claims of issued keys exist only in the memory of the
// issuing daemon, so it returns an error for keys of other daemons and incarnations.
func (h *handler) claimsFor(r *filter.Request, key claim.Key) (Claims, error) {
	if !key.Issued() {
		return h.opts.CallerKeys, nil
	}
	if key.Issuer != h.opts.Issuer.Daemon {
		address := h.opts.EntryAddress(key.Issuer)
		r.Writer.Header().Set(HeaderEntry, address)
		return nil, refuse(r, result.ClaimsUnavailable, result.EarlierRequestUnknown,
			"the idempotency key is only accepted by its issuer %s at %q", key.Issuer, address)
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

// run passes the request on and records its outcome. If the handler panics, the outcome is unknown.
func (h *handler) run(ctx context.Context, r *filter.Request, claims Claims, attempt claim.AttemptID) error {
	outcome := &claim.Outcome{}
	defer func() { claims.End(attempt, outcome) }()
	err := h.next.Handle(ctx, r)
	outcome = h.outcome(r, err)
	return err
}

// outcome returns the outcome of a run, or nil if no byte of the request can have reached a backend
// server.
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

// headerFields returns the header fields sorted by name.
func headerFields(header map[string]string) []claim.HeaderField {
	var out []claim.HeaderField
	for _, name := range slices.Sorted(maps.Keys(header)) {
		out = append(out, claim.HeaderField{Name: name, Value: header[name]})
	}
	return out
}

// writeDecision answers a request that does not run: it writes the replayed answer or returns an
// error.
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
		return result.New(result.ClaimsUnavailable, "the claim could not be recorded").WithRetryAfter(retryAfter)
	case claim.Unavailable:
		return refuse(r, result.ClaimsUnavailable, result.EarlierRequestUnknown,
			"this request was not run, and whether an earlier one with its key ran cannot be determined now")
	case claim.KeyExpired:
		return refuse(r, result.IdempotencyKeyInvalid, result.EarlierOutcomeUnknown,
			"the idempotency key is older than the recorded claims")
	}
	if decision.Outcome != nil && decision.Outcome.Status != 0 {
		return result.New(result.EarlierOutcomeUnknown, "an earlier request ran and was answered %s; its answer was not stored",
			http.StatusText(decision.Outcome.Status))
	}
	return result.New(result.EarlierOutcomeUnknown, "an earlier request may have run, and its outcome is not known")
}

// refuse returns the error for a request that was not run. It has firstAttemptCode if the caller
// states that it never sent the key before, and repeatCode otherwise, because then an earlier
// request with the key may have run.
func refuse(r *filter.Request, firstAttemptCode, repeatCode result.Code, format string, args ...any) error {
	code := repeatCode
	if isFirstAttempt(r.HTTP) {
		code = firstAttemptCode
	}
	return result.New(code, format, args...).WithRetryAfter(retryAfter)
}

func isFirstAttempt(h *http.Request) bool { return h.Header.Get(HeaderFirstAttempt) == "true" }
