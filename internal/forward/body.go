package forward

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/filbertrill/filbertrill/internal/chain"
	"github.com/filbertrill/filbertrill/internal/quarantine"
	"github.com/filbertrill/filbertrill/internal/result"
)

const (
	// maxBufferedBytes is the total size of buffered bodies beyond which requests are refused.
	maxBufferedBytes = 48 << 20
	// maxChoiceAge is the age of the admission decision, after the body was read, beyond which
	// the server is chosen again. It is less than half the time between two load reports of a
	// peer.
	maxChoiceAge = 20 * time.Millisecond
)

// bufferBody is the filter that reads the body and keeps it in memory while the request is in
// flight.
func (h *Handler) bufferBody(next chain.Handler[*call]) chain.Handler[*call] {
	return chain.HandlerFunc[*call](func(ctx context.Context, c *call) error {
		buffered, err := h.readBody(c)
		defer h.bufferedBytes.Add(-buffered)
		if err != nil {
			return err
		}
		c.bodyRead = true
		now := time.Now()
		held, isHeld, isTrial := h.Scheduler.CheckRead(c.schedulerRequest(), c.trial, now)
		if isHeld {
			return quarantineError(held, now)
		}
		c.trial = isTrial
		if time.Since(c.decidedAt) > maxChoiceAge {
			var ok bool
			if c.choice, ok = h.Scheduler.ChooseAgain(c.schedulerRequest(), c.choice, time.Now()); !ok {
				return result.New(result.NoServerJoined, "no backend server takes requests any more").WithRetryAfter(defaultRetryAfter)
			}
		}
		return next.Handle(ctx, c)
	})
}

// digest returns the identity of the request for the quarantine. The body was read before.
func (c *call) digest() uint64 {
	if c.knownDigest == nil {
		parts := make([]uint64, len(c.envelope.Parts))
		for i, part := range c.envelope.Parts {
			parts[i] = part.ID
		}
		digest := quarantine.RequestDigest(c.request.Method, c.request.URL.RequestURI(), c.account, parts, c.body)
		c.knownDigest = &digest
	}
	return *c.knownDigest
}

// readBody reads the whole body into the call, so that it can be sent again in a retry. It returns
// the bytes that it has added to bufferedBytes, also with an error.
func (h *Handler) readBody(c *call) (int64, error) {
	limit := c.config.Limits.MaxBodyBytes
	if c.request.ContentLength == 0 || c.request.Body == nil {
		return 0, nil
	}
	if h.bufferedBytes.Load() > maxBufferedBytes {
		return 0, result.New(result.DaemonFull, "buffered request bodies have reached their limit").WithRetryAfter(defaultRetryAfter)
	}
	var err error
	if n := c.request.ContentLength; n > 0 {
		c.body = make([]byte, n)
		_, err = io.ReadFull(c.request.Body, c.body)
	} else {
		c.body, err = io.ReadAll(http.MaxBytesReader(c.writer, c.request.Body, max(limit, 1<<20)))
	}
	buffered := int64(len(c.body))
	h.bufferedBytes.Add(buffered)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return buffered, result.Wrap(err, result.BodyTooLarge, "request body is longer than %d bytes", limit)
	case err != nil:
		return buffered, result.Wrap(err, result.CallerGone, "read request body")
	}
	return buffered, nil
}
