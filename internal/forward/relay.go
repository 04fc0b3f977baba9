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
var connectionHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true,
	"Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
}

// writeSlack is the time beyond a request's end in which the caller can still read.
const writeSlack = 2 * time.Second

const (
	// strainedPause is the share of the longest pause between events for which a daemon
	// without processor time collects them. Reading and writing each one alone takes 0.30 of
	// the 0.35 ms of a stream of 35 events (BenchmarkStream).
	strainedPause = 0.25
	// maxStrainedPause bounds it, for routes without a longest pause.
	maxStrainedPause = 100 * time.Millisecond
)

// collectFor returns the time for which events are collected before they are passed on.
func (h *Handler) collectFor(c *call) time.Duration {
	if c.events == 0 || !h.Overloaded() {
		return 0
	}
	if c.route.MaxTokenGap > 0 {
		return min(maxStrainedPause, time.Duration(strainedPause*float64(c.route.MaxTokenGap)))
	}
	return maxStrainedPause
}

// maxEvent is the longest event, in bytes, that is passed on.
const maxEvent = 1 << 20

// relayWhole passes an answer on once it is whole.
func (h *Handler) relayWhole(c *call, conn *upstream.Conn, response *http.Response, a *placement.Attempt) (reach, error) {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxWhole+1))
	if err != nil {
		conn.Spoil()
		return unknown, errors.Wrap(err, "read the answer")
	}
	if len(body) > maxWhole {
		conn.Spoil()
		return unknown, errors.Newf("the answer is longer than %d bytes", maxWhole)
	}
	failed := response.StatusCode >= http.StatusInternalServerError
	if failed && again(c, unknown, len(c.attempts)+1) {
		c.failure = &failure{response, body}
		return unknown, errors.Newf("server failed with status %d", response.StatusCode)
	}
	if c.begun {
		return partly, errors.Newf("server refused to go on with status %d", response.StatusCode)
	}
	h.Scheduler.RecordFirstEvent(a, time.Now())
	c.first = time.Since(c.arrived)
	c.write(response, body)
	return whole, nil
}

// failure is a server's answer that it failed, kept for the case that no other server can be
// asked.
type failure struct {
	response *http.Response // its body has been read
	body     []byte
}

// write passes a whole answer on.
func (c *call) write(response *http.Response, body []byte) {
	copyHeader(c.writer.Header(), response.Header)
	c.writer.Header().Set("Content-Length", strconv.Itoa(len(body)))
	c.begun = true
	c.writer.WriteHeader(response.StatusCode)
	_, _ = c.writer.Write(body) // a caller that has left needs none; the server has done its work
}

// relayEvents passes the events of a stream on as they arrive, whole ones only.
func (h *Handler) relayEvents(c *call, conn *upstream.Conn, response *http.Response, a *placement.Attempt, watch *watch) (reach, error) {
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
			watch.heard()
			used, passErr := h.passEvents(c, response, buffer, a, flusher)
			if passErr != nil {
				conn.Spoil()
				return c.reached(), passErr
			}
			buffer = append(buffer[:0], buffer[used:]...)
			if err == nil {
				time.Sleep(h.collectFor(c))
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			return h.endEvents(c, conn, response, buffer)
		case err != nil:
			conn.Spoil()
			return c.reached(), errors.Wrap(err, "read the stream")
		case len(buffer) > maxEvent:
			conn.Spoil()
			return c.reached(), errors.Newf("an event is longer than %d bytes", maxEvent)
		}
	}
}

// endEvents takes the end of a stream: what is left over is no whole event.
func (h *Handler) endEvents(c *call, conn *upstream.Conn, response *http.Response, rest []byte) (reach, error) {
	if len(bytes.TrimSpace(rest)) > 0 {
		conn.Spoil()
		return c.reached(), errors.New("the stream ends within an event")
	}
	if !c.begun {
		h.beginAnswer(c, response)
	}
	return whole, nil
}

// passEvents writes the whole events of data and returns their bytes.
func (h *Handler) passEvents(c *call, response *http.Response, data []byte, a *placement.Attempt, flusher *http.ResponseController) (int, error) {
	end := bytes.LastIndex(data, []byte("\n\n"))
	if end < 0 {
		return 0, nil
	}
	end += 2
	from, err := c.follow(data[:end])
	if err != nil {
		return 0, err
	}
	if from == end {
		return end, nil
	}
	if c.first == 0 {
		c.first = time.Since(c.arrived)
	}
	h.Scheduler.RecordFirstEvent(a, time.Now())
	if !c.begun {
		h.beginAnswer(c, response)
	}
	if _, err := c.writer.Write(data[from:end]); err != nil {
		return 0, result.Wrap(err, result.CallerGone, "the caller does not read")
	}
	return end, errors.Wrap(flusher.Flush(), "pass events on")
}

func (h *Handler) beginAnswer(c *call, response *http.Response) {
	// A caller that no longer reads must not hold the server's connection.
	_ = http.NewResponseController(c.writer).SetWriteDeadline(c.limit.Add(writeSlack))
	copyHeader(c.writer.Header(), response.Header)
	c.begun = true
	c.writer.WriteHeader(response.StatusCode)
}

// follow checks that the events go on where the last one ended. It returns the bytes of
// leading events that were passed on before.
func (c *call) follow(data []byte) (skip int, err error) {
	at := 0
	for at < len(data) {
		size := bytes.Index(data[at:], []byte("\n\n")) + 2
		id, ok := eventID(data[at : at+size])
		at += size
		if !ok {
			continue
		}
		switch {
		case c.events > 0 && id <= c.last:
			if c.events > 0 && skip != at-size {
				return 0, errors.Newf("event %d comes again", id)
			}
			skip = at
			continue
		case c.events > 0 && id != c.last+1:
			return 0, errors.Newf("event %d follows event %d", id, c.last)
		}
		c.last = id
		c.events++
	}
	return skip, nil
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
func (c *call) reached() reach {
	if c.begun {
		return partly
	}
	return unknown
}

func copyHeader(to, from http.Header) {
	for name, values := range from {
		if !connectionHeaders[name] && name != "Content-Length" {
			to[name] = values
		}
	}
	if _, ok := from["Content-Type"]; !ok {
		to["Content-Type"] = nil // none is guessed
	}
}
