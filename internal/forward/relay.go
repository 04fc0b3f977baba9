package forward

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/filbertrill/filbertrill/internal/eventstream"
	"github.com/filbertrill/filbertrill/internal/http1"
	"github.com/filbertrill/filbertrill/internal/result"
)

// hopByHopHeaders are the header fields that apply to a single connection and are not forwarded.
var hopByHopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true,
	"Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
}

// writeGracePeriod is the time after a request's deadline in which the caller can still read the
// answer.
const writeGracePeriod = 2 * time.Second

const (
	// batchDelayShare is the share of the route's MaxTokenGap for which an overloaded daemon
	// collects events to forward them together. Reading and writing each event separately
	// takes 0.30 of the 0.35 ms of processor time for a stream of 35 events (BenchmarkStream).
	batchDelayShare = 0.25
	// maxBatchDelay bounds the delay, and is the delay of routes without a MaxTokenGap.
	maxBatchDelay = 100 * time.Millisecond
)

// batchDelay returns the time for which events are collected before they are forwarded.
func (h *Handler) batchDelay(c *call) time.Duration {
	if c.events.Delivered() == 0 || !h.Overloaded() {
		return 0
	}
	if c.route.MaxTokenGap > 0 {
		return min(maxBatchDelay, time.Duration(batchDelayShare*float64(c.route.MaxTokenGap)))
	}
	return maxBatchDelay
}

// maxEventBytes is the size of the largest event that is forwarded.
const maxEventBytes = 256 << 10

// relayBuffered reads the complete answer and then forwards it. An answer with a server error is
// stored in the call instead if the request may be retried.
func (h *Handler) relayBuffered(c *call, a *attempt, g *hedger) (attemptProgress, error) {
	response := a.response
	body, err := a.read, error(nil)
	if a.read = nil; body == nil {
		body, err = h.answerMemory.readAll(response.Body, maxBufferedAnswerBytes)
	}
	kept := false
	defer func() {
		if !kept {
			h.answerMemory.releaseBuffer(body)
		}
	}()
	if err == nil {
		err = h.confirmEnd(c, a, g)
	}
	if err != nil {
		return maybeRun, errors.Wrap(err, "read answer")
	}
	failed := response.StatusCode >= http.StatusInternalServerError
	if failed && (len(g.pending) > 0 || h.retryObstacle(c, maybeRun, g.sentAttempts()) == "") {
		h.storeFailure(c, response, body)
		kept = true
		return maybeRun, errors.Newf("server failed with status %d", response.StatusCode)
	}
	if c.answerStarted {
		return partlyForwarded, errors.Newf("server did not resume the stream, status %d", response.StatusCode)
	}
	h.Scheduler.RecordFirstEvent(a.scheduled, time.Now())
	h.Scheduler.RecordComplete(h.schedulerRequest(c), a.scheduled, response.StatusCode, time.Now())
	c.timeToFirstEvent = time.Since(c.arrivedAt)
	c.writeAnswer(response, body)
	return fullyForwarded, nil
}

// failedAnswer is an answer with a server error. It is forwarded if no retry succeeds.
type failedAnswer struct {
	response *http.Response // with its body already read
	body     []byte
	memory   int // reserved for both
}

// storeFailure stores a complete answer with a server error, whose body is in a buffer of answerMemory.
func (h *Handler) storeFailure(c *call, response *http.Response, body []byte) {
	h.releaseFailure(c)
	c.serverFailure = &failedAnswer{response: response, body: body, memory: cap(body) - answerBufferBytes}
}

// releaseFailure drops the stored answer with a server error, if there is one.
func (h *Handler) releaseFailure(c *call) {
	if c.serverFailure != nil {
		h.answerMemory.release(c.serverFailure.memory)
		c.serverFailure = nil
	}
}

// writeAnswer writes a complete answer to the caller.
func (c *call) writeAnswer(response *http.Response, body []byte) {
	copyHeader(c.writer.Header(), response.Header)
	if c.request.Method != http.MethodHead {
		c.writer.Header().Set("Content-Length", strconv.Itoa(len(body)))
	} else if length := response.Header.Get("Content-Length"); length != "" { // of the body that is not sent
		c.writer.Header().Set("Content-Length", length)
	}
	c.answerStarted = true
	c.writer.WriteHeader(response.StatusCode)
	_, _ = c.writer.Write(body) // a caller that has disconnected needs no answer
}

