package staleness_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/filbertrill/filbertrill/internal/controller/dispatch"
	"github.com/filbertrill/filbertrill/internal/filter"
	"github.com/filbertrill/filbertrill/internal/filter/staleness"
	"github.com/filbertrill/filbertrill/internal/result"
	"github.com/filbertrill/filbertrill/internal/ticket"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fakeChecker returns CutOff errors while stale is set.
type fakeChecker struct {
	config *ticket.Config
	stale  atomic.Bool
}

func newChecker(t *testing.T) *fakeChecker {
	state := ticket.NewState()
	change, err := ticket.Parse("t", []byte(`{"number":1,"author":"a","reason":"r","services":[{"id":"m","kind":"model"}]}`))
	require.NoError(t, err)
	record, err := ticket.Encode(change)
	require.NoError(t, err)
	require.Equal(t, ticket.OutcomeApplied, state.Apply(0, record).Outcome)
	return &fakeChecker{config: state.Config()}
}

func (c *fakeChecker) Current() *ticket.Config { return c.config }

func (c *fakeChecker) CheckFresh(ticket.Service, time.Time) error {
	if c.stale.Load() {
		return result.New(result.CutOff, "cut off")
	}
	return nil
}

func (c *fakeChecker) CheckStart(string, string, time.Time) error {
	return c.CheckFresh(ticket.Service{}, time.Time{})
}

// blockedAcquirer never grants a slot. It closes waiting when a request waits.
type blockedAcquirer struct{ waiting chan struct{} }

func (q *blockedAcquirer) Acquire(ctx context.Context, _ dispatch.Request) (*dispatch.Lease, error) {
	close(q.waiting)
	<-ctx.Done()
	return nil, result.Wrap(ctx.Err(), result.DeadlineUnmeetable, "no slot came free in time")
}

func TestRefusesArrivalsWhenCutOff(t *testing.T) {
	c := newChecker(t)
	passed := 0
	next := filter.HandlerFunc(func(context.Context, *filter.Request) error { passed++; return nil })
	handler := staleness.New(c)(next)
	require.NoError(t, handler.Handle(t.Context(), &filter.Request{}))
	c.stale.Store(true)
	require.Equal(t, result.CutOff, result.CodeOf(handler.Handle(t.Context(), &filter.Request{})))
	require.Equal(t, 1, passed)
}

func TestWaitEndsWhenCutOff(t *testing.T) {
	c, q := newChecker(t), &blockedAcquirer{waiting: make(chan struct{})}
	go func() {
		<-q.waiting
		c.stale.Store(true)
	}()
	_, err := staleness.NewAcquirer(q, c).Acquire(t.Context(), dispatch.Request{Service: "m"})
	require.Equal(t, result.CutOff, result.CodeOf(err))
	require.Equal(t, result.NotRun, result.From(err).Class())
}

func TestWaitEndsAtTheDeadline(t *testing.T) {
	c, q := newChecker(t), &blockedAcquirer{waiting: make(chan struct{})}
	ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
	defer cancel()
	_, err := staleness.NewAcquirer(q, c).Acquire(ctx, dispatch.Request{Service: "m"})
	require.Equal(t, result.DeadlineUnmeetable, result.CodeOf(err))
}
