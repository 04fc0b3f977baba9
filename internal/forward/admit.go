package forward

import (
	"context"
	"time"

	"github.com/filbertrill/filbertrill/internal/admission"
	"github.com/filbertrill/filbertrill/internal/chain"
	"github.com/filbertrill/filbertrill/internal/placement"
	"github.com/filbertrill/filbertrill/internal/quarantine"
	"github.com/filbertrill/filbertrill/internal/result"
	"github.com/filbertrill/filbertrill/internal/scheduler"
)

// admit is the filter that chooses a server and refuses the request if the load is too high. It
// runs before the body is read, so that a flood of refused requests can't fill the memory with
// bodies: net/http discards them without buffering.
func (h *Handler) admit(next chain.Handler[*call]) chain.Handler[*call] {
	return chain.HandlerFunc[*call](func(ctx context.Context, c *call) error {
		if err := h.bindVersion(ctx, c); err != nil {
			return err
		}
		if err := h.chooseServer(c); err != nil {
			return err
		}
		return next.Handle(ctx, c)
	})
}

// chooseServer stores the chosen server in the call. It returns an error if the request is
// refused.
func (h *Handler) chooseServer(c *call) error {
	c.decidedAt = time.Now()
	decision := h.Scheduler.Decide(h.schedulerRequest(c), c.decidedAt)
	c.choice, c.trial, c.chosenAt = decision.Choice, decision.Trial, c.decidedAt
	if decision.Quarantined != nil {
		return quarantineError(*decision.Quarantined, c.decidedAt)
	}
	h.meterDecision(c, decision)
	if decision.Found && c.route.Engine {
		c.admission = &admissionRecord{decision.Cost, decision.Input}
		h.Metrics.CountAdmission(c.account, string(decision.Input.CheckLimit()), decision.Verdict.Reason == admission.Admitted, decision.Cost)
		h.Metrics.SetReportAge(decision.Input.ReportAge)
	}
	switch {
	case !decision.Found && decision.PauseEnd > 0:
		return result.New(result.ServersBusy, "all backend servers have asked for a pause").WithRetryAfter(decision.PauseEnd)
	case !decision.Found && decision.Limited:
		return result.New(result.ServersBusy, "all backend servers have reached the limits that they name").WithRetryAfter(defaultRetryAfter)
	case !decision.Found && c.regions != nil:
		return result.New(result.NoAllowedRegion, "no backend server is ready in the allowed regions %q", c.regions).WithRetryAfter(defaultRetryAfter)
	case !decision.Found:
		return result.New(result.NoServerJoined, "no backend server is ready").WithRetryAfter(defaultRetryAfter)
	case decision.Verdict.Reason == admission.OverShare:
		return refusalError(result.AccountOverShare, decision)
	case decision.Verdict.Reason == admission.TooLate:
		return refusalError(result.ServersBusy, decision)
	}
	return nil
}

// schedulerRequest returns the properties of the request that the scheduler decides on.
func (h *Handler) schedulerRequest(c *call) scheduler.Request {
	r := scheduler.Request{
		Request: placement.Request{
			Service:      c.service.Name,
			Engine:       c.route.Engine,
			Parts:        c.envelope.Parts,
			PromptTokens: c.envelope.PromptTokens,
			OutputTokens: c.envelope.OutputTokens,
			BodyBytes:    c.bodyBytes(),
			Version:      c.version,
			Regions:      c.regions,
			MaxGap:       c.service.MaxTokenGap,

			ExcludedVersions: h.excludedVersions(c),
			Certain:          c.resumes(),
			PreferCertain:    c.begins(),
		},
		Account:   c.account,
		Rank:      c.rank,
		Objective: c.route.Objective,
		Deadline:  c.deadline,
	}
	if c.bodyRead {
		r.Digest = c.digest
	}
	return r
}

// bytesPerPromptToken is the usual size of a token, with which the size of a chunked body is estimated.
const bytesPerPromptToken = 4

// bodyBytes returns the size of the body, or an estimate while it is not known.
func (c *call) bodyBytes() int64 {
	switch {
	case c.bodyRead:
		return int64(len(c.body))
	case c.request.ContentLength >= 0:
		return c.request.ContentLength
	}
	return bytesPerPromptToken * int64(c.envelope.PromptTokens)
}

// minQuarantineRetryAfter is the Retry-After of quarantined requests while another daemon tries one.
const minQuarantineRetryAfter = time.Second

// quarantineError returns the result of a request that is refused because it, or a prompt part of it, is suspected.
func quarantineError(held quarantine.Status, now time.Time) error {
	return result.NewWithoutStack(result.PromptQuarantined, "%v %x is held since %s, %d servers ended under it",
		held.Kind, held.ID, held.Since.Format(time.RFC3339), len(held.Servers)).WithRetryAfter(max(minQuarantineRetryAfter, held.Until.Sub(now)))
}

// refusalError returns the result of a request that is refused because of the load, with the input
// of the decision in its text.
func refusalError(code result.Code, d scheduler.Decision) error {
	in, choice := d.Input, d.Choice
	return result.NewWithoutStack(code, "predicted time to first event %v (idle %v) for objective %v at server %s, %d tokens to prefill, %d requests running, account usage %.0f, guaranteed level %.0f, attained level %.0f",
		in.Predicted, in.PredictedIdle, in.Objective, choice.Server.ID, choice.Load.PendingTokens+choice.UncachedTokens, choice.Load.Running,
		in.Usage.Admitted, in.Levels.Guaranteed, in.Levels.Attained).WithRetryAfter(d.Verdict.RetryAfter)
}
