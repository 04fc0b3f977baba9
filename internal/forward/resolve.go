package forward

import (
	"context"
	"time"

	"github.com/filbertrill/filbertrill/internal/chain"
	"github.com/filbertrill/filbertrill/internal/eventstream"
	"github.com/filbertrill/filbertrill/internal/result"
	"github.com/filbertrill/filbertrill/internal/routing"
)

const (
	// defaultTimeout applies to requests without a deadline.
	defaultTimeout = 30 * time.Second
	// staleConfigAge is the age beyond which the configuration may lack recent routes and keys:
	// requests that match none are then refused with a Retry-After instead of permanently.
	staleConfigAge = 1600 * time.Millisecond
	// maxOutageRetryAfter bounds the Retry-After during an outage.
	maxOutageRetryAfter = 2 * time.Second
	// outageRetryShare is the largest share of the caller's deadline for one Retry-After, so
	// that time remains for the answer.
	outageRetryShare = 0.4
)

// resolve is the filter that determines the route, client account, service and deadline of the
// request.
func (h *Handler) resolve(next chain.Handler[*call]) chain.Handler[*call] {
	return chain.HandlerFunc[*call](func(ctx context.Context, c *call) error {
		if err := h.resolveRequest(c); err != nil {
			return err
		}
		return next.Handle(ctx, c)
	})
}

// resolveRequest stores what it finds in the call. The envelope is set even if the request is
// refused for another reason than a malformed header.
func (h *Handler) resolveRequest(c *call) error {
	envelope, err := h.Protocol.DecodeRequest(c.request)
	if err != nil {
		return result.Wrap(err, result.BodyMalformed, "request header is malformed")
	}
	c.envelope = envelope
	c.config = h.Config()
	if c.config == nil {
		return result.New(result.NoConfiguration, "no configuration received yet").WithRetryAfter(h.outageRetryAfter(c, c.arrivedAt.Sub(h.started)))
	}
	path := c.request.URL.EscapedPath()
	c.route = c.config.Match(c.request.Host, path)
	if c.route == nil {
		return h.retryIfConfigStale(c, result.New(result.PathUnknown, "no route matches host and path"))
	}
	var holder *routing.Account
	if c.config.HasAccounts() && !c.route.Public {
		account := c.config.AccountByKey(envelope.APIKey)
		if account == nil {
			return h.retryIfConfigStale(c, result.New(result.KeyUnknown, "API key belongs to no client account"))
		}
		c.account = account.Name
		holder = account
	}
	if regions, all := routing.AllowedRegions(c.route, holder); !all {
		if len(regions) == 0 {
			return result.New(result.NoAllowedRegion, "route %q and account %q allow no common region", c.route.Name, c.account).WithRetryAfter(defaultRetryAfter)
		}
		c.regions = regions
	}
	c.service = c.config.Service(c.route.ChooseService(envelope.ID))
	if c.service == nil {
		return result.New(result.NoServerJoined, "service of the route is not configured").WithRetryAfter(defaultRetryAfter)
	}
	c.rank = c.config.Rank(c.route, holder)
	c.deadline = c.arrivedAt.Add(defaultTimeout)
	if envelope.Deadline > 0 {
		c.deadline = c.arrivedAt.Add(envelope.Deadline)
	}
	if t := c.arrivedAt.Add(c.route.Timeout); c.route.Timeout > 0 && t.Before(c.deadline) {
		c.deadline = t
	}
	if c.route.Kind == routing.Stream {
		if c.events, err = eventstream.NewTracker(envelope.LastEventID); err != nil {
			return result.Wrap(err, result.BodyMalformed, "position in the stream is malformed")
		}
		if c.takesUp() && !c.route.Resumable {
			return h.retryIfConfigStale(c, result.New(result.StreamNotResumable, "route %q does not allow to resume streams", c.route.Name))
		}
	}
	if limit := c.config.Limits.MaxBodyBytes; limit > 0 && c.request.ContentLength > limit {
		return result.New(result.BodyTooLarge, "request body is longer than %d bytes", limit)
	}
	return nil
}

// retryIfConfigStale returns the error, or result.CutOff with a Retry-After if the configuration is
// so old that a newer one may allow the request.
func (h *Handler) retryIfConfigStale(c *call, err *result.Error) error {
	if age := h.ConfigAge(time.Now()); age > staleConfigAge {
		return result.Wrap(err, result.CutOff, "configuration may be stale").WithRetryAfter(h.outageRetryAfter(c, age))
	}
	return err
}

// outageRetryAfter returns the Retry-After for a request that needs a newer configuration than the
// daemon can get. An outage is expected to last as long again as it has lasted, so the Retry-After
// grows with it: callers that retry every 100 ms run out of attempts before the outage ends.
func (h *Handler) outageRetryAfter(c *call, outage time.Duration) time.Duration {
	timeout := defaultTimeout
	if c.envelope.Deadline > 0 {
		timeout = c.envelope.Deadline
	}
	return max(defaultRetryAfter, min(outage, maxOutageRetryAfter, time.Duration(outageRetryShare*float64(timeout))))
}
