package forward

import (
	"context"
	"time"

	"github.com/filbertrill/filbertrill/internal/admission"
	"github.com/filbertrill/filbertrill/internal/chain"
	"github.com/filbertrill/filbertrill/internal/placement"
	"github.com/filbertrill/filbertrill/internal/result"
)

// admit is the filter that chooses a server, and refuses the request if the load is too high.
// It needs the head of the request only: a flood of refused requests must not fill the memory
// with bodies. net/http reads the rest of them, and holds none.
func (h *Handler) admit(next chain.Handler[*call]) chain.Handler[*call] {
	return chain.Func[*call](func(ctx context.Context, c *call) error {
		if err := h.choose(c); err != nil {
			return err
		}
		return next.Handle(ctx, c)
	})
}

func (h *Handler) choose(c *call) error {
	c.decided = time.Now()
	choice, ok, verdict := h.Pilot.first(c, c.decided)
	c.choice = choice
	switch {
	case !ok:
		return result.New(result.NoServerJoined, "no backend server is ready").After(restingRetry)
	case verdict.Reason == admission.OverShare:
		return refusal(c, result.AccountOverShare, choice, verdict)
	case verdict.Reason == admission.TooLate:
		return refusal(c, result.ServersBusy, choice, verdict)
	}
	return nil
}

func refusal(c *call, code result.Code, choice placement.Choice, v admission.Verdict) error {
	q := c.question
	return result.Refuse(code, "predicted %v (idle %v) of %v at %s, %d to read, %d running, account has %.0f of %.0f owed and %.0f reached",
		q.Predicted, q.Idle, q.Objective, choice.Server.ID, choice.Load.Pending+choice.Uncached, choice.Load.Running,
		q.Use.Admitted, q.Levels.Owed, q.Levels.Reached).After(v.RetryAfter)
}
