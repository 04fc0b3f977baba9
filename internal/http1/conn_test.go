package http1

import (
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"github.com/filbertrill/filbertrill/internal/socket"
)

// connect returns both sides of a connection.
func connect(t *testing.T) (*Conn, *net.TCPConn) {
	t.Helper()
	accepted := make(chan *net.TCPConn, 1)
	address := listen(t, func(conn *net.TCPConn, _ int) {
		accepted <- conn
		<-t.Context().Done()
	})
	netConn, err := net.Dial("tcp", address)
	require.NoError(t, err)
	conn, err := NewConn(netConn)
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	require.NoError(t, conn.SetDeadline(time.Now().Add(10*time.Second)))
	return conn, <-accepted
}

func reset(t *testing.T, server *net.TCPConn) {
	t.Helper()
	require.NoError(t, server.SetLinger(0))
	require.NoError(t, server.Close())
}

// awaitState waits until the kernel has the connection in the state, one of Linux's TCP states.
func awaitState(t *testing.T, conn *Conn, state uint8) {
	t.Helper()
	require.Eventually(t, func() bool {
		var info *unix.TCPInfo
		var infoErr error
		err := conn.Raw().Control(func(fd uintptr) { info, infoErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) })
		return err == nil && infoErr == nil && info.State == state
	}, 5*time.Second, time.Millisecond)
}

const (
	stateClosed    = 7
	stateCloseWait = 8
)

// ends are the ways in which a server ends a connection behind what it has written. begin brings it about, and returns once the kernel of
// this side knows.
var ends = map[string]struct {
	begin          func(t *testing.T, conn *Conn, server *net.TCPConn)
	end            End
	resetsOnWrites bool // at any time after a write: see TestResetByWriteBehindFINIsNotAnEnd
}{
	"FIN": {func(t *testing.T, conn *Conn, server *net.TCPConn) {
		require.NoError(t, server.CloseWrite())
		awaitState(t, conn, stateCloseWait)
	}, Closed, false},
	"close": {func(t *testing.T, conn *Conn, server *net.TCPConn) {
		require.NoError(t, server.Close())
		awaitState(t, conn, stateCloseWait)
	}, Closed, true},
	"reset": {func(t *testing.T, conn *Conn, server *net.TCPConn) {
		reset(t, server)
		awaitState(t, conn, stateClosed)
	}, Aborted, false},
	"FIN then reset": {func(t *testing.T, conn *Conn, server *net.TCPConn) {
		require.NoError(t, server.CloseWrite())
		awaitState(t, conn, stateCloseWait)
		reset(t, server)
		awaitState(t, conn, stateClosed)
	}, Aborted, false},
	"close with unread data": {func(t *testing.T, conn *Conn, server *net.TCPConn) {
		_, err := conn.Write([]byte("unread"))
		require.NoError(t, err)
		raw, err := server.SyscallConn()
		require.NoError(t, err)
		require.Eventually(t, func() bool {
			state, err := socket.Peek(raw)
			return err == nil && state == socket.Readable
		}, 5*time.Second, time.Millisecond)
		require.NoError(t, server.Close())
		awaitState(t, conn, stateClosed)
	}, Aborted, false},
}

// calls are the calls that may come between the end of a connection and the read that follows.
var calls = map[string]func(conn *Conn){
	"none":          func(*Conn) {},
	"peek":          func(c *Conn) { _, _ = c.Peek() },
	"two peeks":     func(c *Conn) { _, _ = c.Peek(); _, _ = c.Peek() },
	"write":         func(c *Conn) { _, _ = c.Write([]byte("a")) },
	"write buffers": func(c *Conn) { _, _ = c.WriteBuffers(&net.Buffers{[]byte("a"), []byte("b")}) },
	"two writes":    func(c *Conn) { _, _ = c.Write([]byte("a")); _, _ = c.Write([]byte("a")) },
	"peek, write":   func(c *Conn) { _, _ = c.Peek(); _, _ = c.Write([]byte("a")) },
	"write, peek":   func(c *Conn) { _, _ = c.Write([]byte("a")); _, _ = c.Peek() },
}

