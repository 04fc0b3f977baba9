package forward

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/filbertrill/filbertrill/internal/placement"
	"github.com/filbertrill/filbertrill/internal/result"
	"github.com/filbertrill/filbertrill/internal/upstream"
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
	if c.eventCount == 0 || !h.Overloaded() {
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
func (h *Handler) relayBuffered(c *call, conn *upstream.Conn, response *http.Response, a *placement.Attempt) (attemptProgress, error) {
	body, err := h.answerMemory.readAll(response.Body, maxBufferedAnswerBytes)
	defer h.answerMemory.releaseBuffer(body)
	if err != nil {
		conn.DisableReuse()
		return maybeRun, errors.Wrap(err, "read answer")
	}
	failed := response.StatusCode >= http.StatusInternalServerError
	if failed && mayRetry(c, maybeRun, len(c.attempts)+1) {
		c.serverFailure = &failedAnswer{response, body}
		return maybeRun, errors.Newf("server failed with status %d", response.StatusCode)
	}
	if c.answerStarted {
		return partlyForwarded, errors.Newf("server did not resume the stream, status %d", response.StatusCode)
	}
	h.Scheduler.RecordFirstEvent(a, time.Now())
	h.Scheduler.RecordComplete(c.schedulerRequest(), a, response.StatusCode, time.Now())
	c.timeToFirstEvent = time.Since(c.arrivedAt)
	c.writeAnswer(response, body)
	return fullyForwarded, nil
}

// failedAnswer is an answer with a server error. It is forwarded if no retry succeeds.
type failedAnswer struct {
	response *http.Response // with its body already read
	body     []byte
}

// writeAnswer writes a complete answer to the caller.
func (c *call) writeAnswer(response *http.Response, body []byte) {
	copyHeader(c.writer.Header(), response.Header)
	c.writer.Header().Set("Content-Length", strconv.Itoa(len(body)))
	c.answerStarted = true
	c.writer.WriteHeader(response.StatusCode)
	_, _ = c.writer.Write(body) // a caller that has disconnected needs no answer
}

// relayEvents forwards the events of a stream as they arrive, each only when it is complete.
func (h *Handler) relayEvents(c *call, conn *upstream.Conn, response *http.Response, a *placement.Attempt, w *watchdog) (attemptProgress, error) {
	buffer := make([]byte, 0, answerBufferBytes)
	defer func() { h.answerMemory.releaseBuffer(buffer) }()
	eventsBefore, anyEvent := c.eventCount, false
	flusher := http.NewResponseController(c.writer)
	for {
		if len(buffer) == cap(buffer) {
			var err error
			if buffer, err = h.answerMemory.grow(buffer); err != nil {
				conn.DisableReuse()
				return c.brokenStreamProgress(), err
			}
		}
		n, err := response.Body.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		if n > 0 {
			forwarded, forwardErr := h.forwardEvents(c, response, buffer, a, flusher)
			if forwardErr != nil {
				conn.DisableReuse()
				return c.brokenStreamProgress(), forwardErr
			}
			if forwarded > 0 {
				anyEvent = true
				if hasData(buffer[:forwarded]) {
					w.eventReceived()
				}
				h.Scheduler.RecordEvents(a, c.eventCount-eventsBefore, time.Now())
			}
			buffer = append(buffer[:0], buffer[forwarded:]...)
			if err == nil {
				time.Sleep(h.batchDelay(c))
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			return h.finishEvents(c, conn, response, buffer, a, anyEvent)
		case err != nil:
			conn.DisableReuse()
			return c.brokenStreamProgress(), errors.Wrap(err, "read stream")
		case len(buffer) > maxEventBytes:
			conn.DisableReuse()
			return c.brokenStreamProgress(), errors.Newf("event is longer than %d bytes", maxEventBytes)
		}
	}
}

// finishEvents handles the end of a stream; anyEvent tells whether an event has arrived in this attempt. If rest, the data
// after the last complete event, holds more than white space, or if a stream that ends with its connection has no
// events, it broke and finishEvents returns an error.
func (h *Handler) finishEvents(c *call, conn *upstream.Conn, response *http.Response, rest []byte, a *placement.Attempt, anyEvent bool) (attemptProgress, error) {
	if len(bytes.TrimSpace(rest)) > 0 {
		conn.DisableReuse()
		return c.brokenStreamProgress(), errors.Wrap(io.ErrUnexpectedEOF, "stream ends within an event")
	}
	switch endsWithConnection := response.ContentLength < 0 && len(response.TransferEncoding) == 0; {
	case !endsWithConnection:
		h.Scheduler.RecordComplete(c.schedulerRequest(), a, response.StatusCode, time.Now())
	case !anyEvent:
		conn.DisableReuse()
		return c.brokenStreamProgress(), errors.Wrap(io.ErrUnexpectedEOF, "stream ends without an event")
	}
	if !c.answerStarted {
		h.startAnswer(c, response)
	}
	return fullyForwarded, nil
}

// forwardEvents writes the complete events at the start of data, without those that were forwarded
// before, and returns the number of bytes that it has consumed.
func (h *Handler) forwardEvents(c *call, response *http.Response, data []byte, a *placement.Attempt, flusher *http.ResponseController) (int, error) {
	end := bytes.LastIndex(data, []byte("\n\n"))
	if end < 0 {
		return 0, nil
	}
	end += 2
	skipped, err := c.checkSequence(data[:end])
	if err != nil {
		return 0, err
	}
	if skipped == end {
		return end, nil
	}
	if c.timeToFirstEvent == 0 {
		c.timeToFirstEvent = time.Since(c.arrivedAt)
	}
	if !c.answerStarted {
		h.recordOrigin(c)
		h.startAnswer(c, response)
	}
	if _, err := c.writer.Write(data[skipped:end]); err != nil {
		return 0, result.Wrap(err, result.CallerGone, "write events to the caller")
	}
	return end, errors.Wrap(flusher.Flush(), "flush events to the caller")
}

// hasData reports whether any of the complete events has data. Comments, which servers may send to keep
// a connection open, have none.
func hasData(events []byte) bool {
	return bytes.HasPrefix(events, []byte("data:")) || bytes.Contains(events, []byte("\ndata:"))
}

// startAnswer writes the header of a stream.
func (h *Handler) startAnswer(c *call, response *http.Response) {
	// A caller that stops reading must not keep the server's connection in use.
	_ = http.NewResponseController(c.writer).SetWriteDeadline(c.deadline.Add(writeGracePeriod))
	copyHeader(c.writer.Header(), response.Header)
	c.answerStarted = true
	c.writer.WriteHeader(response.StatusCode)
}

// checkSequence checks that the IDs of the events continue those forwarded before without gaps. It
// returns the size in bytes of the events at the start of data that were already forwarded, as
// happens when a server resumes the stream of another one.
func (c *call) checkSequence(data []byte) (skipped int, err error) {
	offset := 0
	for offset < len(data) {
		size := bytes.Index(data[offset:], []byte("\n\n")) + 2
		id, ok := eventID(data[offset : offset+size])
		offset += size
		if !ok {
			continue
		}
		switch {
		case c.eventCount > 0 && id <= c.lastEventID:
			if c.eventCount > 0 && skipped != offset-size {
				return 0, errors.Newf("event %d is repeated", id)
			}
			skipped = offset
			continue
		case c.eventCount > 0 && id != c.lastEventID+1:
			return 0, errors.Newf("event %d follows event %d", id, c.lastEventID)
		}
		c.lastEventID = id
		c.eventCount++
	}
	return skipped, nil
}

// eventID returns the ID of a server-sent event. It returns false if there is no numeric ID.
func eventID(event []byte) (uint64, bool) {
	for line := range bytes.SplitSeq(event, []byte("\n")) {
		value, ok := bytes.CutPrefix(line, []byte("id:"))
		if !ok {
			continue
		}
		id, err := strconv.ParseUint(string(bytes.TrimSpace(value)), 10, 64)
		return id, err == nil
	}
	return 0, false
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
