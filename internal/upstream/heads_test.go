package upstream

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// headOf returns a head of about the size, with many short fields.
func headOf(size int) string {
	var b strings.Builder
	b.WriteString("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n")
	for n := 0; b.Len() < size-2; n++ {
		fmt.Fprintf(&b, "%x:\n", n)
	}
	return b.String() + "\r\n"
}

// Guards against a daemon that ends for its memory, because the heads of many answers in progress have thousands of fields each.
func TestHeadsOfManyAnswersStayWithinMemory(t *testing.T) {
	const answers, maxGrowth = 200, 64 << 20 // about a third of the smallest machine's memory
	for _, size := range []int{15 << 10, 63 << 10} {
		head := headOf(size)
		address := serveRaw(t, func(conn net.Conn) { _, _ = io.WriteString(conn, head) })
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		pool := NewPool()
		var connections []*Conn
		var responses []*http.Response
		for range answers {
			conn, err := pool.Get(context.Background(), Endpoint{Address: address}, 0)
			require.NoError(t, err)
			connections = append(connections, conn)
			response, err := conn.Receive(http.MethodGet)
			if err != nil {
				assert.ErrorIs(t, err, ErrHeadTooLong)
			}
			responses = append(responses, response)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		growth := after.HeapAlloc - before.HeapAlloc
		t.Logf("heads of %d KB: %d MB", size>>10, growth>>20)
		assert.Less(t, growth, uint64(maxGrowth))
		runtime.KeepAlive(responses)
		for _, conn := range connections {
			_ = conn.Close()
		}
	}
}

// Guards against a bound that cuts off the heads of sound servers.
func TestHeadOfUsualSizeIsRead(t *testing.T) {
	address := serveRaw(t, func(conn net.Conn) { _, _ = io.WriteString(conn, headOf(12<<10)+"right") })
	conn, err := NewPool().Get(context.Background(), Endpoint{Address: address}, 0)
	require.NoError(t, err)
	defer conn.Close()
	response, err := conn.Receive(http.MethodGet)
	require.NoError(t, err)
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	assert.Equal(t, "right", string(body))
}

// Guards against heads of usual size, or bodies, for which memory is reserved, and against large ones for which none is.
func TestOnlyLargeHeadsReserveMemory(t *testing.T) {
	events := strings.Repeat("id: 1\ndata: x\n\n", 1000)
	usual := "HTTP/1.1 200 OK\r\n" + strings.Repeat("X-Usual-Field: with a value of some length\r\n", 20) + "\r\n"
	interim := "HTTP/1.1 103 Early Hints\r\n" + strings.Repeat("a:\r\n", 20) + "\r\n"
	for name, c := range map[string]struct {
		answer   string
		reserves bool
	}{
		"usual":        {usual + events, false},
		"interim":      {interim + usual + events, true},
		"no fields":    {"HTTP/1.1 200 OK\n\n" + events, false},
		"short fields": {headOf(15<<10) + events, true},
		"long line":    {"HTTP/1.1 200 OK\r\na: " + strings.Repeat("x", 14<<10) + "\r\n\r\n" + events, true},
	} {
		address := serveRaw(t, func(conn net.Conn) {
			defer conn.Close()
			_, _ = io.WriteString(conn, c.answer)
		})
		for _, refused := range []bool{false, true} {
			conn, err := NewPool().Get(context.Background(), Endpoint{Address: address}, 0)
			require.NoError(t, err)
			reserved := 0
			conn.ReserveHeads(func(bytes int) error {
				if refused {
					return io.ErrNoProgress
				}
				reserved += bytes
				return nil
			})
			response, err := conn.Receive(http.MethodGet)
			if refused && c.reserves {
				assert.ErrorIs(t, err, io.ErrNoProgress, name)
			} else if assert.NoError(t, err, name) {
				body, err := io.ReadAll(response.Body)
				assert.NoError(t, err, name)
				assert.NotEmpty(t, body, name)
				assert.True(t, strings.HasPrefix(events, string(body)), name)
			}
			assert.Equal(t, reserved, conn.ReleaseHeads(), name)
			assert.Equal(t, c.reserves && !refused, reserved > 0, name)
			_ = conn.Close()
		}
	}
}
