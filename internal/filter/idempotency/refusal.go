package idempotency

import (
	"context"
	"net/http"
	"strings"

	"github.com/filbertrill/filbertrill/internal/filter"
	"github.com/filbertrill/filbertrill/internal/filter/decode"
	"github.com/filbertrill/filbertrill/internal/result"
)

// ofDaemon are the refusals that a daemon gives before it looks at the key of a request.
var earlyRefusals = map[result.Code]bool{
	result.NoConfiguration: true,
	result.CutOff:          true,
	result.Draining:        true,
	result.NotReady:        true,
}

// NewTruthful returns a filter that keeps refusals of the daemon's own from telling a key as
// not run that may have run elsewhere.
func NewRefusalMapper() filter.Filter {
	return func(next filter.Handler) filter.Handler {
		return filter.HandlerFunc(func(ctx context.Context, r *filter.Request) error {
			return MapRefusal(r.HTTP, next.Handle(ctx, r))
		})
	}
}

// Truthful returns the error, or result.EarlierRequestUnknown in its place when the request has
// an idempotency key that the daemon refused to look at.
func MapRefusal(h *http.Request, err error) error {
	if err == nil || !earlyRefusals[result.CodeOf(err)] {
		return err
	}
	keyed := strings.HasPrefix(h.URL.Path, decode.ServicesPrefix) && h.Header.Get(HeaderKey) != ""
	if !keyed || isFirstAttempt(h) {
		return err
	}
	return result.Wrap(err, result.EarlierRequestUnknown, "this request was not run: %s", result.From(err).Message).After(retryAfter)
}
