// Package socket inspects TCP sockets without reading from them, and sets how they end.
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

// SetResetOnClose sets whether the connection is reset when it is closed, also when the kernel closes it because the process has
// ended. Bytes that were not sent yet are then lost. It returns an error when the file descriptor is closed.
func SetResetOnClose(raw syscall.RawConn, on bool) error {
	linger := syscall.Linger{}
	if on {
		linger.Onoff = 1 // and zero seconds
	}
	var setErr error
	err := raw.Control(func(fd uintptr) {
		setErr = syscall.SetsockoptLinger(int(fd), syscall.SOL_SOCKET, syscall.SO_LINGER, &linger)
	})
	return errors.Wrap(errors.CombineErrors(err, setErr), "set linger option")
}
