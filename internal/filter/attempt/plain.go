package attempt

import (
	"context"

	"github.com/filbertrill/filbertrill/internal/backend"
	"github.com/filbertrill/filbertrill/internal/controller/dispatch"
	"github.com/filbertrill/filbertrill/internal/cost"
	"github.com/filbertrill/filbertrill/internal/filter"
)

// answerHeaders are those of a plain service that callers receive.
var answerHeaders = []string{"Content-Type", "Location", "Etag", "Cache-Control"}

// plain runs a call of a plain service.
func (h *handler) plain(ctx context.Context, r *filter.Request, lease *dispatch.Lease) error {
	answer, err := h.opts.Plain.Call(ctx, lease.Server.Address, backend.PlainRequest{
		Method:  r.HTTP.Method,
		Path:    r.Path,
		Header:  r.HTTP.Header,
		Body:    r.Body,
		Attempt: r.ID,
	})
	if err != nil {
		return failure(err)
	}
	r.Cost = cost.Call
	for _, name := range answerHeaders {
		if value := answer.Header.Get(name); value != "" {
			r.Writer.Header().Set(name, value)
		}
	}
	r.Writer.WriteHeader(answer.Status)
	_, err = r.Writer.Write(answer.Body)
	return err
}
