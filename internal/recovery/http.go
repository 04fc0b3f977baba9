package recovery

import "net/http"

// HTTPHandler returns a handler that ends the panics of next. It passes each to record and then to answer, which writes an answer, or
// breaks the connection if the answer has begun. http.ErrAbortHandler is passed on as it is.
func HTTPHandler(next http.Handler, record func(r *http.Request, p *Panic, begun bool), answer func(http.ResponseWriter)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		tracked := &trackingWriter{ResponseWriter: w}
		defer func() {
			p := NewPanic(recover())
			if p == nil {
				return
			}
			record(r, p, tracked.begun)
			if tracked.begun {
				panic(http.ErrAbortHandler) // a truncated answer must not look complete
			}
			clear(w.Header()) // may be those of an answer that was not written
			w.Header().Set("Connection", "close")
			answer(w)
		}()
		next.ServeHTTP(tracked, r)
	})
}

// trackingWriter knows whether the answer has begun.
type trackingWriter struct {
	http.ResponseWriter
	begun bool
}

// WriteHeader implements http.ResponseWriter.
func (w *trackingWriter) WriteHeader(status int) {
	w.ResponseWriter.WriteHeader(status) // panics for an invalid status, without an answer
	w.begun = w.begun || status >= http.StatusOK
}

// FlushError is used by http.ResponseController. It sends the header.
func (w *trackingWriter) FlushError() error {
	w.begun = true
	return http.NewResponseController(w.ResponseWriter).Flush()
}

// Write implements http.ResponseWriter.
func (w *trackingWriter) Write(p []byte) (int, error) {
	w.begun = true
	return w.ResponseWriter.Write(p)
}

// Unwrap is used by http.ResponseController.
func (w *trackingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