// relayEvents forwards the events of a stream as they arrive, each only when it is complete.
func (h *Handler) relayEvents(c *call, a *attempt, g *hedger) (attemptProgress, error) {
	response := a.response
	buffer := make([]byte, 0, answerBufferBytes)
	defer func() { h.answerMemory.releaseBuffer(buffer) }()
	flusher := http.NewResponseController(c.writer)
	c.events.StartAnswer()
	for {
		if len(buffer) == cap(buffer) {
			var err error
			if buffer, err = h.answerMemory.grow(buffer); err != nil {
				return c.brokenStreamProgress(), err
			}
		}
		n, err := response.Body.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		if n > 0 {
			batch, streamErr := c.events.Accept(buffer)
			if forwardErr := h.forwardEvents(c, response, batch.Forward, flusher); forwardErr != nil {
				streamErr = forwardErr
			}
			if batch.Events > 0 {
				g.eventReceived()
				h.Scheduler.RecordEvents(a.scheduled, c.events.DeliveredOfAnswer(), time.Now())
			}
			if streamErr != nil {
				return c.brokenStreamProgress(), streamErr
			}
			buffer = append(buffer[:0], buffer[batch.Consumed:]...)
			if err == nil {
				time.Sleep(h.batchDelay(c))
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			return h.finishEvents(c, a, buffer, g)
		case err != nil:
			return c.brokenStreamProgress(), errors.Wrap(err, "read stream")
		case len(buffer) > maxEventBytes:
			return c.brokenStreamProgress(), errors.Newf("event is longer than %d bytes", maxEventBytes)
		}
	}
}

// finishEvents handles the end of a stream, if it can be complete. rest is the data after the last complete event.
func (h *Handler) finishEvents(c *call, a *attempt, rest []byte, g *hedger) (attemptProgress, error) {
	response := a.response
	err := c.events.EndAnswer(rest)
	if err != nil && (endsWithConnection(response) || !errors.Is(err, eventstream.ErrNoEvent)) {
		err = errors.Mark(err, io.ErrUnexpectedEOF)
	}
	if err == nil {
		err = h.confirmEnd(c, a, g)
	}
	if err != nil {
		return c.brokenStreamProgress(), err
	}
	if !endsWithConnection(response) {
		h.Scheduler.RecordComplete(h.schedulerRequest(c), a.scheduled, response.StatusCode, time.Now())
	}
	return fullyForwarded, nil
}

// endsWithConnection reports whether the end of the answer is that of its connection: it has neither a length nor chunks.
func endsWithConnection(response *http.Response) bool {
	return http1.Framing(response) == http1.FramedByConnection
}

// forwardEvents writes events to the caller, after the header of the answer if they are the first ones.
func (h *Handler) forwardEvents(c *call, response *http.Response, events []byte, flusher *http.ResponseController) error {
	if len(events) == 0 {
		return nil
	}
	now := time.Now()
	if c.timeToFirstEvent == 0 {
		c.timeToFirstEvent = now.Sub(c.arrivedAt)
	} else {
		c.longestGap = max(c.longestGap, now.Sub(c.lastEventAt))
	}
	c.lastEventAt = now
	if !c.answerStarted {
		h.recordOrigin(c)
		if err := h.startAnswer(c, response); err != nil {
			return errors.Wrap(err, "start the answer to the caller")
		}
	}
	if _, err := c.writer.Write(events); err != nil {
		return result.Wrap(err, result.CallerGone, "write events to the caller")
	}
	return errors.Wrap(flusher.Flush(), "flush events to the caller")
}

// startAnswer writes the header of a stream.
func (h *Handler) startAnswer(c *call, response *http.Response) error {
	if err := c.endMark.Begin(c.request); err != nil {
		return err
	}
	// A caller that stops reading must not keep the server's connection in use.
	_ = http.NewResponseController(c.writer).SetWriteDeadline(c.deadline.Add(writeGracePeriod))
	copyHeader(c.writer.Header(), response.Header)
	c.answerStarted = true
	c.writer.WriteHeader(response.StatusCode)
	return nil
}

// brokenStreamProgress returns the progress of an attempt whose stream broke: partlyForwarded once
// the answer has started, maybeRun before.
func (c *call) brokenStreamProgress() attemptProgress {
	if c.answerStarted {
		return partlyForwarded
	}
	return maybeRun
}

// copyHeader copies the header of an answer without the fields that apply to its connection.
func copyHeader(to, from http.Header) {
	for name, values := range from {
		if !hopByHopHeaders[name] && name != "Content-Length" {
			to[name] = values
		}
	}
	if _, ok := from["Content-Type"]; !ok {
		to["Content-Type"] = nil // keeps net/http from adding one
	}
}
