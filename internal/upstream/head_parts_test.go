package upstream

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/filbertrill/filbertrill/internal/http1"
)

// Guards against invalid heads that are believed, or waited for, since bufio.Reader drops an error that it gets within a line.
func TestInvalidHeadInPartsIsNotBelieved(t *testing.T) {
	for _, parts := range [][]string{
		{"HTTP/1.1 200 OK\r\nA: b", "\x01\r\nContent-Length: 5\r\n", "\r\nsome bytes"},
		{"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nA: b", "\rContent-Length: 5\r\n", "\r\nsome bytes"},
		{"HTTP/1.1 200", "0 OK\r\n", "\r\nsome bytes"},
		{"HTTP/1.1 200 OK", "\x01\r\n\r\n"}, // and nothing more
	} {
		address := serveRaw(t, func(conn net.Conn) {
			if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
				return
			}
			for _, part := range parts {
				_, _ = io.WriteString(conn, part)
				time.Sleep(20 * time.Millisecond)
			}
			_, _ = io.Copy(io.Discard, conn) // until the client closes
		})
		conn, err := NewPool().Get(t.Context(), Endpoint{Address: address}, 0)
		require.NoError(t, err)
		require.NoError(t, conn.SetDeadline(time.Now().Add(2*time.Second)))
		_, err = conn.Send([]byte("GET / HTTP/1.1\r\nHost: a\r\n\r\n"), nil)
		require.NoError(t, err)
		response, err := conn.Receive(http.MethodGet)
		assert.True(t, errors.Is(err, http1.ErrInvalidHead), "%q: %v, %v", parts, response, err)
		_ = conn.Close()
	}
}

// Guards against an answer of which the bytes are missing for which there was no memory.
func TestHeadWithoutMemoryIsNotReadOn(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\n" + strings.Repeat("X-Odd: 1\r\n", 40) + "X-Odd: 1"
	address := serveRaw(t, func(conn net.Conn) {
		_, _ = io.WriteString(conn, head)
		time.Sleep(50 * time.Millisecond)
		_, _ = io.WriteString(conn, "000\r\n")
		time.Sleep(50 * time.Millisecond)
		_, _ = io.WriteString(conn, "\r\n")
		_ = conn.Close()
	})
	conn, err := NewPool().Get(t.Context(), Endpoint{Address: address}, 0)
	require.NoError(t, err)
	defer conn.Close()
	noMemory, calls := errors.New("no memory"), 0
	conn.ReserveHeads(func(int) error {
		if calls++; calls == 2 {
			return noMemory
		}
		return nil
	})
	response, err := conn.Receive(http.MethodGet)
	assert.ErrorIs(t, err, noMemory, "%v", response)
}

// Guards against memory of incomplete lines that no limit counts: net/http and the check of the head each keep such a line.
func TestIncompleteLineReservesItsMemoryTwice(t *testing.T) {
	const lineBytes = 15 << 10
	address := serveRaw(t, func(conn net.Conn) {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nA: "+strings.Repeat("b", lineBytes))
		_ = conn.Close()
	})
	conn, err := NewPool().Get(t.Context(), Endpoint{Address: address}, 0)
	require.NoError(t, err)
	defer conn.Close()
	conn.ReserveHeads(func(int) error { return nil })
	_, err = conn.Receive(http.MethodGet)
	require.Error(t, err)
	assert.GreaterOrEqual(t, conn.ReleaseHeads(), 2*lineBytes-freeHeadBytes)
}