func TestEndOfDataIsBelievedOnlyBehindFINAlone(t *testing.T) {
	for endName, e := range ends {
		for callName, callBefore := range calls {
			if e.resetsOnWrites && strings.Contains(callName, "write") {
				continue
			}
			for _, data := range []string{"", "part"} {
				t.Run(endName+", "+callName+", "+data, func(t *testing.T) {
					conn, server := connect(t)
					_, err := io.WriteString(server, data)
					require.NoError(t, err)
					e.begin(t, conn, server)
					callBefore(conn)
					got, err := io.ReadAll(conn)
					assert.Equal(t, data, string(got))
					if e.end == Aborted {
						assert.Error(t, err)
					} else {
						assert.NoError(t, err)
					}
					end, _ := conn.End()
					assert.Equal(t, e.end, end)
					_, again := conn.Read(make([]byte, 1)) // not taken for another end later
					assert.Equal(t, e.end == Closed, errors.Is(again, io.EOF), "%v", again)
				})
			}
		}
	}
}

func TestResetByWriteBehindFINIsNotAnEnd(t *testing.T) {
	conn, server := connect(t)
	_, err := io.WriteString(server, "part")
	require.NoError(t, err)
	require.NoError(t, server.Close())
	awaitState(t, conn, stateCloseWait)
	_, err = conn.Write([]byte("a"))
	require.NoError(t, err)
	awaitState(t, conn, stateClosed)
	got, err := io.ReadAll(conn)
	assert.Equal(t, "part", string(got))
	assert.ErrorIs(t, err, syscall.EPIPE)
	end, _ := conn.End()
	assert.Equal(t, Aborted, end)
}

func TestEndNamesTheCallThatMetIt(t *testing.T) {
	for name, c := range map[string]struct {
		meet func(conn *Conn)
		call Call
	}{
		"read":          {func(c *Conn) { _, _ = c.Read(make([]byte, 1)) }, Read},
		"peek":          {calls["peek"], Peek},
		"write":         {calls["write"], Write},
		"write buffers": {calls["write buffers"], Write},
	} {
		t.Run(name, func(t *testing.T) {
			conn, server := connect(t)
			end, call := conn.End()
			assert.Equal(t, Open, end)
			assert.Equal(t, NoCall, call)
			ends["reset"].begin(t, conn, server)
			c.meet(conn)
			calls["two writes"](conn)
			calls["peek"](conn)
			_, err := io.ReadAll(conn)
			assert.ErrorIs(t, err, syscall.ECONNRESET)
			end, call = conn.End()
			assert.Equal(t, Aborted, end)
			assert.Equal(t, c.call, call)
		})
	}
	t.Run("FIN", func(t *testing.T) {
		conn, server := connect(t)
		ends["FIN"].begin(t, conn, server)
		_, err := io.ReadAll(conn)
		require.NoError(t, err)
		end, call := conn.End()
		assert.Equal(t, Closed, end)
		assert.Equal(t, Read, call)
	})
}

func TestResetBehindAnEndThatWasReadIsRecorded(t *testing.T) {
	conn, server := connect(t)
	ends["FIN"].begin(t, conn, server)
	_, err := io.ReadAll(conn)
	require.NoError(t, err)
	reset(t, server)
	awaitState(t, conn, stateClosed)
	calls["peek"](conn)
	_, err = conn.Read(make([]byte, 1))
	assert.Error(t, err)
	assert.False(t, errors.Is(err, io.EOF))
}

