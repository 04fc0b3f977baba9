// Package http1 keeps what the kernel and net/http would pass over in answers of HTTP/1.1 servers: errors of a connection that are
// reported once, and heads that are not valid (RFC 9112).
package http1

import (
	"io"
	"net"
	"os"
	"sync"
	"syscall"

	"github.com/cockroachdb/errors"

	"github.com/filbertrill/filbertrill/internal/socket"
)

// End is how the data of a connection ended.
type End int

// Ends of the data of a connection.
const (
	Open    End = iota // not ended, as far as it was read
	Closed             // the other side has closed its sending side
	Aborted            // reset, timed out or broken in another way
)

// String returns the name of the end.
func (e End) String() string {
	return [...]string{"open", "closed", "aborted"}[e]
}

// Call is a call of a connection.
type Call string

// Calls that meet the end of a connection.
const (
	NoCall Call = ""
	Read   Call = "read"
	Write  Call = "write"
	Peek   Call = "peek"
)

// Conn is a connection on which answers arrive. Its methods may be called by several goroutines.
type Conn struct {
	net.Conn
	raw syscall.RawConn

	mu      sync.Mutex
	end     End
	endCall Call  // that met the end
	failure error // of an aborted connection
}

// NewConn returns a Conn that owns the connection. It returns an error if that has no file descriptor.
func NewConn(conn net.Conn) (*Conn, error) {
	syscallConn, ok := conn.(syscall.Conn)
	if !ok {
		return nil, errors.Newf("connection of type %T has no file descriptor", conn)
	}
	raw, err := syscallConn.SyscallConn()
	if err != nil {
		return nil, errors.Wrap(err, "get raw connection")
	}
	return &Conn{Conn: conn, raw: raw}, nil
}

// Raw returns the raw connection. Calls that can take an error of the socket must go through Conn.
func (c *Conn) Raw() syscall.RawConn { return c.raw }

// Read implements io.Reader.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err != nil {
		c.met(Read, err)
	}
	return n, err
}

// Write implements io.Writer.
func (c *Conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.met(Write, err)
	return n, err
}

// WriteBuffers writes the buffers with as few system calls as possible, and consumes what was written.
func (c *Conn) WriteBuffers(buffers *net.Buffers) (int64, error) {
	n, err := buffers.WriteTo(c.Conn)
	c.met(Write, err)
	return n, err
}

// Peek returns the state of the socket. It never blocks. It returns an error when the connection was closed by this side.
func (c *Conn) Peek() (socket.State, error) {
	state, pending, err := socket.PeekError(c.raw)
	c.met(Peek, pending)
	return state, err
}

// End returns how the data ended, and which call has met that.
func (c *Conn) End() (End, Call) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.end, c.endCall
}

// met records the end of the connection if err is one, and it is the first.
func (c *Conn) met(call Call, err error) {
	if err == nil || errors.IsAny(err, os.ErrDeadlineExceeded, net.ErrClosed) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.end == Aborted || errors.Is(err, io.EOF) && c.end != Open {
		return
	}
	c.endCall = call
	if !errors.Is(err, io.EOF) {
		c.end, c.failure = Aborted, err
		return
	}
	c.end = Closed
	if aborted, err := socket.Aborted(c.raw); err == nil && aborted {
		c.end, c.endCall = Aborted, NoCall
	}
}
