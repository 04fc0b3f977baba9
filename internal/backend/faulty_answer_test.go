package backend

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// serveRaw starts a server that calls serve for each connection, with the request whose head it has read. It returns its address.
func serveRaw(t *testing.T, serve func(conn *net.TCPConn, r *http.Request)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				if r, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					serve(conn.(*net.TCPConn), r)
				}
			}()
		}
	}()
	return listener.Addr().String()
}

func TestEarlyAnswerThatIsResetDuringUploadIsAnError(t *testing.T) {
	const attempts = 10 // the reset may meet either the write or the read
	for _, pause := range []time.Duration{0, 2 * time.Millisecond, 50 * time.Millisecond} {
		address := serveRaw(t, func(conn *net.TCPConn, _ *http.Request) {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\npart of the body")
			time.Sleep(pause)
			_ = conn.SetLinger(0) // fails on closed connections only
		})
		for range attempts {
			response, err := NewPlainClient().Call(t.Context(), address, PlainRequest{
				Method: http.MethodPost, Path: "/", Body: []byte(strings.Repeat("x", 8<<20)),
			})
			if err == nil {
				assert.Fail(t, "answer looks complete", "pause %v: %q", pause, response.Body)
			}
		}
	}
}

// callWithHead calls a plain server that answers with the text.
func callWithHead(t *testing.T, text string) (*PlainResponse, error) {
	t.Helper()
	address := serveRaw(t, func(conn *net.TCPConn, _ *http.Request) { _, _ = io.WriteString(conn, text) })
	return NewPlainClient().Call(t.Context(), address, PlainRequest{Method: http.MethodGet, Path: "/"})
}

func TestStatusOutsideOfHTTPIsAnError(t *testing.T) {
	for _, status := range []string{"000", "099", "600", "999"} {
		response, err := callWithHead(t, "HTTP/1.1 "+status+" Odd\r\nContent-Length: 2\r\n\r\nok")
		assert.Error(t, err, "status %s: %+v", status, response)
	}
}

func TestNameWithBlankOrControlByteIsAnError(t *testing.T) {
	for _, field := range []string{"X Odd: 1", "Content-Length : 5", "Transfer-Encoding : chunked", "X-Odd\x01: 1", "X-Odd\t: 1"} {
		response, err := callWithHead(t, "HTTP/1.1 200 OK\r\n"+field+"\r\n\r\nsome bytes")
		assert.Error(t, err, "field %q: %+v", field, response)
	}
}
