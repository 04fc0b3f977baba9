package gateway

import (
	"io"
	"net"
	"os"
	"syscall"

	"github.com/cockroachdb/errors"
)

// incomingConn is an accepted connection of a caller that is not served yet.
type incomingConn interface {
	io.WriteCloser
	// peek copies the first bytes of the request to the buffer without consuming them, and
	// returns the filled part of the buffer. It is empty if nothing has arrived.
	peek(buffer []byte) []byte
	// netConn returns the connection as a net.Conn, registered with the runtime's poller.
	netConn() (net.Conn, error)
}

// inspectedConn is a connection with the account and the number of tokens of its request.
// They are zero if the request was not inspected, had not arrived or does not name them.
type inspectedConn struct {
	incomingConn
	account         string
	requestedTokens float64
}

// standardConn is a connection accepted by net.Listener.
type standardConn struct{ net.Conn }

func (c standardConn) peek(buffer []byte) (head []byte) {
	syscallConn, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := syscallConn.SyscallConn()
	if err != nil {
		return nil // closed: a later read returns the error
	}
	if err := raw.Control(func(fd uintptr) { head = fdConn(fd).peek(buffer) }); err != nil {
		return nil // closed
	}
	return head
}

func (c standardConn) netConn() (net.Conn, error) { return c.Conn, nil }

// fdConn is the file descriptor of a connection that is not registered with the runtime's
// poller. Registration and the system calls of net.Conn account for most of the cost of a
// refusal (BenchmarkUnreadRefusal).
type fdConn int

// Write implements incomingConn. The send buffer of a new connection is large enough for a
// whole refusal, so that partial writes do not occur.
func (c fdConn) Write(b []byte) (int, error) { return syscall.Write(int(c), b) }

// Close implements incomingConn.
func (c fdConn) Close() error { return syscall.Close(int(c)) }

func (c fdConn) peek(buffer []byte) []byte {
	n, _, err := syscall.Recvfrom(int(c), buffer, syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	if err != nil {
		return nil // nothing has arrived, or the connection failed: a later read ends, with the error or the end of the data
	}
	return buffer[:max(n, 0)]
}

func (c fdConn) netConn() (net.Conn, error) {
	file := os.NewFile(uintptr(c), "caller")
	defer file.Close() // net.FileConn duplicates the descriptor
	conn, err := net.FileConn(file)
	return conn, errors.Wrap(err, "convert file descriptor to net.Conn")
}