// Guards against a read that gets the end of the data while another call holds the error that it has taken.
func TestResetThatMeetsSeveralCallsAtOnceIsNotAnEnd(t *testing.T) {
	for range 200 {
		conn, server := connect(t)
		_, err := io.WriteString(server, "part")
		require.NoError(t, err)
		var wait sync.WaitGroup
		var stop atomic.Bool
		for range 2 {
			wait.Go(func() {
				for !stop.Load() {
					_, _ = conn.Peek()
				}
			})
			wait.Go(func() {
				block := make([]byte, 64<<10)
				for !stop.Load() {
					if _, err := conn.Write(block); err != nil {
						return
					}
				}
			})
		}
		wait.Go(func() {
			_ = server.SetLinger(0)
			_ = server.Close()
		})
		_, err = io.ReadAll(conn)
		assert.Error(t, err)
		stop.Store(true)
		wait.Wait()
		end, call := conn.End()
		assert.Equal(t, Aborted, end, "call %s", call)
		_ = conn.Close()
	}
}

func TestDeadlineAndOwnCloseAreNotEndsOfTheData(t *testing.T) {
	conn, server := connect(t)
	require.NoError(t, conn.SetDeadline(time.Now().Add(-time.Second)))
	_, err := conn.Read(make([]byte, 1))
	assert.ErrorIs(t, err, os.ErrDeadlineExceeded)
	_, err = conn.Write([]byte("a"))
	assert.ErrorIs(t, err, os.ErrDeadlineExceeded)
	end, _ := conn.End()
	assert.Equal(t, Open, end)

	require.NoError(t, conn.SetDeadline(time.Time{}))
	_, err = io.WriteString(server, "whole")
	require.NoError(t, err)
	ends["FIN"].begin(t, conn, server)
	got, err := io.ReadAll(conn)
	require.NoError(t, err)
	assert.Equal(t, "whole", string(got))

	require.NoError(t, conn.Close())
	_, err = conn.Read(make([]byte, 1))
	assert.ErrorIs(t, err, net.ErrClosed)
	_, err = conn.Peek()
	assert.Error(t, err)
	end, _ = conn.End()
	assert.Equal(t, Closed, end)
}

// errorConn is a connection whose reads end with the error.
type errorConn struct {
	*net.TCPConn
	err error
}

func (c errorConn) Read([]byte) (int, error) { return 0, c.err }

// Guards against errors of the socket that are taken for deadlines since their Timeout is true.
func TestConnectionThatHasTimedOutIsAborted(t *testing.T) {
	conn, _ := connect(t)
	timedOut := &net.OpError{Op: "read", Net: "tcp", Err: os.NewSyscallError("read", syscall.ETIMEDOUT)}
	require.True(t, timedOut.Timeout())
	conn.Conn = errorConn{conn.Conn.(*net.TCPConn), timedOut}
	_, err := conn.Read(make([]byte, 1))
	assert.ErrorIs(t, err, syscall.ETIMEDOUT)
	conn.Conn = errorConn{conn.Conn.(errorConn).TCPConn, io.EOF}
	_, err = conn.Read(make([]byte, 1))
	assert.ErrorIs(t, err, syscall.ETIMEDOUT)
	end, call := conn.End()
	assert.Equal(t, Aborted, end)
	assert.Equal(t, Read, call)
}

// Guards against an end that is believed though the state of its connection can't be seen.
func TestEndOfDataIsNotBelievedWithoutStateOfConnection(t *testing.T) {
	pair, err := syscall.Socketpair(syscall.AF_UNIX, syscall.SOCK_STREAM, 0)
	require.NoError(t, err)
	file := os.NewFile(uintptr(pair[0]), "")
	netConn, err := net.FileConn(file)
	require.NoError(t, err)
	require.NoError(t, file.Close())
	conn, err := NewConn(netConn)
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	require.NoError(t, syscall.Close(pair[1]))
	_, err = conn.Read(make([]byte, 1))
	assert.False(t, errors.Is(err, io.EOF), "%v", err)
	assert.Error(t, err)
}
