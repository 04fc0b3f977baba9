package idempotency

import (
	"context"
	"net/http"
	"strings"

	"github.com/filbertrill/filbertrill/internal/filter"
	"github.com/filbertrill/filbertrill/internal/filter/decode"
	"github.com/filbertrill/filbertrill/internal/result"
)

// earlyRefusals holds the codes with which a daemon refuses a request before it checks the key.
var earlyRefusals = map[result.Code]bool{
	result.NoConfiguration: true,
	result.CutOff:          true,
	result.Draining:        true,
	result.NotReady:        true,
}

// NewRefusalMapper returns a filter that applies MapRefusal to the errors of the next handler.
func NewRefusalMapper() filter.Filter {
	return func(next filter.Handler) filter.Handler {
		return filter.HandlerFunc(func(ctx context.Context, r *filter.Request) error {
			return MapRefusal(r.HTTP, next.Handle(ctx, r))
		})
	}
}

// MapRefusal replaces a refusal that came before the check of the request's idempotency key by
// result.EarlierRequestUnknown, because an earlier request with the key may have run at another
// daemon. It returns all other errors unchanged, and also those of requests without a key and of
// first attempts.
func MapRefusal(h *http.Request, err error) error {
	if err == nil || !earlyRefusals[result.CodeOf(err)] {
		return err
	}
	keyed := strings.HasPrefix(h.URL.Path, decode.ServicesPrefix) && h.Header.Get(HeaderKey) != ""
	if !keyed || isFirstAttempt(h) {
		return err
	}
	return result.Wrap(err, result.EarlierRequestUnknown, "this request was not run: %s", result.From(err).Message).WithRetryAfter(retryAfter)
}
