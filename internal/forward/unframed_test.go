package forward

import (
	"bufio"
	"io"
	"log"
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/filbertrill/filbertrill/internal/routing"
	"github.com/filbertrill/filbertrill/test/rawserver"
)

// unframedHead is the head of an answer that ends with its connection.
const unframedHead = "HTTP/1.1 200 OK\r\nId: id\r\n\r\n"

// serverEnd is what happens to the process of a server when it has sent a part of an answer.
type serverEnd string

const (
	runsOn       serverEnd = "runs on"
	killed       serverEnd = "is killed"
	startedAgain serverEnd = "is killed and started again at its address"
)

// readUnframed sends a request to servers of which the first one writes the body without a length and closes the connection. The other server
// sends the rest.
func readUnframed(t *testing.T, kind routing.Kind, body, rest string, end serverEnd) (status int, got string, complete bool, requests int) {
	t.Helper()
	var mu sync.Mutex
	conns, ended := map[string][]net.Conn{}, map[string]bool{} // by address of the server
	hasEnded := func(address string) bool {
		mu.Lock()
		defer mu.Unlock()
		return ended[address]
	}
	gateway := startGateway(t, routing.Route{Kind: kind, Resumable: kind == routing.Stream}, func(listener net.Listener, conn net.Conn) {
		defer conn.Close()
		address := listener.Addr().String()
		mu.Lock()
		conns[address] = append(conns[address], conn)
		mu.Unlock()
		request, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil || hasEnded(address) || answerPing(conn, request) {
			return
		}
		mu.Lock()
		requests++
		first := requests == 1
		mu.Unlock()
		if !first {
			for _, text := range streamAnswer(rest) {
				_, _ = io.WriteString(conn, text)
			}
			return
		}
		_, _ = io.WriteString(conn, unframedHead+body)
		if end == runsOn {
			return
		}
		mu.Lock()
		defer mu.Unlock()
		ended[address] = true
		_ = listener.Close()
		for _, other := range conns[address] {
			if other != conn {
				_ = other.Close()
			}
		}
		if end == startedAgain {
			next := rawserver.StartProcess(t, address, func(conn *net.TCPConn, request *http.Request) bool {
				if answerPing(conn, request) {
					return false
				}
				_, _ = io.WriteString(conn, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
				return true
			})
			assert.Equal(t, address, next.Address)
		}
	})
	request, err := http.NewRequest(http.MethodGet, gateway.URL, nil)
	require.NoError(t, err)
	request.Host = "h"
	response, err := gateway.Client().Do(request)
	require.NoError(t, err)
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	mu.Lock()
	defer mu.Unlock()
	return response.StatusCode, string(data), err == nil, requests
}

// Guards against answers without a length that are taken for complete, although the process of their server was killed, and another one may
// answer at its address.
func TestAnswerWithoutLengthOfKilledServerIsNotComplete(t *testing.T) {
	for _, end := range []serverEnd{runsOn, killed, startedAgain} {
		t.Run("server "+string(end), func(t *testing.T) {
			_, body, complete, requests := readUnframed(t, routing.Stream, events(1, 3), events(4, lastEvent), end)
			assert.True(t, complete)
			if end == runsOn {
				assert.Equal(t, events(1, 3), body)
				assert.Equal(t, 1, requests)
			} else {
				assert.Equal(t, events(1, lastEvent), body, "continued by the other server")
				assert.Equal(t, 2, requests)
			}
			status, body, complete, requests := readUnframed(t, routing.Unrepeatable, "part of the body", "", end)
			assert.Equal(t, 1, requests)
			if end == runsOn {
				assert.Equal(t, http.StatusOK, status)
				assert.Equal(t, "part of the body", body)
				assert.True(t, complete)
			} else {
				assert.Equal(t, http.StatusBadGateway, status, body)
			}
		})
	}
}

// Guards against streams that end by a panic and look complete to callers whose answers have no chunks.
func TestPanicInStreamLooksIncompleteWithoutChunks(t *testing.T) {
	s := &scriptedServers{scripts: [][]string{streamAnswer(events(1, 1), events(2, 2), events(3, lastEvent))}}
	gateway := startGateway(t, routing.Route{Kind: routing.Stream}, func(_ net.Listener, conn net.Conn) { s.serve(conn) })
	gateway.Config.ErrorLog = log.New(io.Discard, "", 0)
	gateway.Config.Handler.(*Handler).Overloaded = func() bool { panic("after the first events") }
	conn, err := net.Dial("tcp", gateway.Listener.Addr().String())
	require.NoError(t, err)
	defer conn.Close()
	_, err = io.WriteString(conn, "GET / HTTP/1.0\r\nHost: h\r\n\r\n")
	require.NoError(t, err)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	body, err := io.ReadAll(response.Body)
	assert.Equal(t, events(1, 1), string(body))
	assert.ErrorIs(t, err, syscall.ECONNRESET)
}
