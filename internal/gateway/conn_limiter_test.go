package gateway

import (
	"bufio"
	"fmt"
	"io"
	"log/slog"
	"math"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestConnectionLimit(t *testing.T) {
	assert.Equal(t, 595, connectionLimit(112<<20, 4100), "limited by memory")
	assert.Equal(t, 2050, connectionLimit(2<<30, 4100), "limited by file descriptors")
	assert.Equal(t, math.MaxInt32, connectionLimit(0, 0))
}

// newTestLimiter returns a connLimiter that takes the account of a request from its Key header.
func newTestLimiter(limit int) *connLimiter {
	return &connLimiter{
		limit: limit, refusalResponse: randomUnreadRefusal, onRefused: func(string, float64) {}, logger: slog.New(slog.DiscardHandler),
		inspect: func(head []byte) (string, float64) {
			_, key, _ := strings.Cut(string(head), "Key: ")
			key, _, _ = strings.Cut(key, "\r\n")
			return key, 0
		},
	}
}

// startBlockedServer starts a server behind a connLimiter. Its requests block until the channel
// is closed.
func startBlockedServer(t *testing.T, limit int) (c *connLimiter, address string, release chan struct{}) {
	t.Helper()
	c = newTestLimiter(limit)
	listener, err := c.listen("127.0.0.1:0")
	require.NoError(t, err)
	release = make(chan struct{})
	server := &http.Server{ConnState: c.connStateChanged, Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-release })}
	go func() { _ = server.Serve(listener) }() // ends with the test
	t.Cleanup(func() { require.NoError(t, server.Close()) })
	return c, listener.Addr().String(), release
}

func sendRequest(t *testing.T, address string, bodySize int) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	require.NoError(t, err)
	head := fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", bodySize)
	_, err = conn.Write(append([]byte(head), make([]byte, bodySize)...))
	require.NoError(t, err)
	return conn
}

// Guards against a daemon with 112 MB of memory that accepts all connections of a flood and is
// killed for exceeding its memory limit. Queueing all of them does not help: by the time that
// they are served, their callers have given up.
func TestConnLimiterRefusesBeyondLimit(t *testing.T) {
	c, address, release := startBlockedServer(t, 4)
	var conns []net.Conn
	for range 4 {
		conns = append(conns, sendRequest(t, address, 10))
		require.Eventually(t, func() bool { return c.open.Load() == int64(len(conns)) }, 5*time.Second, time.Millisecond)
	}
	assert.True(t, c.nearLimit())
	for range 20 {
		conn := sendRequest(t, address, 40<<10) // larger than the daemon's read buffers
		require.NoError(t, conn.SetReadDeadline(time.Now().Add(5*time.Second)))
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		require.NoError(t, err)
		body, err := io.ReadAll(response.Body)
		require.NoError(t, err)
		assert.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
		assert.NotEmpty(t, response.Header.Get("Retry-After"))
		assert.Contains(t, string(body), "1102")
		require.NoError(t, conn.Close())
	}
	assert.EqualValues(t, 4, c.open.Load())
	close(release)
	for _, conn := range conns {
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		require.NoError(t, err)
		assert.Equal(t, http.StatusOK, response.StatusCode, "active requests are served")
		require.NoError(t, conn.Close())
	}
	require.Eventually(t, func() bool { return c.open.Load() == 0 }, 5*time.Second, time.Millisecond)
	assert.False(t, c.nearLimit())
	require.Eventually(t, func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		return len(c.lingering) == 0
	}, 5*time.Second, time.Millisecond)
}

