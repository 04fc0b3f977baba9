package forward

import (
	"context"
	"net"
	"syscall"

	"github.com/cockroachdb/errors"

	"github.com/filbertrill/filbertrill/internal/socket"
)

// callerConnKey is the context key of the syscall.RawConn of the caller's connection.
type callerConnKey struct{}

// WithCallerConn returns a context that carries the caller's connection, so that a Handler notices
// early when the caller closes it. It is meant for http.Server.ConnContext.
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
