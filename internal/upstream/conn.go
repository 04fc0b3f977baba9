// Package upstream sends requests to backend servers over HTTP/1.1 connections that it
// keeps open. Unlike net/http's Transport it never sends a request again by itself,
// tells whether a byte of a request may have left, and gives up a connection that ever
// carried bytes of another answer.
package upstream

import (
	"bufio"
	"net"
	"net/http"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/filbertrill/filbertrill/internal/socket"
)

const (
	// readBuffer is the size in bytes of a connection's buffer; it holds the events that
	// arrive together.
	readBufferSize = 4 << 10
	// userTimeout bounds how long sent bytes may stay unacknowledged, in milliseconds:
	// connections to a machine without power otherwise hang for minutes.
	tcpUserTimeoutMillis = 3000
	// tcpUserTimeout is TCP_USER_TIMEOUT of Linux, which package syscall does not name.
	sockoptTCPUserTimeout = 0x12
)

// Conn is a connection to one backend server. It is used by one request at a time.
type Conn struct {
	net.Conn
	reader        *bufio.Reader
	rawConn       syscall.RawConn
	lastUsed      time.Time // end of the last use
	idleTimeout   time.Duration
	reused        bool
	reuseDisabled bool // must not be used again
}

func newConn(netConn net.Conn) (*Conn, error) {
	syscallConn, ok := netConn.(syscall.Conn)
	if !ok {
		return nil, errors.Newf("connection %T has no descriptor", netConn)
	}
	rawConn, err := syscallConn.SyscallConn()
	if err != nil {
		return nil, errors.Wrap(err, "descriptor of a connection")
	}
	err = rawConn.Control(func(fd uintptr) {
		// A kernel without the option leaves the connection usable, only slower to fail.
		_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, sockoptTCPUserTimeout, tcpUserTimeoutMillis)
	})
	if err != nil {
		return nil, errors.Wrap(err, "set the timeout of a connection")
	}
	return &Conn{Conn: netConn, reader: bufio.NewReaderSize(netConn, readBufferSize), rawConn: rawConn}, nil
}

// DisableReuse marks the connection as one that must not carry another request.
func (c *Conn) DisableReuse() { c.reuseDisabled = true }

// Reused reports whether the connection has carried a request before.
func (c *Conn) Reused() bool { return c.reused }

// quiet reports whether the connection is open and holds no byte: a byte that nobody asked
// for belongs to no request.
func (c *Conn) healthy() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	state, err := socket.Peek(c.rawConn)
	return err == nil && state == socket.Quiet
}

// Send writes the head and the body. It reports whether a byte may have left.
func (c *Conn) Send(head, body []byte) (sent bool, err error) {
	buffers := net.Buffers{head}
	if len(body) > 0 {
		buffers = append(buffers, body)
	}
	n, err := buffers.WriteTo(c.Conn)
	return n > 0, errors.Wrap(err, "send request")
}

// Receive reads the head of the answer to a request with the method. The body of the
// answer reads from the connection.
func (c *Conn) Receive(method string) (*http.Response, error) {
	response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		c.reuseDisabled = true
		return nil, errors.Wrap(err, "read answer")
	}
	if response.Close || !response.ProtoAtLeast(1, 1) {
		c.reuseDisabled = true
	}
	c.idleTimeout = keepAliveTimeout(response.Header.Get("Keep-Alive"))
	return response, nil
}

// keepAlive returns the idle time that the header names, 0 when it names none.
func keepAliveTimeout(header string) time.Duration {
	for field := range strings.SplitSeq(header, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		d, err := time.ParseDuration(value + "s")
		if err == nil {
			return d
		}
	}
	return 0
}
