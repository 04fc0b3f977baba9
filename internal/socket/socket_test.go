package socket

import (
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestPeekWhileAnotherGoroutineReads(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { require.NoError(t, listener.Close()) }()
	client, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	server, err := listener.Accept()
	require.NoError(t, err)
	raw, err := server.(*net.TCPConn).SyscallConn()
	require.NoError(t, err)
	state := func() State {
		s, err := Peek(raw)
		require.NoError(t, err)
		return s
	}
	requireBecomes := func(want State) {
		require.Eventually(t, func() bool { return state() == want }, 5*time.Second, time.Millisecond)
	}
	assert.Equal(t, Idle, state())
	_, err = client.Write([]byte("x"))
	require.NoError(t, err)
	requireBecomes(Readable)
	read := make(chan struct{})
	go func() {
		defer close(read)
		var b [1]byte
		_, _ = server.Read(b[:]) // the byte written above
		_, _ = server.Read(b[:]) // blocks until the client closes
	}()
	requireBecomes(Idle)
	require.NoError(t, client.Close())
	requireBecomes(Closed)
	<-read
	require.NoError(t, server.Close())
	_, err = Peek(raw)
	assert.Error(t, err, "the file descriptor is closed")
}

func TestResetOnClose(t *testing.T) {
	for _, settings := range [][]bool{{}, {true}, {true, false}} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		client, err := net.Dial("tcp", listener.Addr().String())
		require.NoError(t, err)
		server, err := listener.Accept()
		require.NoError(t, err)
		raw, err := server.(*net.TCPConn).SyscallConn()
		require.NoError(t, err)
		reset := false
		for _, on := range settings {
			require.NoError(t, SetResetOnClose(raw, on))
			reset = on
		}
		_, err = server.Write([]byte("x"))
		require.NoError(t, err)
		require.NoError(t, server.Close())
		received, err := io.ReadAll(client)
		assert.Equal(t, "x", string(received))
		if reset {
			assert.ErrorIs(t, err, syscall.ECONNRESET)
		} else {
			assert.NoError(t, err)
		}
		assert.Error(t, SetResetOnClose(raw, true), "the file descriptor is closed")
		require.NoError(t, client.Close())
		require.NoError(t, listener.Close())
	}
}
