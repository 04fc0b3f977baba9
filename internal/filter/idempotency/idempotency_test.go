package idempotency

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"github.com/filbertrill/filbertrill/internal/claim"
	"github.com/filbertrill/filbertrill/internal/filter"
	"github.com/filbertrill/filbertrill/internal/result"
	"github.com/filbertrill/filbertrill/internal/ticket"
)

// fakeClaims returns a fixed decision and records requests and outcomes.
type fakeClaims struct {
	decision claim.Decision
	requests []claim.Request
	outcomes []*claim.Outcome
}

func (c *fakeClaims) Claim(_ context.Context, req claim.Request) (claim.Decision, error) {
	c.requests = append(c.requests, req)
	return c.decision, nil
}

func (c *fakeClaims) End(_ claim.AttemptID, o *claim.Outcome) { c.outcomes = append(c.outcomes, o) }

func newRequest(key string, firstAttempt bool) (*filter.Request, *httptest.ResponseRecorder) {
	h := httptest.NewRequest(http.MethodPost, "/v1/services/registry/stamps", strings.NewReader("{}"))
	if key != "" {
		h.Header.Set(HeaderKey, key)
	}
	if firstAttempt {
		h.Header.Set(HeaderFirstAttempt, "true")
	}
	w := httptest.NewRecorder()
	return &filter.Request{
		ID: uuid.NewString(), HTTP: h, Writer: filter.NewWriter(w, h), Received: time.Now(), Path: "/stamps",
		Service: ticket.Service{ID: "registry", Kind: ticket.ServicePlain, Deadline: ticket.Duration(time.Minute)},
		Account: ticket.Account{ID: "small"},
	}, w
}

func newKey() string { return uuid.Must(uuid.NewV7()).String() }

// runFilter passes the request through the filter. It returns the error and whether next was called.
func runFilter(f *fakeClaims, r *filter.Request, next func(*filter.Request) error) (error, bool) {
	reached := false
	chain := filter.Chain(filter.HandlerFunc(func(_ context.Context, r *filter.Request) error {
		reached = true
		return next(r)
	}), New(Options{
		CallerKeys: f, IssuedKeys: f, Issuer: claim.Issuer{Secret: "secret", Daemon: "d1", Incarnation: 1},
		EntryAddress: func(string) string { return "10.0.0.2:80" },
		Window:       time.Minute, MaxClockSkew: time.Second, ClaimTimeout: time.Second, MaxAnswerBytes: 10, MaxHeldBytes: 100,
	}))
	return chain.Handle(context.Background(), r), reached
}

func answerWith(body string) func(*filter.Request) error {
	return func(r *filter.Request) error {
		r.Granted = time.Now()
		r.Answer = &filter.Answer{Status: http.StatusCreated, Body: []byte(body)}
		return r.Answer.Write(r.Writer)
	}
}

func failWith(granted bool, code result.Code) func(*filter.Request) error {
	return func(r *filter.Request) error {
		if granted {
			r.Granted = time.Now()
		}
		return result.New(code, "failed")
	}
}

func TestRunOutcomes(t *testing.T) {
	cases := []struct {
		name string
		next func(*filter.Request) error
		want *claim.Outcome
	}{
		{"answered", answerWith("serial 7"), &claim.Outcome{Status: 201, Body: []byte("serial 7")}},
		{"answer too long to keep", answerWith("a long answer"), &claim.Outcome{Status: 201, BodyDropped: true}},
		{"refused before the slot", failWith(false, result.DeadlineUnmeetable), nil},
		{"caller gone before the slot", failWith(false, result.CallerGone), nil},
		{"server not reached", failWith(true, result.NoServerJoined), nil},
		{"answer lost", failWith(true, result.AnswerLost), &claim.Outcome{}},
		{"server silent", failWith(true, result.ServerSilent), &claim.Outcome{}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := &fakeClaims{decision: claim.Decision{Kind: claim.Run}}
			r, _ := newRequest(newKey(), false)
			_, reached := runFilter(f, r, c.next)
			require.True(t, reached)
			require.Equal(t, []*claim.Outcome{c.want}, f.outcomes)
		})
	}
}

func TestPanicLeavesOutcomeUnknown(t *testing.T) {
	f := &fakeClaims{decision: claim.Decision{Kind: claim.Run}}
	r, _ := newRequest(newKey(), false)
	require.Panics(t, func() { _, _ = runFilter(f, r, func(*filter.Request) error { panic("broken") }) })
	require.Equal(t, []*claim.Outcome{{}}, f.outcomes)
}

