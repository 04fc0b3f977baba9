// Package callerconn gives handlers of requests access to the connections of their callers.
package callerconn

import (
	"context"
	"crypto/tls"
	"net"
	"syscall"
)

// key is the context key of a callerConn.
type key struct{}

// callerConn is a TCP connection and its file descriptor.
type callerConn struct {
	net.Conn
	raw syscall.RawConn
}

// With returns a context that carries the caller's TCP connection, also if it is below TLS. It is meant for
// http.Server.ConnContext.
func With(ctx context.Context, conn net.Conn) context.Context {
	if t, ok := conn.(*tls.Conn); ok {
		conn = t.NetConn()
	}
	syscallConn, ok := conn.(syscall.Conn)
	if !ok {
		return ctx
	}
	raw, err := syscallConn.SyscallConn()
	if err != nil {
		return ctx // already closed: net/http cancels the request's context
	}
	return context.WithValue(ctx, key{}, callerConn{conn, raw})
}

// Raw returns the caller's connection. ok is false if the context carries none.
func Raw(ctx context.Context) (raw syscall.RawConn, ok bool) {
	conn, ok := ctx.Value(key{}).(callerConn)
	return conn.raw, ok
}
