package forward

import (
	"time"

	"github.com/filbertrill/filbertrill/internal/admission"
	"github.com/filbertrill/filbertrill/internal/scheduler"
)

// cost returns the cost of the request in tokens, see scheduler.RequestCost.
func (c *call) cost() float64 {
	return scheduler.RequestCost(c.envelope.PromptTokens, c.envelope.OutputTokens)
}

// meterDecision counts a request to an engine as asked for, and as unmet if it is refused.
func (h *Handler) meterDecision(c *call, d scheduler.Decision) {
	if !c.route.Engine {
		return
	}
	h.Fairness.RecordAsked(c.account, c.cost(), c.decidedAt)
	if !d.Found || d.Verdict.Reason != admission.Admitted {
		h.Fairness.RecordUnmet(c.account, c.decidedAt, c.decidedAt)
	}
}

// meterAttempt counts an attempt at an engine as received.
func (h *Handler) meterAttempt(c *call, now time.Time) {
	if c.route.Engine {
		h.Fairness.RecordSent(c.account, c.cost(), now)
	}
}

// meterEnd corrects the counts for an attempt that was not run.
func (h *Handler) meterEnd(c *call, a *attempt) {
	if c.route.Engine && (a.record.progress == notSent || a.record.progress == notRun) {
		h.Fairness.RecordNotRun(c.account, c.cost(), a.startedAt)
	}
}

// meterWait counts a request to an engine as unmet while it waited for its first event beyond its objective.
func (h *Handler) meterWait(c *call) {
	if c.route == nil || !c.route.Engine || c.envelope == nil || c.decidedAt.IsZero() {
		return
	}
	end := time.Now()
	if c.timeToFirstEvent > 0 {
		end = c.arrivedAt.Add(c.timeToFirstEvent)
	}
	if late := c.arrivedAt.Add(c.route.Objective); end.After(late) {
		h.Fairness.RecordUnmet(c.account, late, end)
	}
}
