package forward

import (
	"context"
	"time"

	"github.com/filbertrill/filbertrill/internal/chain"
	"github.com/filbertrill/filbertrill/internal/result"
)

const (
	// defaultDeadline is the time for requests whose callers name none.
	defaultTimeout = 30 * time.Second
	// staleAfter is the age beyond which the configuration may lack a route or key that is
	// in force: a request that it does not allow is then refused for now, not for good.
	staleConfigAge = 1600 * time.Millisecond
	// maxOutageRetry bounds the time after which a caller comes back during an outage; not
	// tuned.
	maxOutageRetryAfter = 2 * time.Second
	// outageShare is the part of the caller's patience that one wait may take, so that there
	// is time for an answer.
	outageRetryShare = 0.4
)

// resolve is the filter that finds the route and the client account of the request.
func (h *Handler) resolve(next chain.Handler[*call]) chain.Handler[*call] {
	return chain.HandlerFunc[*call](func(ctx context.Context, c *call) error {
		if err := h.resolveRequest(c); err != nil {
			return err
		}
		return next.Handle(ctx, c)
	})
}

func (h *Handler) resolveRequest(c *call) error {
	envelope, err := h.Protocol.DecodeRequest(c.request)
	if err != nil {
		return result.Wrap(err, result.BodyMalformed, "the head of the request is malformed")
	}
	c.envelope = envelope
	c.config = h.Config()
	if c.config == nil {
		return result.New(result.NoConfiguration, "no configuration is known yet").After(h.outageRetryAfter(c, c.arrivedAt.Sub(h.started)))
	}
	path := c.request.URL.EscapedPath()
	c.route = c.config.Match(c.request.Host, path)
	if c.route == nil {
		return h.retryIfConfigStale(c, result.New(result.PathUnknown, "no route of the host begins the path"))
	}
	if c.config.HasAccounts() && !c.route.Public {
		account := c.config.AccountByKey(envelope.Key)
		if account == nil {
			return h.retryIfConfigStale(c, result.New(result.KeyUnknown, "the key belongs to no client account"))
		}
		c.account = account.Name
	}
	c.service = c.config.Service(c.route.ChooseService(envelope.RequestID))
	if c.service == nil {
		return result.New(result.NoServerJoined, "the service is not configured").After(defaultRetryAfter)
	}
	c.deadline = c.arrivedAt.Add(defaultTimeout)
	if envelope.Deadline > 0 {
		c.deadline = c.arrivedAt.Add(envelope.Deadline)
	}
	if t := c.arrivedAt.Add(c.route.Timeout); c.route.Timeout > 0 && t.Before(c.deadline) {
		c.deadline = t
	}
	if limit := c.config.Limits.MaxBodyBytes; limit > 0 && c.request.ContentLength > limit {
		return result.New(result.BodyTooLarge, "the body is longer than %d bytes", limit)
	}
	return nil
}

// unknown returns the error, or one that promises nothing for good while a newer
// configuration may be in force.
func (h *Handler) retryIfConfigStale(c *call, err *result.Error) error {
	if age := h.ConfigAge(time.Now()); age > staleConfigAge {
		return result.Wrap(err, result.CutOff, "the configuration may be outdated").After(h.outageRetryAfter(c, age))
	}
	return err
}

// outageRetry returns when a caller should come back that needs what the daemon can't know
// now. An outage that has lasted for a while will, by what is known of it, last as long again:
// callers that are asked back each tenth of a second use up their tries within it.
func (h *Handler) outageRetryAfter(c *call, outage time.Duration) time.Duration {
	timeout := defaultTimeout
	if c.envelope.Deadline > 0 {
		timeout = c.envelope.Deadline
	}
	return max(defaultRetryAfter, min(outage, maxOutageRetryAfter, time.Duration(outageRetryShare*float64(timeout))))
}
