package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against processes that pass for living ones, as the kernel still accepts connections to them, or as another process answers.
func TestProbePassesOnlyServersThatAnswer(t *testing.T) {
	const head, timeout = "GET /health HTTP/1.1\r\nHost: a\r\n\r\n", time.Second
	accept := func(r *http.Response) error {
		if r.StatusCode == http.StatusMisdirectedRequest {
			return errors.New("another server")
		}
		return nil
	}
	answering := func(answer string) string {
		return serveRaw(t, func(conn net.Conn) {
			for reader := bufio.NewReader(conn); ; {
				if _, err := http.ReadRequest(reader); err != nil {
					return
				}
				_, _ = io.WriteString(conn, answer)
			}
		})
	}
	resetting := serveRaw(t, func(conn net.Conn) {
		_ = conn.(*net.TCPConn).SetLinger(0) // fails on closed connections only
		_ = conn.Close()
	})
	ending, err := net.Listen("tcp", "127.0.0.1:0") // nothing accepts
	require.NoError(t, err)
	time.AfterFunc(200*time.Millisecond, func() { _ = ending.Close() })
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer silent.Close()
	for address, passes := range map[string]bool{
		answering("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"):                    true,
		answering("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"):     true,
		answering("HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n"):     false,
		answering("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nwithout end or length"): true,
		resetting:                true,
		ending.Addr().String():   false,
		silent.Addr().String():   false,
		answering("no answer\n"): false,
	} {
		pool, e := NewPool(), Endpoint{Address: address}
		ctx, cancel := context.WithTimeout(t.Context(), timeout)
		started := time.Now()
		err := pool.Probe(ctx, e, Question{http.MethodGet, []byte(head), accept})
		cancel()
		assert.Equal(t, passes, err == nil, "%s: %v", address, err)
		assert.Less(t, time.Since(started), 2*timeout)
	}
}

// Guards against a probe whose connection is not used for the next request, or is left with bytes of its answer.
func TestProbeKeepsItsConnection(t *testing.T) {
	address := serveRaw(t, func(conn net.Conn) {
		for reader := bufio.NewReader(conn); ; {
			if _, err := http.ReadRequest(reader); err != nil {
				return
			}
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		}
	})
	pool, e := NewPool(), Endpoint{Address: address}
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	require.NoError(t, pool.Probe(ctx, e, Ping(address)))
	c, err := pool.Get(t.Context(), e, 1)
	require.NoError(t, err)
	assert.True(t, c.Reused())
	_, err = c.Send([]byte("GET / HTTP/1.1\r\nHost: a\r\n\r\n"), nil)
	require.NoError(t, err)
	response, err := c.Receive(http.MethodGet)
	require.NoError(t, err)
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	assert.Equal(t, "ok", string(body))
}

// Guards against a sign of life that is waited for as long as the body of the answer goes on.
func TestProbeDoesNotWaitForBodyThatNeverEnds(t *testing.T) {
	for name, trickle := range map[string]string{"bytes": "1\r\nx\r\n", "silence": ""} {
		t.Run(name, func(t *testing.T) {
			address := serveRaw(t, func(conn net.Conn) {
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
					return
				}
				_, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
				for end := time.Now().Add(10 * time.Second); err == nil && time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
					_, err = io.WriteString(conn, trickle)
				}
			})
			pool, e := NewPool(), Endpoint{Address: address}
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			started := time.Now()
			require.NoError(t, pool.Probe(ctx, e, Ping(address)))
			assert.Less(t, time.Since(started), time.Second)
			assert.Empty(t, pool.endpoints, "the connection is closed")
		})
	}
}
