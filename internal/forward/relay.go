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

// connectionHeaders concern one connection and are not passed on.
var hopByHopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true,
	"Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
}

// writeSlack is the time beyond a request's end in which the caller can still read.
const writeGracePeriod = 2 * time.Second

const (
	// strainedPause is the share of the longest pause between events for which a daemon
	// without processor time collects them. Reading and writing each one alone takes 0.30 of
	// the 0.35 ms of a stream of 35 events (BenchmarkStream).
	batchDelayShare = 0.25
	// maxStrainedPause bounds it, for routes without a longest pause.
	maxBatchDelay = 100 * time.Millisecond
)

// collectFor returns the time for which events are collected before they are passed on.
func (h *Handler) batchDelay(c *call) time.Duration {
	if c.eventCount == 0 || !h.Overloaded() {
		return 0
	}
	if c.route.MaxTokenGap > 0 {
		return min(maxBatchDelay, time.Duration(batchDelayShare*float64(c.route.MaxTokenGap)))
	}
	return maxBatchDelay
}

// maxEvent is the longest event, in bytes, that is passed on.
const maxEventBytes = 1 << 20

// relayWhole passes an answer on once it is whole.
func (h *Handler) relayBuffered(c *call, conn *upstream.Conn, response *http.Response, a *placement.Attempt) (attemptProgress, error) {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxBufferedAnswerBytes+1))
	if err != nil {
		conn.Spoil()
		return maybeRun, errors.Wrap(err, "read the answer")
	}
	if len(body) > maxBufferedAnswerBytes {
		conn.Spoil()
		return maybeRun, errors.Newf("the answer is longer than %d bytes", maxBufferedAnswerBytes)
	}
	failed := response.StatusCode >= http.StatusInternalServerError
	if failed && mayRetry(c, maybeRun, len(c.attempts)+1) {
		c.serverFailure = &failedAnswer{response, body}
		return maybeRun, errors.Newf("server failed with status %d", response.StatusCode)
	}
	if c.answerStarted {
		return partlyForwarded, errors.Newf("server refused to go on with status %d", response.StatusCode)
	}
	h.Scheduler.RecordFirstEvent(a, time.Now())
	c.timeToFirstEvent = time.Since(c.arrivedAt)
	c.writeAnswer(response, body)
	return fullyForwarded, nil
}

// failure is a server's answer that it failed, kept for the case that no other server can be
// asked.
type failedAnswer struct {
	response *http.Response // its body has been read
	body     []byte
}

// write passes a whole answer on.
func (c *call) writeAnswer(response *http.Response, body []byte) {
	copyHeader(c.writer.Header(), response.Header)
	c.writer.Header().Set("Content-Length", strconv.Itoa(len(body)))
	c.answerStarted = true
	c.writer.WriteHeader(response.StatusCode)
	_, _ = c.writer.Write(body) // a caller that has left needs none; the server has done its work
}

// relayEvents passes the events of a stream on as they arrive, whole ones only.
func (h *Handler) relayEvents(c *call, conn *upstream.Conn, response *http.Response, a *placement.Attempt, w *watchdog) (attemptProgress, error) {
	buffer := make([]byte, 0, 4<<10)
	flusher := http.NewResponseController(c.writer)
	for {
		if len(buffer) == cap(buffer) {
			grown := make([]byte, len(buffer), 2*cap(buffer))
			copy(grown, buffer)
			buffer = grown
		}
		n, err := response.Body.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		if n > 0 {
			w.eventReceived()
			forwarded, forwardErr := h.forwardEvents(c, response, buffer, a, flusher)
			if forwardErr != nil {
				conn.Spoil()
				return c.brokenStreamProgress(), forwardErr
			}
			buffer = append(buffer[:0], buffer[forwarded:]...)
			if err == nil {
				time.Sleep(h.batchDelay(c))
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			return h.finishEvents(c, conn, response, buffer)
		case err != nil:
			conn.Spoil()
			return c.brokenStreamProgress(), errors.Wrap(err, "read the stream")
		case len(buffer) > maxEventBytes:
			conn.Spoil()
			return c.brokenStreamProgress(), errors.Newf("an event is longer than %d bytes", maxEventBytes)
		}
	}
}

// endEvents takes the end of a stream: what is left over is no whole event.
func (h *Handler) finishEvents(c *call, conn *upstream.Conn, response *http.Response, rest []byte) (attemptProgress, error) {
	if len(bytes.TrimSpace(rest)) > 0 {
		conn.Spoil()
		return c.brokenStreamProgress(), errors.New("the stream ends within an event")
	}
	if !c.answerStarted {
		h.startAnswer(c, response)
	}
	return fullyForwarded, nil
}

// passEvents writes the whole events of data and returns their bytes.
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
	h.Scheduler.RecordFirstEvent(a, time.Now())
	if !c.answerStarted {
		h.startAnswer(c, response)
	}
	if _, err := c.writer.Write(data[skipped:end]); err != nil {
		return 0, result.Wrap(err, result.CallerGone, "the caller does not read")
	}
	return end, errors.Wrap(flusher.Flush(), "pass events on")
}

func (h *Handler) startAnswer(c *call, response *http.Response) {
	// A caller that no longer reads must not hold the server's connection.
	_ = http.NewResponseController(c.writer).SetWriteDeadline(c.deadline.Add(writeGracePeriod))
	copyHeader(c.writer.Header(), response.Header)
	c.answerStarted = true
	c.writer.WriteHeader(response.StatusCode)
}

// follow checks that the events go on where the last one ended. It returns the bytes of
// leading events that were passed on before.
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
				return 0, errors.Newf("event %d comes again", id)
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

// eventID returns the id of a server-sent event.
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

// reached tells how far an attempt got that broke off in a stream.
func (c *call) brokenStreamProgress() attemptProgress {
	if c.answerStarted {
		return partlyForwarded
	}
	return maybeRun
}

func copyHeader(to, from http.Header) {
	for name, values := range from {
		if !hopByHopHeaders[name] && name != "Content-Length" {
			to[name] = values
		}
	}
	if _, ok := from["Content-Type"]; !ok {
		to["Content-Type"] = nil // none is guessed
	}
}
