package filter

import (
	"net/http"
	"strconv"
	"time"

	"github.com/filbertrill/filbertrill/internal/result"
)

// Writer is an http.ResponseWriter that tracks whether the answer has started.
type Writer struct {
	http.ResponseWriter
	started     bool
	eventStream bool // the answer is a stream of server-sent events
}

// NewWriter returns a Writer that writes to w.
func NewWriter(w http.ResponseWriter) *Writer { return &Writer{ResponseWriter: w} }

// Started reports whether any part of the answer may have been sent.
func (w *Writer) Started() bool { return w.started }

// StartEventStream sends the header of a stream of server-sent events with status 200.
func (w *Writer) StartEventStream() {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-cache")
	w.eventStream = true
	w.WriteHeader(http.StatusOK)
}

// WriteHeader sends the status and the header.
func (w *Writer) WriteHeader(status int) {
	w.started = true
	w.ResponseWriter.WriteHeader(status)
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

// WriteError writes err to the caller: as a complete answer if the answer has not started, as an
// error event in a stream of server-sent events. It aborts any other answer that has started.
func (w *Writer) WriteError(err error) {
	if !w.started {
		w.started = true
		result.WriteHTTP(w.ResponseWriter, err)
		return
	}
	if w.eventStream {
		_, _ = w.Write(result.SSE(err))
		_ = w.Flush()
		return
	}
	w.Abort()
}
