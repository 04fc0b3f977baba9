package forward

import (
	"context"
	"net"
	"net/http"
	"syscall"

	"github.com/cockroachdb/errors"

	"github.com/filbertrill/filbertrill/internal/socket"
)

// callerConnKey is the context key of the syscall.RawConn of the caller's connection.
type callerConnKey struct{}

// WithCallerConn returns a context that carries the caller's connection, so that a Handler notices
// early when the caller closes it, and can reset it. It is meant for http.Server.ConnContext. Without it, no streams are
// forwarded to callers that speak HTTP/1.0.
func WithCallerConn(ctx context.Context, conn net.Conn) context.Context {
	syscallConn, ok := conn.(syscall.Conn)
	if !ok {
		return ctx
	}
	rawConn, err := syscallConn.SyscallConn()
	if err != nil {
		return ctx // already closed: net/http cancels the request's context
	}
	return context.WithValue(ctx, callerConnKey{}, rawConn)
}

// requestCanceled reports whether net/http has canceled the request's context, as it does once it
// notices that the caller closed the connection.
func requestCanceled(ctx context.Context) bool { return errors.Is(ctx.Err(), context.Canceled) }

// callerDisconnected reports whether the caller has closed its connection. It checks the socket
// itself, because net/http notices late on an overloaded daemon: one with 0.19 cores forwarded 191
// requests whose callers were gone.
func callerDisconnected(ctx context.Context) bool {
	if requestCanceled(ctx) {
		return true
	}
	rawConn, ok := ctx.Value(callerConnKey{}).(syscall.RawConn)
	if !ok {
		return false
	}
	state, err := socket.Peek(rawConn)
	return err != nil || state == socket.Closed
}

// endMark marks the end of an answer that has neither a length nor chunks, because its caller speaks HTTP/1.0. The end of the
// connection is then that of the answer. From begin to complete, the connection is reset when it is closed, whoever closes it:
// the handler, net/http after a panic, or the kernel when the process ends. The zero value marks nothing.
type endMark struct {
	conn syscall.RawConn // nil if the answer shows its end by itself
}

// begin is called before the head of an answer without a length is written. It returns an error if the end of the answer can't
// be marked.
func (m *endMark) begin(r *http.Request) error {
	if r.ProtoAtLeast(1, 1) {
		return nil // net/http writes chunks
	}
	conn, ok := r.Context().Value(callerConnKey{}).(syscall.RawConn)
	if !ok {
		return errors.New("the end of an answer without a length can't be marked on this connection")
	}
	m.conn = conn
	return socket.SetResetOnClose(conn, true)
}

// complete is called when the whole answer has been passed to the kernel.
func (m *endMark) complete() error {
	if m.conn == nil {
		return nil
	}
	return socket.SetResetOnClose(m.conn, false)
}
