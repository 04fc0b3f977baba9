package forward

import (
	"context"
	"time"

	"github.com/filbertrill/filbertrill/internal/admission"
	"github.com/filbertrill/filbertrill/internal/chain"
	"github.com/filbertrill/filbertrill/internal/placement"
	"github.com/filbertrill/filbertrill/internal/result"
	"github.com/filbertrill/filbertrill/internal/scheduler"
)

// admit is the filter that chooses a server, and refuses the request if the load is too high.
// It needs the head of the request only: a flood of refused requests must not fill the memory
// with bodies. net/http reads the rest of them, and holds none.
func (h *Handler) admit(next chain.Handler[*call]) chain.Handler[*call] {
	return chain.HandlerFunc[*call](func(ctx context.Context, c *call) error {
		if err := h.chooseServer(c); err != nil {
			return err
		}
		return next.Handle(ctx, c)
	})
}

func (h *Handler) chooseServer(c *call) error {
	c.decidedAt = time.Now()
	decision := h.Scheduler.Decide(c.schedulerRequest(), c.decidedAt)
	c.choice = decision.Choice
	switch {
	case !decision.Found:
		return result.New(result.NoServerJoined, "no backend server is ready").After(defaultRetryAfter)
	case decision.Verdict.Reason == admission.OverShare:
		return refusalError(result.AccountOverShare, decision)
	case decision.Verdict.Reason == admission.TooLate:
		return refusalError(result.ServersBusy, decision)
	}
	return nil
}

// ask returns what decisions need of the request.
func (c *call) schedulerRequest() scheduler.Request {
	return scheduler.Request{
		Request: placement.Request{
			Service:      c.service.Name,
			Engine:       c.route.Engine,
			Parts:        c.envelope.Parts,
			PromptTokens: c.envelope.PromptTokens,
			OutputTokens: c.envelope.OutputTokens,
		},
		Account:   c.account,
		Objective: c.route.Objective,
		Deadline:  c.deadline,
	}
}

func refusalError(code result.Code, d scheduler.Decision) error {
	in, choice := d.Input, d.Choice
	return result.Refuse(code, "predicted %v (idle %v) of %v at %s, %d to read, %d running, account has %.0f of %.0f owed and %.0f reached",
		in.Predicted, in.PredictedIdle, in.Objective, choice.Server.ID, choice.Load.PendingTokens+choice.UncachedTokens, choice.Load.Running,
		in.Usage.Admitted, in.Levels.Guaranteed, in.Levels.Attained).After(d.Verdict.RetryAfter)
}
