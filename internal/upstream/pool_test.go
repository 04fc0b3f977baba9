package upstream

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestConnectionLimit(t *testing.T) {
	assert.Equal(t, 0, ConnectionLimit(0, 65, 0), "no limit")
	assert.Equal(t, 272, ConnectionLimit(640, 2, 300), "the equal share is always granted")
	// With 500 connections and 65 daemons, equal shares of 6 connections made a daemon with
	// high traffic try 22 servers for a single request.
	assert.Equal(t, 106, ConnectionLimit(500, 65, 0))
	assert.Equal(t, 6, ConnectionLimit(500, 65, 400))
	// The planned size of the fleet is 390 daemons.
	assert.Equal(t, 1, ConnectionLimit(640, 390, 544))
	assert.Equal(t, 133, ConnectionLimit(640, 390, 12))
}

// Guards against answers without a length that count as broken, as their server is at its limit and resets other connections.
func TestCheckPassesServerAtItsLimit(t *testing.T) {
	resetting := serveRaw(t, func(conn net.Conn) {
		_ = conn.(*net.TCPConn).SetLinger(0) // fails on closed connections only
		_ = conn.Close()
	})
	for range 20 {
		require.NoError(t, NewPool().Check(t.Context(), Endpoint{Address: resetting}))
	}
	ended, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, ended.Close())
	require.Error(t, NewPool().Check(t.Context(), Endpoint{Address: ended.Addr().String()}))
}

// Guards against listeners of ending processes that pass for servers: they accept connections until they are closed.
func TestCheckFindsEndingProcess(t *testing.T) {
	ending, err := net.Listen("tcp", "127.0.0.1:0") // nothing accepts
	require.NoError(t, err)
	address := ending.Addr().String()
	time.AfterFunc(processEndTime/4, func() { _ = ending.Close() })
	require.Error(t, NewPool().Check(t.Context(), Endpoint{Address: address}))

	sound := serveRaw(t, func(net.Conn) {})
	started := time.Now()
	require.NoError(t, NewPool().Check(t.Context(), Endpoint{Address: sound}))
	assert.GreaterOrEqual(t, time.Since(started), processEndTime)
}
