package callerconn

import (
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/filbertrill/filbertrill/internal/socket"
)

// EndMark marks the end of an answer that has neither a length nor chunks, because its caller speaks HTTP/1.0. The end of the
// connection is then that of the answer. From Begin to Complete, the connection is reset when it is closed, whoever closes it:
// the handler, net/http after a panic, or the kernel when the process ends. The zero value marks nothing.
type EndMark struct {
	conn callerConn // zero if the answer shows its end by itself
}

// Begin is called before the head of an answer without a length is written. It returns an error if the end of the answer can't
// be marked.
func (m *EndMark) Begin(r *http.Request) error {
	if r.ProtoAtLeast(1, 1) {
		return nil // net/http writes chunks
	}
	conn, ok := r.Context().Value(key{}).(callerConn)
	if !ok {
		return errors.New("the end of an answer without a length can't be marked on this connection")
	}
	m.conn = conn
	return socket.SetResetOnClose(conn.raw, true)
}

// Complete is called when the whole answer has been passed to the kernel.
func (m *EndMark) Complete() error {
	if m.conn.raw == nil {
		return nil
	}
	err := socket.SetResetOnClose(m.conn.raw, false)
	if err == nil {
		m.conn = callerConn{}
	}
	return err
}

// Close resets the connection if the answer has begun and is not complete. It is to be deferred where connections may use TLS:
// when net/http closes one, it first tells the caller that the data ends here.
func (m *EndMark) Close() {
	if m.conn.raw != nil {
		_ = m.conn.Close() // fails if it is closed already
	}
}
