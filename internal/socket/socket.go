// Package socket inspects TCP sockets without reading from them, and sets how they end.
package socket

import (
	"syscall"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
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
// descriptor is closed. It may take a pending error of the socket, after which reads return the end of the data.
func Peek(raw syscall.RawConn) (State, error) {
	state, _, err := PeekError(raw)
	return state, err
}

// PeekError is Peek, and returns the pending error of the socket, which the kernel reports to no later call.
func PeekError(raw syscall.RawConn) (state State, pending, err error) {
	var n int
	var peekErr error
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, peekErr = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	switch {
	case err != nil:
		return Closed, nil, errors.Wrap(err, "peek at socket")
	case errors.Is(peekErr, syscall.EAGAIN):
		return Idle, nil, nil
	case peekErr != nil:
		return Closed, errors.Wrap(peekErr, "peek at socket"), nil
	case n == 0:
		return Closed, nil, nil
	default:
		return Readable, nil, nil
	}
}

// tcpStateClosed is Linux's TCP_CLOSE. The state after the other side has closed its sending side is another one.
const tcpStateClosed = 7

// Aborted reports whether a TCP connection that this side has not closed has ended in both directions: it was reset or timed out. Other than
// errors of the socket, the kernel reports that as often as it is asked. It returns an error when the file descriptor is closed.
func Aborted(raw syscall.RawConn) (bool, error) {
	info, err := tcpInfo(raw)
	if err != nil {
		return false, err
	}
	return info.State == tcpStateClosed, nil
}

// Acknowledged reports whether the other side's kernel has acknowledged all bytes that were written to a TCP connection. It returns an error
// when the connection has ended in both directions, or the file descriptor is closed.
func Acknowledged(raw syscall.RawConn) (bool, error) {
	info, err := tcpInfo(raw)
	switch {
	case err != nil:
		return false, err
	case info.State == tcpStateClosed:
		return false, errors.Wrap(syscall.ECONNRESET, "connection has ended")
	}
	return info.Unacked == 0 && info.Notsent_bytes == 0, nil
}

func tcpInfo(raw syscall.RawConn) (*unix.TCPInfo, error) {
	var info *unix.TCPInfo
	var infoErr error
	err := raw.Control(func(fd uintptr) {
		info, infoErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	return info, errors.Wrap(errors.CombineErrors(err, infoErr), "get state of TCP connection")
}

// TakeError returns the pending error of the socket, which the kernel reports to no later call; nil for none. That of a reset is EPIPE if the
// other side had closed its sending side before, ECONNRESET else. It returns an error when the file descriptor is closed.
func TakeError(raw syscall.RawConn) (pending, err error) {
	var number int
	var optionErr error
	err = raw.Control(func(fd uintptr) {
		number, optionErr = syscall.GetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_ERROR)
	})
	if err = errors.CombineErrors(err, optionErr); err != nil {
		return nil, errors.Wrap(err, "get error of socket")
	}
	if number == 0 {
		return nil, nil
	}
	return errors.Wrap(syscall.Errno(number), "socket has failed"), nil
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
