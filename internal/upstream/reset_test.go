package upstream

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/filbertrill/filbertrill/internal/socket"
)

// Guards against resets that pass for the end of an answer, as the kernel has reported them to a look at the connection.
func TestResetIsNotHiddenByLookAtConnection(t *testing.T) {
	for name, look := range map[string]func(*Conn){
		"none":       func(*Conn) {},
		"HasArrived": func(c *Conn) { c.HasArrived() },
		"Ended":      func(c *Conn) { c.Ended() },
	} {
		t.Run(name, func(t *testing.T) {
			reset := make(chan struct{})
			address := serveRaw(t, func(conn net.Conn) {
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
					return
				}
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\npart")
				<-reset
				_ = conn.(*net.TCPConn).SetLinger(0) // fails on closed connections only
				_ = conn.Close()
			})
			pool, e := NewPool(), Endpoint{Address: address}
			conn, err := pool.Get(t.Context(), e, 0)
			require.NoError(t, err)
			_, err = conn.Send([]byte("GET / HTTP/1.1\r\nHost: a\r\n\r\n"), nil)
			require.NoError(t, err)
			response, err := conn.Receive(http.MethodGet)
			require.NoError(t, err)
			_, err = io.ReadFull(response.Body, make([]byte, len("part")))
			require.NoError(t, err)
			close(reset)
			raw := conn.Conn.Raw()
			require.Eventually(t, func() bool {
				aborted, err := socket.Aborted(raw)
				return err == nil && aborted
			}, 5*time.Second, time.Millisecond)
			look(conn)
			_, err = io.ReadAll(response.Body)
			assert.ErrorIs(t, err, syscall.ECONNRESET)
			pool.Put(e, conn)
		})
	}
}

// Guards against a server that closes its connections, and is taken for one that lives and resets those beyond its limit.
func TestConnectionThatIsClosedBeforeProbeIsNotOneThatWasReset(t *testing.T) {
	address := serveRaw(t, func(conn net.Conn) { _ = conn.Close() })
	conn, err := NewPool().Get(t.Context(), Endpoint{Address: address}, 0)
	require.NoError(t, err)
	defer conn.Close()
	require.Eventually(t, conn.HasArrived, 5*time.Second, time.Millisecond)
	_, err = conn.Send([]byte("GET / HTTP/1.1\r\nHost: a\r\n\r\n"), nil)
	require.NoError(t, err)
	require.Eventually(t, func() bool {
		aborted, err := socket.Aborted(conn.Conn.Raw())
		return err == nil && aborted
	}, 5*time.Second, time.Millisecond)
	_, err = conn.Receive(http.MethodGet)
	require.Error(t, err)
	assert.NotErrorIs(t, err, syscall.ECONNRESET)
}