// A connection that has waited longer than maxQueueTime is refused, even if the limit of open
// connections is not reached.
func TestFairListenerRefusesAfterMaxQueueTime(t *testing.T) {
	c := newTestLimiter(4)
	listener, err := c.listen("127.0.0.1:0")
	require.NoError(t, err)
	defer func() { require.NoError(t, listener.Close()) }()
	late := sendRequest(t, listener.Addr().String(), 10)
	time.Sleep(2 * maxQueueTime) // the server is busy
	accepted := make(chan net.Conn)
	go func() {
		conn, err := listener.Accept()
		assert.NoError(t, err)
		accepted <- conn
	}()
	response, err := http.ReadResponse(bufio.NewReader(late), nil)
	require.NoError(t, err)
	assert.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	fresh := sendRequest(t, listener.Addr().String(), 10)
	conn := <-accepted
	assert.Equal(t, fresh.LocalAddr(), conn.RemoteAddr())
	for _, c := range []net.Conn{late, fresh, conn} {
		require.NoError(t, c.Close())
	}
}

// failingOnceListener fails the first accept, as a listener does that is out of file
// descriptors.
type failingOnceListener struct {
	net.Listener
	failed bool
}

func (l *failingOnceListener) Accept() (net.Conn, error) {
	if !l.failed {
		l.failed = true
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: syscall.EMFILE}
	}
	return l.Listener.Accept()
}

// Guards against a daemon that stops accepting connections, but reports that it is ready, after
// it was out of file descriptors once.
func TestFairListenerContinuesAfterAcceptError(t *testing.T) {
	c := newTestLimiter(4)
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	listener := c.wrap(&failingOnceListener{Listener: tcp})
	caller := sendRequest(t, tcp.Addr().String(), 1)
	conn, err := listener.Accept()
	require.NoError(t, err)
	require.NoError(t, conn.Close())
	require.NoError(t, caller.Close())
	require.NoError(t, listener.Close())
	_, err = listener.Accept()
	require.ErrorIs(t, err, net.ErrClosed)
}

// The number of lingering connections, and so of their file descriptors, is limited.
func TestConnLimiterBoundsLingeringConns(t *testing.T) {
	c, address, release := startBlockedServer(t, 1)
	defer close(release)
	first := sendRequest(t, address, 1)
	require.Eventually(t, func() bool { return c.open.Load() == 1 }, 5*time.Second, time.Millisecond)
	for range maxLingeringConns + 50 {
		require.NoError(t, sendRequest(t, address, 1).Close())
		c.mu.Lock()
		assert.LessOrEqual(t, len(c.lingering), maxLingeringConns)
		c.mu.Unlock()
	}
	require.NoError(t, first.Close())
}

// Guards against an account with few requests being refused unread together with the flood of
// another account, which left it 16% of what it requested.
func TestFairListenerServesSmallAccountDuringFlood(t *testing.T) {
	const flooders, smallRequests, serveTime = 32, 20, 2 * time.Millisecond
	c := newTestLimiter(1000)
	listener, err := c.listen("127.0.0.1:0")
	require.NoError(t, err)
	go func() { // a server that answers 500 requests a second
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			time.Sleep(serveTime)
			_, _ = conn.Read(make([]byte, 1<<10))
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
			_ = conn.Close()
			c.open.Add(-1)
		}
	}()
	status := func(account string) int {
		conn, err := net.Dial("tcp", listener.Addr().String())
		if err != nil {
			return 0
		}
		defer conn.Close()
		_, _ = fmt.Fprintf(conn, "GET / HTTP/1.1\r\nHost: h\r\nKey: %s\r\n\r\n", account)
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			return 0
		}
		return response.StatusCode
	}
	var stop atomic.Bool
	var refused atomic.Int64
	var flood sync.WaitGroup
	for range flooders {
		flood.Go(func() {
			for !stop.Load() {
				if status("flood") == http.StatusServiceUnavailable {
					refused.Add(1)
				}
			}
		})
	}
	require.Eventually(t, func() bool { return refused.Load() > 100 }, 10*time.Second, time.Millisecond)
	served := 0
	for range smallRequests {
		if status("small") == http.StatusOK {
			served++
		}
	}
	stop.Store(true)
	flood.Wait()
	require.NoError(t, listener.Close())
	assert.GreaterOrEqual(t, served, smallRequests/2, "at least half of its requests")
}
