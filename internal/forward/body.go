package forward

import (
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/filbertrill/filbertrill/internal/chain"
	"github.com/filbertrill/filbertrill/internal/http1"
	"github.com/filbertrill/filbertrill/internal/quarantine"
	"github.com/filbertrill/filbertrill/internal/result"
)

// maxChoiceAge is the age of the admission decision, after the body was read, beyond which
// the server is chosen again. It is less than half the time between two load reports of a
// peer.
const maxChoiceAge = 20 * time.Millisecond

// bufferBody is the filter that reads the body and keeps it in memory while the request is in
// flight.
func (h *Handler) bufferBody(next chain.Handler[*call]) chain.Handler[*call] {
	return chain.HandlerFunc[*call](func(ctx context.Context, c *call) error {
		reservation := &bodyReservation{memory: &h.bodyMemory}
		defer reservation.release()
		c.bodyReservation = reservation
		if err := h.readBody(c, reservation); err != nil {
			return err
		}
		if err := h.checkStopping(); err != nil { // a body may arrive until the end of a stop
			return err
		}
		c.bodyRead = true
		now := time.Now()
		held, isHeld, isTrial := h.Scheduler.CheckRead(h.schedulerRequest(c), c.trial, now)
		if isHeld {
			return quarantineError(held, now)
		}
		c.trial = isTrial
		if time.Since(c.decidedAt) > maxChoiceAge {
			var ok bool
			c.chosenAt = time.Now()
			if c.choice, ok = h.Scheduler.ChooseAgain(h.schedulerRequest(c), c.choice, c.chosenAt); !ok {
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

// readBody reads the whole body into the call, so that it can be sent again in a retry. A caller has time until the request's
// deadline to send it.
func (h *Handler) readBody(c *call, reservation *bodyReservation) error {
	limit := c.config.Limits.MaxBodyBytes
	if http1.LacksLength(c.request) {
		c.writer.Header().Set("Connection", "close")
		return result.New(result.BodyMalformed, "request body has no length")
	}
	if c.request.ContentLength == 0 || c.request.Body == nil {
		return nil
	}
	connection := http.NewResponseController(c.writer)
	_ = connection.SetReadDeadline(c.deadline) // fails only without a connection, in tests
	var err error
	if n := c.request.ContentLength; n > 0 {
		if err = reservation.grow(n); err == nil {
			c.body = make([]byte, n)
			_, err = io.ReadFull(c.request.Body, c.body)
		}
	} else {
		c.body, err = reservation.readAll(http.MaxBytesReader(c.writer, c.request.Body, max(limit, 1<<20)))
	}
	if err == nil { // otherwise net/http would wait for the rest of the body when it closes the connection
		_ = connection.SetReadDeadline(time.Time{})
	}
	var tooLarge *http.MaxBytesError
	switch {
	case errors.Is(err, errBodyMemory):
		return result.Wrap(err, result.DaemonFull, "request body can't be read").WithRetryAfter(defaultRetryAfter)
	case errors.As(err, &tooLarge):
		return result.Wrap(err, result.BodyTooLarge, "request body is longer than %d bytes", limit)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return result.Wrap(err, result.DeadlineUnmeetable, "request body has not arrived at the deadline").WithRetryAfter(defaultRetryAfter)
	case err != nil && !isConnectionFailure(err):
		return result.Wrap(err, result.BodyMalformed, "request body can't be decoded")
	case err != nil:
		return result.Wrap(err, result.CallerGone, "read request body")
	}
	return nil
}

// isConnectionFailure reports whether err is the end or a failure of a connection, other than a malformed encoding.
func isConnectionFailure(err error) bool {
	var failure net.Error
	return errors.IsAny(err, io.EOF, io.ErrUnexpectedEOF, http.ErrBodyReadAfterClose) || errors.As(err, &failure)
}
