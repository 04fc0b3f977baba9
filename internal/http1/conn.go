// Package http1 keeps what the kernel and net/http would pass over in answers of HTTP/1.1 servers: errors of a connection that are
// reported once, and heads, chunks and trailers that are not valid (RFC 9112).
package http1

import (
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
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

// errAborted stands for the error of an aborted connection that no call of Conn has met.
var errAborted = errors.Wrap(syscall.ECONNRESET, "connection has ended in both directions")

// Conn is a connection on which answers arrive. The kernel reports an error of a socket to one call, and to later reads the end of the
// data. Conn keeps the error, and its reads report that instead. Its methods may be called by several goroutines.
type Conn struct {
	net.Conn
	raw syscall.RawConn

	mu      sync.Mutex
	end     End
	endCall Call          // that met the end
	failure error         // of an aborted connection
	head    *expectedHead // of the next answer; nil for none
	chunks  *ChunkChecker // of the body behind the last head; nil if it has none
	invalid error         // of a head or of chunks, for all further reads; only the goroutine that reads uses it
}

// expectedHead is the head of the answer to one request.
type expectedHead struct {
	method  string      // of the request
	checker HeadChecker // of the next informational response or the final head
	begun   bool        // a part was read
	arrived atomic.Bool // the final head was read
	invalid atomic.Pointer[error]
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
	if c.invalid != nil {
		return 0, c.invalid
	}
	n, err := c.Conn.Read(p)
	begun, checkErr := c.check(p[:n])
	if checkErr == nil {
		return n, c.met(Read, err)
	}
	c.invalid = checkErr // a bufio.Reader drops an error that it gets within a line, and reads on
	if begun {
		return 0, checkErr
	}
	return 1, nil // net/http sends some requests again if the first read of an answer fails
}

// expectHead makes Read check the head of the next answer, informational responses before it and chunks behind it. method is that of the
// request. The connection may expect the head of another answer as soon as this one has arrived.
func (c *Conn) expectHead(method string) *expectedHead {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.head, c.chunks = &expectedHead{method: method}, nil
	return c.head
}

// check checks the part of p that belongs to an expected head or to chunks. begun reports whether a part of the answer was read before.
func (c *Conn) check(p []byte) (begun bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	head := c.head
	switch {
	case len(p) == 0:
		return false, nil
	case head == nil && c.chunks != nil:
		return true, c.chunks.Check(p)
	case head == nil:
		return false, nil
	}
	begun, head.begun = head.begun, true
	for len(p) > 0 {
		n, complete, err := head.checker.Check(p)
		if err != nil {
			head.invalid.Store(&err)
			return begun, err
		}
		p = p[n:]
		switch {
		case complete && head.checker.Status() >= firstFinalStatus:
			head.arrived.Store(true)
			c.head = nil
			if !head.checker.Chunked() || !MayHaveBody(head.method, head.checker.Status()) {
				return begun, nil
			}
			c.chunks = &ChunkChecker{}
			if err := c.chunks.Check(p); err != nil {
				head.invalid.Store(&err)
				return begun, err
			}
			return begun, nil
		case complete:
			head.checker = HeadChecker{}
		}
	}
	return begun, nil
}

// Write implements io.Writer.
func (c *Conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	return n, c.met(Write, err)
}

// WriteBuffers writes the buffers with as few system calls as possible, and consumes what was written.
func (c *Conn) WriteBuffers(buffers *net.Buffers) (int64, error) {
	n, err := buffers.WriteTo(c.Conn)
	return n, c.met(Write, err)
}

// Peek returns the state of the socket. It never blocks. It returns an error when the connection was closed by this side.
func (c *Conn) Peek() (socket.State, error) {
	state, pending, err := socket.PeekError(c.raw)
	_ = c.met(Peek, pending)
	return state, err
}

// End returns how the data ended, and which call has met that.
func (c *Conn) End() (End, Call) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.end, c.endCall
}

// met records the end of the connection if err is one, and returns the error to report: the end of the data is that of an aborted connection
// if any call has met an error, or the socket has ended in both directions, and an error if the state of the socket can't be read.
func (c *Conn) met(call Call, err error) error {
	if err == nil || errors.IsAny(err, os.ErrDeadlineExceeded, net.ErrClosed) {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if !errors.Is(err, io.EOF) {
		if c.end != Aborted {
			c.end, c.endCall, c.failure = Aborted, call, err
		}
		return err
	}
	if c.end != Aborted {
		aborted, stateErr := socket.Aborted(c.raw)
		switch {
		case stateErr != nil: // not a TCP connection, or closed by this side meanwhile
			return errors.Wrap(stateErr, "read the end of the data")
		case aborted:
			c.end, c.endCall, c.failure = Aborted, NoCall, errAborted
			if pending, _ := socket.TakeError(c.raw); pending != nil { // none if another call has taken it and not recorded it yet
				c.failure = pending
			}
		case c.end == Open:
			c.end, c.endCall = Closed, call
		}
	}
	if c.end == Aborted {
		return c.failure
	}
	return err
}
