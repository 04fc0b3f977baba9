package gateway

import (
	"math"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestConnectionLimit(t *testing.T) {
	assert.Equal(t, 595, connectionLimit(112<<20, 4100), "the smallest machines of yushan-rounds-grown")
	assert.Equal(t, 2050, connectionLimit(2<<30, 4100), "bound by descriptors")
	assert.Equal(t, math.MaxInt32, connectionLimit(0, 0))
}

func TestBacklog(t *testing.T) {
	assert.Equal(t, 230, backlog(0.192))
	assert.Equal(t, 960, backlog(0.8))
	assert.Equal(t, minBacklog, backlog(0.05))
}

// yushan-rounds-grown scale-1: a daemon of 112 MB accepted all connections of a flood and was
// ended for its memory.
func TestConnectionsBeyondTheLimitWait(t *testing.T) {
	c := newConnections(4, minBacklog)
	listener, err := c.listen("127.0.0.1:0")
	require.NoError(t, err)
	hold := make(chan struct{})
	server := &http.Server{ConnState: c.track, Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-hold })}
	go func() { _ = server.Serve(listener) }() // ends with the test
	var conns []net.Conn
	for range 10 {
		conn, err := net.Dial("tcp", listener.Addr().String())
		require.NoError(t, err)
		_, err = conn.Write([]byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n"))
		require.NoError(t, err)
		conns = append(conns, conn)
	}
	require.Eventually(t, func() bool { return c.open.Load() == 4 }, 5*time.Second, time.Millisecond)
	assert.True(t, c.crowded())
	time.Sleep(50 * time.Millisecond)
	assert.EqualValues(t, 4, c.open.Load())
	close(hold)
	for _, conn := range conns[:4] {
		require.NoError(t, conn.Close())
	}
	for _, conn := range conns[4:] {
		require.NoError(t, conn.Close())
	}
	require.Eventually(t, func() bool { return c.open.Load() == 0 }, 5*time.Second, time.Millisecond)
	assert.False(t, c.crowded())
	require.NoError(t, server.Close())
}
