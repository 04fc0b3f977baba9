package forward

import (
	"context"
	"net"
	"syscall"

	"github.com/cockroachdb/errors"

	"github.com/filbertrill/filbertrill/internal/socket"
)

type callerConnKey struct{}

// WithCaller returns a context that knows the caller's connection. It fits
// http.Server.ConnContext.
func WithCallerConn(ctx context.Context, conn net.Conn) context.Context {
	syscallConn, ok := conn.(syscall.Conn)
	if !ok {
		return ctx
	}
	rawConn, err := syscallConn.SyscallConn()
	if err != nil {
		return ctx // closed already: the request's context will say so
	}
	return context.WithValue(ctx, callerConnKey{}, rawConn)
}

// callerGone reports whether the server has noticed that the caller went away.
func requestCanceled(ctx context.Context) bool { return errors.Is(ctx.Err(), context.Canceled) }

// callerLeft reports whether the caller has closed its connection, noticed or not. A daemon
// that is behind with its work learns of it late: 191 requests of callers that had left were
// sent on by a daemon with 0.19 cores (yushan-rounds-grown scale-1).
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
