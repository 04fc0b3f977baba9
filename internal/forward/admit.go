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
		if err := h.choose(c); err != nil {
			return err
		}
		return next.Handle(ctx, c)
	})
}

func (h *Handler) choose(c *call) error {
	c.decided = time.Now()
	d := h.Scheduler.Decide(c.ask(), c.decided)
	c.choice = d.Choice
	switch {
	case !d.Found:
		return result.New(result.NoServerJoined, "no backend server is ready").After(restingRetry)
	case d.Verdict.Reason == admission.OverShare:
		return refusal(result.AccountOverShare, d)
	case d.Verdict.Reason == admission.TooLate:
		return refusal(result.ServersBusy, d)
	}
	return nil
}

// ask returns what decisions need of the request.
func (c *call) ask() scheduler.Request {
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
		Deadline:  c.limit,
	}
}

func refusal(code result.Code, d scheduler.Decision) error {
	q, choice := d.Input, d.Choice
	return result.Refuse(code, "predicted %v (idle %v) of %v at %s, %d to read, %d running, account has %.0f of %.0f owed and %.0f reached",
		q.Predicted, q.PredictedIdle, q.Objective, choice.Server.ID, choice.Load.PendingTokens+choice.UncachedTokens, choice.Load.Running,
		q.Usage.Admitted, q.Levels.Guaranteed, q.Levels.Attained).After(d.Verdict.RetryAfter)
}
