package forward

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/filbertrill/filbertrill/internal/routing"
)

// unframedHead is the head of an answer that ends with its connection.
const unframedHead = "HTTP/1.1 200 OK\r\nId: id\r\n\r\n"

// readUnframed sends a request to servers of which the first one writes the body without a length and closes the connection. If
// ends is set its process has ended then: nothing listens at its address any more. The other server sends the rest.
func readUnframed(t *testing.T, kind routing.Kind, body, rest string, ends bool) (status int, got string, complete bool, requests int) {
	t.Helper()
	var mu sync.Mutex
	gateway := startGateway(t, routing.Route{Kind: kind, Resumable: kind == routing.Stream}, func(listener net.Listener, conn net.Conn) {
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
			_ = conn.Close()
			return // a connection to see whether the server is there
		}
		mu.Lock()
		requests++
		first := requests == 1
		mu.Unlock()
		if !first {
			for _, text := range streamAnswer(rest) {
				_, _ = io.WriteString(conn, text)
			}
			_ = conn.Close()
			return
		}
		_, _ = io.WriteString(conn, unframedHead+body)
		if ends {
			_ = listener.Close()
		}
		_ = conn.Close()
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

// Guards against answers without a length that are taken for complete, although the process of their server was killed.
func TestAnswerWithoutLengthOfKilledServerIsNotComplete(t *testing.T) {
	for _, ends := range []bool{false, true} {
		t.Run(fmt.Sprintf("server ends %t", ends), func(t *testing.T) {
			_, body, complete, requests := readUnframed(t, routing.Stream, events(1, 3), events(4, lastEvent), ends)
			assert.True(t, complete)
			if ends {
				assert.Equal(t, events(1, lastEvent), body, "continued by the other server")
				assert.Equal(t, 2, requests)
			} else {
				assert.Equal(t, events(1, 3), body)
				assert.Equal(t, 1, requests)
			}
			status, body, complete, requests := readUnframed(t, routing.Unrepeatable, "part of the body", "", ends)
			assert.Equal(t, 1, requests)
			if ends {
				assert.Equal(t, http.StatusBadGateway, status, body)
			} else {
				assert.Equal(t, http.StatusOK, status)
				assert.Equal(t, "part of the body", body)
				assert.True(t, complete)
			}
		})
	}
}
