// Package socket looks at TCP sockets without reading from them.
package socket

import (
	"syscall"

	"github.com/cockroachdb/errors"
)

// State is what the receiving side of a socket shows.
type State int

// The states of a socket.
const (
	Idle     State = iota // open, nothing to read
	Readable              // bytes wait
	Closed                // the other side has closed or reset it, and everything was read
)

// Peek returns the state of a socket. It never blocks, also while another goroutine waits
// for bytes: RawConn.Control takes no read lock, RawConn.Read would.
func Peek(raw syscall.RawConn) (State, error) {
	var n int
	var peekErr error
	err := raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, peekErr = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	switch {
	case err != nil:
		return Closed, errors.Wrap(err, "peek at a socket")
	case errors.Is(peekErr, syscall.EAGAIN):
		return Idle, nil
	case peekErr != nil || n == 0:
		return Closed, nil
	default:
		return Readable, nil
	}
}
