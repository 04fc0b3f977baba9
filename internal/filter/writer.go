package filter

import (
	"net/http"
	"strconv"
	"time"

	"github.com/filbertrill/filbertrill/internal/callerconn"
	"github.com/filbertrill/filbertrill/internal/result"
)

// Writer is an http.ResponseWriter that tracks whether the answer has started.
type Writer struct {
	http.ResponseWriter
	request     *http.Request
	started     bool
	eventStream bool // the answer is a stream of server-sent events
	endMark     callerconn.EndMark
}

// NewWriter returns a Writer of the answer to r that writes to w.
func NewWriter(w http.ResponseWriter, r *http.Request) *Writer {
	return &Writer{ResponseWriter: w, request: r}
}

// Started reports whether any part of the answer may have been sent.
func (w *Writer) Started() bool { return w.started }

// StartEventStream sends the header of a stream of server-sent events with status 200. It returns an error, and sends nothing, if
// the caller could not tell the end of the stream from that of a broken one.
func (w *Writer) StartEventStream() error {
	if err := w.endMark.Begin(w.request); err != nil {
		return err
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-cache")
	w.eventStream = true
	w.WriteHeader(http.StatusOK)
	return nil
}

// EndEventStream sends what is buffered of a stream and marks the stream as complete.
func (w *Writer) EndEventStream() error {
	if err := w.Flush(); err != nil {
		return err
	}
	return w.endMark.Complete()
}

// Close resets the connection if a stream on it has begun and has no end, unless chunks show that. It must be called when the
// request has ended, also by a panic.
func (w *Writer) Close() { w.endMark.Close() }

// WriteHeader sends the status and the header.
func (w *Writer) WriteHeader(status int) {
	w.ResponseWriter.WriteHeader(status) // panics for an invalid status, without an answer
	w.started = true
}

// Write writes a part of the body, after the header if that has not been sent.
func (w *Writer) Write(p []byte) (int, error) {
	w.started = true
	return w.ResponseWriter.Write(p)
}

// WriteComplete sends the header with the length of the body, and the body. A failed write is a CallerGone error.
func (w *Writer) WriteComplete(status int, body []byte) error {
	if len(body) > 0 { // an empty body may be that of an answer to HEAD
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	w.WriteHeader(status)
	if _, err := w.Write(body); err != nil {
		return result.Wrap(err, result.CallerGone, "the caller disconnected")
	}
	return nil
}

// Flush sends buffered data to the caller.
func (w *Writer) Flush() error { return http.NewResponseController(w.ResponseWriter).Flush() }

// SetWriteDeadline sets the deadline of further writes. The zero time removes it.
func (w *Writer) SetWriteDeadline(t time.Time) {
	// Writers that don't support deadlines, such as those of tests, don't block.
	_ = http.NewResponseController(w.ResponseWriter).SetWriteDeadline(t)
}

// Abort closes the connection by panicking with http.ErrAbortHandler, so that the caller can't
// mistake the answer for a complete one.
func (w *Writer) Abort() { panic(http.ErrAbortHandler) }

// PrepareFailure makes the writer ready for the error of a panic: it drops the header of an answer that has not started, and aborts
// one that has, as a part of an event may have been written.
func (w *Writer) PrepareFailure() {
	if w.started {
		w.Abort()
	}
	clear(w.Header())
	w.Header().Set("Connection", "close")
}

// WriteError writes err to the caller: as a complete answer if the answer has not started, as an
// error event in a stream of server-sent events. It aborts any other answer that has started.
func (w *Writer) WriteError(err error) {
	if !w.started {
		w.started = true
		result.WriteHTTP(w.ResponseWriter, err)
		return
	}
	if w.eventStream {
		if _, err := w.Write(result.SSE(err)); err == nil {
			_ = w.EndEventStream() // the stream stays without an end
		}
		return
	}
	w.Abort()
}
