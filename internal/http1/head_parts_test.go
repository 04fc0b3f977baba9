package http1

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/assert"
)

// Guards against invalid heads that are believed, or waited for, since bufio.Reader drops an error that it gets within a line.
func TestInvalidHeadInPartsIsNotBelieved(t *testing.T) {
	for _, parts := range [][]string{
		{"HTTP/1.1 200 OK\r\nA: b", "\x01\r\nContent-Length: 5\r\n", "\r\nsome bytes"},
		{"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nA: b", "\rContent-Length: 5\r\n", "\r\nsome bytes"},
		{"HTTP/1.1 200", "0 OK\r\n", "\r\nsome bytes"},
		{"HTTP/1.1 200 OK", "\x01\r\n\r\n"}, // and nothing more
	} {
		address := listen(t, func(conn *net.TCPConn, _ int) {
			if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
				return
			}
			for _, part := range parts {
				_, _ = io.WriteString(conn, part)
				time.Sleep(20 * time.Millisecond)
			}
			if len(parts) == 2 {
				_, _ = io.Copy(io.Discard, conn) // until the client closes
			}
		})
		client := newClient(t, &http.Transport{})
		client.Timeout = 2 * time.Second
		status, body, err := call(client, http.MethodPost, address, "")
		assert.Error(t, err, "%q: status %d, %q", parts, status, body)
		var timeout net.Error
		assert.False(t, errors.As(err, &timeout) && timeout.Timeout(), "%q: %v", parts, err)
	}
}
