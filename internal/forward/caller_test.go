package forward

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/filbertrill/filbertrill/internal/callerconn"
)

func TestCallerDisconnectedDetectsClosedSocket(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { require.NoError(t, listener.Close()) }()
	caller, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	conn, err := listener.Accept()
	require.NoError(t, err)
	defer func() { require.NoError(t, conn.Close()) }()
	ctx := callerconn.With(context.Background(), conn)
	assert.False(t, callerDisconnected(ctx))
	require.NoError(t, caller.Close())
	require.Eventually(t, func() bool { return callerDisconnected(ctx) }, 5*time.Second, time.Millisecond)
	assert.False(t, callerDisconnected(context.Background()), "context without a connection")
}
