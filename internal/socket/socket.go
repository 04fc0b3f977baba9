// Package socket inspects TCP sockets without reading from them.
package socket

import (
	"syscall"

	"github.com/cockroachdb/errors"
)

// State is the state of the receiving side of a socket.
type State int

// States of a socket.
const (
	Idle     State = iota // open, no data available
	Readable              // data available
	Closed                // closed or reset by the peer, and all data was read
)

// Peek returns the state of a socket. It never blocks, even while another goroutine is reading:
// unlike RawConn.Read, RawConn.Control takes no read lock. It returns an error when the file
// descriptor is closed.
func Peek(raw syscall.RawConn) (State, error) {
	var n int
	var peekErr error
	err := raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, peekErr = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	switch {
	case err != nil:
		return Closed, errors.Wrap(err, "peek at socket")
	case errors.Is(peekErr, syscall.EAGAIN):
		return Idle, nil
	case peekErr != nil || n == 0:
		return Closed, nil
	default:
		return Readable, nil
	}
}
