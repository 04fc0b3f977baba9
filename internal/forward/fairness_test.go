package forward

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/filbertrill/filbertrill/internal/admission"
	"github.com/filbertrill/filbertrill/internal/fairness"
	"github.com/filbertrill/filbertrill/internal/routing"
	"github.com/filbertrill/filbertrill/internal/scheduler"
)

// Of two requests one is refused. The other is sent twice, as the first server does not run it, and its first event is late.
func TestAttemptsAreMetered(t *testing.T) {
	now := time.Now().Truncate(time.Second)
	h := NewHandler(Options{Fairness: &fairness.Meter{}})
	newCall := func() *call {
		return &call{
			route: &routing.Route{Engine: true, Objective: 500 * time.Millisecond}, envelope: &Envelope{PromptTokens: 100, OutputTokens: 10},
			account: "a", arrivedAt: now.Add(100 * time.Millisecond), decidedAt: now.Add(100 * time.Millisecond),
		}
	}
	refused, served := newCall(), newCall()
	h.meterDecision(refused, scheduler.Decision{Found: true, Verdict: admission.Verdict{Reason: admission.OverShare}})
	h.meterDecision(served, scheduler.Decision{Found: true})
	for _, progress := range []attemptProgress{notRun, fullyForwarded} {
		h.meterAttempt(served, served.decidedAt)
		h.meterEnd(served, &attempt{startedAt: served.decidedAt, record: attemptRecord{progress: progress}})
	}
	served.timeToFirstEvent = 1300 * time.Millisecond
	h.meterWait(served)

	want := fairness.Log{"a": {now.Unix(): {Asked: 240, Received: 120, Largest: 120, Unmet: true}, now.Unix() + 1: {Unmet: true}}}
	assert.Equal(t, want, h.Fairness.Seconds(now.Add(2500*time.Millisecond)))

	plain := &call{route: &routing.Route{}, envelope: &Envelope{PromptTokens: 100}, account: "a", decidedAt: now.Add(2 * time.Second)}
	h.meterDecision(plain, scheduler.Decision{Found: true})
	h.meterAttempt(plain, plain.decidedAt)
	assert.Equal(t, want, h.Fairness.Seconds(now.Add(2500*time.Millisecond)), "plain requests have no tokens")
}
