package forward

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/filbertrill/filbertrill/internal/callerconn"
	"github.com/filbertrill/filbertrill/internal/socket"
)

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
	rawConn, ok := callerconn.Raw(ctx)
	if !ok {
		return false
	}
	state, err := socket.Peek(rawConn)
	return err != nil || state == socket.Closed
}
