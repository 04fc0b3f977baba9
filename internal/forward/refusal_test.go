package forward

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/filbertrill/filbertrill/internal/routing"
)

const (
	soundAnswer = "HTTP/1.1 200 OK\r\nId: id\r\nContent-Length: 5\r\n\r\nright"
	// refusalWithoutID is how servers refuse requests.
	refusalWithoutID = "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nContent-Length: 4\r\n\r\nbusy"
	failureWithoutID = "HTTP/1.1 500 Failed\r\nContent-Length: 6\r\n\r\nfailed"
)

// strayServer runs each request, and writes bytes that belong to none before its answers. It counts requests.
type strayServer struct {
	mu       sync.Mutex
	requests int
	stray    func(requestOfConn int) string
	answer   func(requestOfConn int) string // empty for none
}

func (s *strayServer) serve(_ net.Listener, conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for n := 1; ; n++ {
		if _, err := http.ReadRequest(reader); err != nil {
			return
		}
		s.mu.Lock()
		s.requests++
		s.mu.Unlock()
		_, _ = io.WriteString(conn, s.stray(n)) // the caller of the daemon sees a failure
		time.Sleep(writeGap)
		_, _ = io.WriteString(conn, s.answer(n))
	}
}

// statusOf sends a request to the gateway.
func statusOf(t *testing.T, url string) (status int, retryAfter string) {
	t.Helper()
	request, err := http.NewRequest(http.MethodGet, url, nil)
	require.NoError(t, err)
	request.Host = "h"
	response, err := http.DefaultTransport.RoundTrip(request)
	require.NoError(t, err)
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	require.NoError(t, err)
	return response.StatusCode, response.Header.Get("Retry-After")
}

// Guards against requests that a server runs and that are refused or sent to a second server, as an answer of no request
// precedes theirs on a kept connection.
func TestAnswerWithoutIDOnUsedConnectionSettlesNothing(t *testing.T) {
	for name, stray := range map[string]string{"refusal": refusalWithoutID, "failure": failureWithoutID} {
		t.Run(name, func(t *testing.T) {
			s := &strayServer{
				stray: func(n int) string {
					if n == 1 {
						return ""
					}
					return stray
				},
				answer: func(int) string { return soundAnswer },
			}
			gateway := startGateway(t, routing.Route{Kind: routing.Unrepeatable}, s.serve)
			for i := range 20 {
				before := s.requests
				status, _ := statusOf(t, gateway.URL)
				assert.Contains(t, []int{http.StatusOK, http.StatusBadGateway}, status, "request %d has run", i)
				assert.Equal(t, before+1, s.requests, "request %d", i)
			}
		})
	}
}

// A refusal without an ID on a new connection can only be meant for the request, which goes to another server.
func TestRefusalWithoutIDOnNewConnectionIsBelieved(t *testing.T) {
	refused := 0
	s := &strayServer{stray: func(int) string { return "" }}
	s.answer = func(n int) string {
		s.mu.Lock()
		defer s.mu.Unlock()
		if n == 1 && s.requests%2 == 1 {
			refused++
			return refusalWithoutID
		}
		return soundAnswer
	}
	gateway := startGateway(t, routing.Route{Kind: routing.Unrepeatable}, s.serve)
	status, _ := statusOf(t, gateway.URL)
	assert.Equal(t, http.StatusOK, status)
	assert.Equal(t, 1, refused)
	s.answer = func(int) string { return refusalWithoutID }
	gateway = startGateway(t, routing.Route{Kind: routing.Unrepeatable}, s.serve)
	status, retryAfter := statusOf(t, gateway.URL)
	assert.Equal(t, http.StatusServiceUnavailable, status)
	assert.NotEmpty(t, retryAfter)
}

// Guards against a 421 that the caller gets although another server could run the request.
func TestMisdirectedRequestGoesToAnotherServer(t *testing.T) {
	var first sync.Once
	gateway := startGateway(t, routing.Route{Kind: routing.Unrepeatable}, func(_ net.Listener, conn net.Conn) {
		defer conn.Close()
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
			return
		}
		answer := soundAnswer
		first.Do(func() { answer = "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n" })
		_, _ = io.WriteString(conn, answer)
	})
	status, _ := statusOf(t, gateway.URL)
	assert.Equal(t, http.StatusOK, status)
}

// Guards against answers of a program that is no server, which names no request, and that are passed on as those of the server.
func TestAnswerThatNamesNoRequestIsNotPassedOn(t *testing.T) {
	for _, status := range []string{"404 Not Found", "400 Bad Request", "301 Moved Permanently", "500 Internal Server Error", "503 Service Unavailable"} {
		t.Run(status, func(t *testing.T) {
			foreign := "HTTP/1.1 " + status + "\r\nContent-Length: 6\r\n\r\nabsent"
			s := &strayServer{stray: func(int) string { return "" }, answer: func(int) string { return foreign }}
			gateway := startGateway(t, routing.Route{Kind: routing.Unrepeatable}, s.serve)
			got, _ := statusOf(t, gateway.URL)
			assert.Equal(t, http.StatusBadGateway, got)
			assert.Equal(t, 1, s.requests, "may have run")

			s = &strayServer{stray: func(int) string { return "" }}
			s.answer = func(int) string {
				s.mu.Lock()
				defer s.mu.Unlock()
				if s.requests == 1 {
					return foreign
				}
				return soundAnswer
			}
			gateway = startGateway(t, routing.Route{Kind: routing.Idempotent}, s.serve)
			got, _ = statusOf(t, gateway.URL)
			assert.Equal(t, http.StatusOK, got)
			assert.Equal(t, 2, s.requests)
		})
	}
}
