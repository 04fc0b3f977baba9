package gateway

import (
	"io"
	"net"
	"os"
	"syscall"

	"github.com/cockroachdb/errors"
)

// incomingConn is a connection of a caller that has not been served yet.
type incomingConn interface {
	io.WriteCloser
	// peek returns the begin of the request without taking it from the connection, in the
	// buffer; nothing when nothing has arrived.
	peek(buffer []byte) []byte
	// known returns the connection for the runtime to serve.
	netConn() (net.Conn, error)
}

// waitingCaller is a connection with what its request says of itself, as far as it has
// arrived and was looked at.
type inspectedConn struct {
	incomingConn
	account         string
	requestedTokens float64 // that it asks for
}

// runtimeConn is a connection that the runtime has accepted.
type standardConn struct{ net.Conn }

func (c standardConn) peek(buffer []byte) (head []byte) {
	syscallConn, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := syscallConn.SyscallConn()
	if err != nil {
		return nil // closed: reading it will tell
	}
	if err := raw.Control(func(fd uintptr) { head = fdConn(fd).peek(buffer) }); err != nil {
		return nil // closed
	}
	return head
}

func (c standardConn) netConn() (net.Conn, error) { return c.Conn, nil }

// rawConn is the descriptor of a connection that the runtime does not know: its poller, and
// what net.Conn asks of the kernel, take most of what a refusal costs (BenchmarkUnreadRefusal).
type fdConn int

// Write implements incomingConn. The buffer of a new connection takes the answer whole.
func (c fdConn) Write(b []byte) (int, error) { return syscall.Write(int(c), b) }

// Close implements incomingConn.
func (c fdConn) Close() error { return syscall.Close(int(c)) }

func (c fdConn) peek(buffer []byte) []byte {
	n, _, err := syscall.Recvfrom(int(c), buffer, syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	if err != nil {
		return nil // not arrived yet, or a caller that left: reading it will tell
	}
	return buffer[:max(n, 0)]
}

func (c fdConn) netConn() (net.Conn, error) {
	file := os.NewFile(uintptr(c), "caller")
	defer file.Close() // net.FileConn duplicates it
	conn, err := net.FileConn(file)
	return conn, errors.Wrap(err, "take over a connection")
}
