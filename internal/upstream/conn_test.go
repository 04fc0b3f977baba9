package upstream

import (
	"bufio"
	"context"
	"io"
	"math"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/filbertrill/filbertrill/internal/http1"
)

// serveRaw accepts connections and calls write with each. It returns the address.
func serveRaw(t *testing.T, write func(conn net.Conn)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go write(conn)
		}
	}()
	return listener.Addr().String()
}

// endlessly writes start and then the text until the other side closes the connection.
func endlessly(start, text string) func(conn net.Conn) {
	return func(conn net.Conn) {
		defer conn.Close()
		_, err := conn.Write([]byte(start))
		for data := []byte(text); err == nil; { // converted once, as the test counts what is allocated
			_, err = conn.Write(data)
		}
	}
}

// allocatedBytes returns the bytes that the process has allocated so far.
func allocatedBytes() uint64 {
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.TotalAlloc
}

func TestHeadWithoutEndIsGivenUp(t *testing.T) {
	for name, write := range map[string]func(conn net.Conn){
		"line":              endlessly("", strings.Repeat("x", 4096)),
		"headers":           endlessly("HTTP/1.1 200 OK\r\n", strings.Repeat("X-Field: value\r\n", 200)),
		"interim responses": endlessly("", strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", 100)),
	} {
		address := serveRaw(t, write)
		pool := NewPool()
		conn, err := pool.Get(context.Background(), Endpoint{Address: address}, 0)
		require.NoError(t, err)
		time.AfterFunc(2*time.Second, func() { _ = conn.Close() })
		before, start := allocatedBytes(), time.Now()
		_, err = conn.Receive("GET")
		assert.ErrorIs(t, err, ErrHeadTooLong, name)
		assert.Less(t, time.Since(start), time.Second, name)
		assert.Less(t, allocatedBytes()-before, uint64(4<<20), "%s: bytes allocated", name)
		pool.Put(Endpoint{Address: address}, conn)
	}
}

// The pool's users charge requests and answers to links between zones.
func TestTrafficCountsBytesOfRequestsAndAnswers(t *testing.T) {
	client, server := net.Pipe()
	c := &Conn{Conn: &http1.Conn{Conn: client}, received: countingReader{reader: client}}
	c.limited = &io.LimitedReader{R: &c.received, N: math.MaxInt64}
	c.reader = bufio.NewReaderSize(c.limited, readBufferSize)
	answer := "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	go func() {
		_, _ = io.ReadFull(server, make([]byte, 9))
		_, _ = server.Write([]byte(answer))
	}()
	_, err := c.Send([]byte("head"), []byte("body5"))
	require.NoError(t, err)
	response, err := c.Receive(http.MethodPost)
	require.NoError(t, err)
	_, err = io.ReadAll(response.Body)
	require.NoError(t, err)
	sent, received := c.Traffic()
	assert.EqualValues(t, 9, sent)
	assert.EqualValues(t, len(answer), received)
}

// Guards against informational responses that are taken for the answer.
func TestInformationalResponsesAreSkipped(t *testing.T) {
	const final = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nright"
	for name, test := range map[string]struct {
		interim string
		fails   bool
	}{
		"100":                      {interim: "HTTP/1.1 100 Continue\r\n\r\n"},
		"102 with headers":         {interim: "HTTP/1.1 102 Processing\r\nX-Field: value\r\n\r\n"},
		"103 with length":          {interim: "HTTP/1.1 103 Early Hints\r\nContent-Length: 0\r\n\r\n"},
		"of no known status":       {interim: "HTTP/1.1 199 Other\r\n\r\n"},
		"several":                  {interim: strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", 20)},
		"switch of the protocol":   {interim: "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n", fails: true},
		"status that is too small": {interim: "HTTP/1.1 099 Other\r\n\r\n", fails: true},
		"zero":                     {interim: "HTTP/1.1 000 Other\r\n\r\n", fails: true},
	} {
		address := serveRaw(t, func(conn net.Conn) { _, _ = io.WriteString(conn, test.interim+final) })
		conn, err := NewPool().Get(context.Background(), Endpoint{Address: address}, 0)
		require.NoError(t, err)
		response, err := conn.Receive(http.MethodPost)
		if test.fails {
			assert.Error(t, err, name)
			_ = conn.Close()
			continue
		}
		require.NoError(t, err, name)
		assert.Equal(t, http.StatusOK, response.StatusCode, name)
		body, err := io.ReadAll(response.Body)
		require.NoError(t, err, name)
		assert.Equal(t, "right", string(body), name)
		_ = conn.Close()
	}
}
