package backend_test

import (
	"context"
	"io"
	"net"
	"runtime"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/filbertrill/filbertrill/internal/backend"
)

// Guards against a daemon that keeps a head without end of a server to which it sends an order.
func TestHeadWithoutEndOfOrderIsNotKept(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		_, err = io.WriteString(conn, "HTTP/1.1 200 OK\r\n")
		for chunk := strings.Repeat("a: b\r\n", 1000); err == nil; {
			_, err = io.WriteString(conn, chunk)
		}
	}()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	require.Error(t, backend.SendOrder(context.Background(), listener.Addr().String(), backend.Order{Kind: "x"}, nil))
	runtime.ReadMemStats(&after)
	allocated := after.TotalAlloc - before.TotalAlloc
	t.Logf("%d KB allocated", allocated>>10)
	require.Less(t, allocated, uint64(8<<20))
}
