package filter

import (
	"net/http"
	"time"

	"github.com/filbertrill/filbertrill/internal/result"
)

// Writer is the answer to a caller. It knows whether the answer has begun.
type Writer struct {
	http.ResponseWriter
	started     bool
	eventStream bool
}

// NewWriter returns a writer whose answer has not begun.
func NewWriter(w http.ResponseWriter) *Writer { return &Writer{ResponseWriter: w} }

// Begun reports whether a byte of the answer may have left.
func (w *Writer) Started() bool { return w.started }

// BeginEvents begins an answer of server-sent events.
func (w *Writer) StartEventStream() {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-cache")
	w.eventStream = true
	w.WriteHeader(http.StatusOK)
}

// WriteHeader begins the answer.
func (w *Writer) WriteHeader(status int) {
	w.started = true
	w.ResponseWriter.WriteHeader(status)
}

// Write begins the answer when it has not begun.
func (w *Writer) Write(p []byte) (int, error) {
	w.started = true
	return w.ResponseWriter.Write(p)
}

// Flush sends what was written.
func (w *Writer) Flush() error { return http.NewResponseController(w.ResponseWriter).Flush() }

// SetWriteDeadline bounds further writes. The zero time removes the bound.
func (w *Writer) SetWriteDeadline(t time.Time) {
	// A writer without deadlines, as in tests, has nothing that could block.
	_ = http.NewResponseController(w.ResponseWriter).SetWriteDeadline(t)
}

// Abort closes the connection, so that the caller cannot take the answer for complete.
func (w *Writer) Abort() { panic(http.ErrAbortHandler) }

// Fail tells the caller of an error: as a whole answer before it begins, as an error
// event in a stream of events. Any other answer that has begun is cut, so that the
// caller cannot take it for complete.
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
