package forward

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/filbertrill/filbertrill/internal/routing"
)

// fullServers accept connections until they are full, and reset all others. They answer the first requests with a length, further ones without.
type fullServers struct {
	killed bool // the process of the answer without a length is, behind it
	atOnce int  // number of answers with a length, which are sent once all their requests have arrived

	mu       sync.Mutex
	conns    map[string][]net.Conn // by address of the server
	ended    map[string]bool
	full     bool
	requests int
	begins   chan struct{} // closed when the answers with a length begin
}

func (s *fullServers) accept(address string, conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.full || s.ended[address] {
		_ = conn.(*net.TCPConn).SetLinger(0) // fails on closed connections only
		return false
	}
	s.conns[address] = append(s.conns[address], conn)
	return true
}

func (s *fullServers) serve(listener net.Listener, conn net.Conn) {
	defer conn.Close()
	address := listener.Addr().String()
	if !s.accept(address, conn) {
		return
	}
	for reader := bufio.NewReader(conn); ; {
		request, err := http.ReadRequest(reader)
		s.mu.Lock()
		ended := s.ended[address]
		s.mu.Unlock()
		switch {
		case err != nil || ended:
			return
		case request.Method == http.MethodOptions:
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		case s.isWhole():
			<-s.begins
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: id\r\nContent-Length: 5\r\n\r\nwhole")
		default:
			_, _ = io.WriteString(conn, unframedHead+"without a length")
			if s.killed {
				s.kill(listener)
			}
			return
		}
	}
}

// isWhole reports whether the next answer has a length: the first ones have.
func (s *fullServers) isWhole() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requests++
	if s.requests == s.atOnce {
		close(s.begins)
	}
	return s.requests <= s.atOnce
}

func (s *fullServers) kill(listener net.Listener) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended[listener.Addr().String()] = true
	_ = listener.Close()
	for _, conn := range s.conns[listener.Addr().String()] {
		_ = conn.Close()
	}
}

// Guards against whole answers without a length that are cut because their server accepts no connection for the question whether it runs,
// or because no answer of its service was without a length before.
func TestAnswerWithoutLengthOfFullServerIsConfirmedOnConnectionOfThePool(t *testing.T) {
	for _, killed := range []bool{false, true} {
		s := &fullServers{killed: killed, atOnce: 8, conns: map[string][]net.Conn{}, ended: map[string]bool{}, begins: make(chan struct{})}
		gateway := startGateway(t, routing.Route{Kind: routing.Unrepeatable}, s.serve)
		get := func() (status int, body string, err error) {
			request, err := http.NewRequest(http.MethodGet, gateway.URL, nil)
			require.NoError(t, err)
			request.Host = "h"
			response, err := gateway.Client().Do(request)
			if err != nil {
				return 0, "", err
			}
			defer response.Body.Close()
			data, err := io.ReadAll(response.Body)
			return response.StatusCode, string(data), err
		}
		var whole sync.WaitGroup
		for range s.atOnce {
			whole.Go(func() {
				_, body, err := get()
				assert.NoError(t, err)
				assert.Equal(t, "whole", body)
			})
		}
		whole.Wait()
		s.mu.Lock()
		s.full = true
		s.mu.Unlock()
		for range 2 {
			status, body, err := get()
			if killed {
				assert.Equal(t, http.StatusBadGateway, status, body)
				continue
			}
			require.NoError(t, err)
			assert.Equal(t, http.StatusOK, status, body)
			assert.Equal(t, "without a length", body)
		}
	}
}