func TestErrorsForRepeatedKeys(t *testing.T) {
	cases := []struct {
		kind         claim.DecisionKind
		repeated     result.Code
		firstAttempt result.Code
	}{
		{claim.OutcomeUnknown, result.EarlierOutcomeUnknown, result.EarlierOutcomeUnknown},
		{claim.KeyReused, result.IdempotencyKeyReused, result.IdempotencyKeyReused},
		{claim.Unclaimed, result.ClaimsUnavailable, result.ClaimsUnavailable},
		{claim.Unavailable, result.EarlierRequestUnknown, result.ClaimsUnavailable},
		{claim.KeyExpired, result.EarlierOutcomeUnknown, result.IdempotencyKeyInvalid},
	}
	for _, c := range cases {
		for firstAttempt, want := range map[bool]result.Code{false: c.repeated, true: c.firstAttempt} {
			r, _ := newRequest(newKey(), firstAttempt)
			err, reached := runFilter(&fakeClaims{decision: claim.Decision{Kind: c.kind}}, r, answerWith(""))
			require.False(t, reached)
			require.Equal(t, want, result.CodeOf(err), "%v, first attempt: %v", c.kind, firstAttempt)
		}
	}
}

func TestReplay(t *testing.T) {
	f := &fakeClaims{decision: claim.Decision{Kind: claim.Replay, Outcome: &claim.Outcome{
		Status: 201, Header: []claim.HeaderField{{Name: "Content-Type", Value: "text/plain"}}, Body: []byte("serial 7"),
	}}}
	r, w := newRequest(newKey(), false)
	err, reached := runFilter(f, r, answerWith(""))
	require.NoError(t, err)
	require.False(t, reached)
	require.Equal(t, http.StatusCreated, w.Code)
	require.Equal(t, "serial 7", w.Body.String())
	require.Equal(t, "true", w.Header().Get(HeaderReplayed))
	require.Equal(t, "text/plain", w.Header().Get("Content-Type"))
}

func TestRequestsThatNeedNoClaim(t *testing.T) {
	none := &fakeClaims{}
	r, _ := newRequest("", false)
	_, reached := runFilter(none, r, answerWith("x"))
	require.True(t, reached, "a request without a key runs without a claim")

	repeatable, _ := newRequest("any text", false)
	repeatable.Service.Repeatable = true
	_, reached = runFilter(none, repeatable, answerWith("x"))
	require.True(t, reached)
	require.Empty(t, none.requests)

	twice, _ := newRequest(newKey(), false)
	twice.HTTP.Header.Add(HeaderKey, newKey())
	err, reached := runFilter(none, twice, answerWith("x"))
	require.False(t, reached)
	require.Equal(t, result.IdempotencyKeyInvalid, result.CodeOf(err))
}

func TestIssuedKeysOfOtherDaemons(t *testing.T) {
	cases := []struct {
		name         string
		issuer       claim.Issuer
		repeated     result.Code
		firstAttempt result.Code
	}{
		{"another daemon", claim.Issuer{Secret: "secret", Daemon: "d2", Incarnation: 1}, result.EarlierRequestUnknown, result.ClaimsUnavailable},
		{"restarted", claim.Issuer{Secret: "secret", Daemon: "d1", Incarnation: 9}, result.EarlierOutcomeUnknown, result.IdempotencyKeyInvalid},
	}
	for _, c := range cases {
		key := c.issuer.Issue("small", time.Now(), [8]byte{1})
		for firstAttempt, want := range map[bool]result.Code{false: c.repeated, true: c.firstAttempt} {
			r, _ := newRequest(key, firstAttempt)
			err, reached := runFilter(&fakeClaims{}, r, answerWith("x"))
			require.False(t, reached)
			require.Equal(t, want, result.CodeOf(err), c.name)
		}
	}
}

func TestHeldBytesAreBounded(t *testing.T) {
	for firstAttempt, want := range map[bool]result.Code{false: result.EarlierRequestUnknown, true: result.DaemonFull} {
		f := &fakeClaims{decision: claim.Decision{Kind: claim.Run}}
		r, _ := newRequest(newKey(), firstAttempt)
		r.Body = make([]byte, 101)
		err, reached := runFilter(f, r, answerWith("x"))
		require.False(t, reached)
		require.Equal(t, want, result.CodeOf(err))
		require.Empty(t, f.requests)
	}
}

func TestMapRefusal(t *testing.T) {
	keyed, _ := newRequest(newKey(), false)
	first, _ := newRequest(newKey(), true)
	plain, _ := newRequest("", false)
	draining := result.New(result.Draining, "draining")
	require.Equal(t, result.EarlierRequestUnknown, result.CodeOf(MapRefusal(keyed.HTTP, draining)))
	require.Equal(t, result.Draining, result.CodeOf(MapRefusal(first.HTTP, draining)))
	require.Equal(t, result.Draining, result.CodeOf(MapRefusal(plain.HTTP, draining)))
	require.NoError(t, MapRefusal(keyed.HTTP, nil))
	lost := result.New(result.AnswerLost, "lost")
	require.Equal(t, result.AnswerLost, result.CodeOf(MapRefusal(keyed.HTTP, lost)))
}
