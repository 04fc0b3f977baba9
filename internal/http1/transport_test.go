package http1

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// listen calls serve for each connection to the address that it returns, with the number of the connection from 0.
func listen(t *testing.T, serve func(conn *net.TCPConn, number int)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for number := 0; ; number++ {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				serve(conn.(*net.TCPConn), number)
			}()
		}
	}()
	return listener.Addr().String()
}

// answerEach answers the requests on a connection with the texts, one after the other, and counts them.
func answerEach(conn *net.TCPConn, requests *atomic.Int32, answers ...string) {
	reader := bufio.NewReader(conn)
	for _, answer := range answers {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		requests.Add(1)
		_, _ = io.WriteString(conn, answer)
	}
	_, _ = io.Copy(io.Discard, reader) // until the client closes
}

func newClient(t *testing.T, base *http.Transport) *http.Client {
	t.Helper()
	client := &http.Client{Transport: NewTransport(base), Timeout: 5 * time.Second}
	t.Cleanup(client.CloseIdleConnections)
	return client
}

// call returns the status and the body of an answer.
func call(client *http.Client, method, address, body string) (status int, answer string, err error) {
	r, err := http.NewRequest(method, "http://"+address, strings.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	response, err := client.Do(r)
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return response.StatusCode, string(data), err
}

// Guards against answers without a body that are refused because another request has taken over their connection.
func TestConnectionOfAnswerWithoutBodyMayServeTheNextRequest(t *testing.T) {
	for _, answer := range []string{"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 204 No Content\r\n\r\n"} {
		var requests atomic.Int32
		address := listen(t, func(conn *net.TCPConn, _ int) {
			answers := make([]string, 4000)
			for i := range answers {
				answers[i] = answer
			}
			answerEach(conn, &requests, answers...)
		})
		client := newClient(t, &http.Transport{MaxIdleConnsPerHost: 1, MaxConnsPerHost: 1})
		var failed atomic.Int32
		var first atomic.Value
		var wait sync.WaitGroup
		for range 8 {
			wait.Go(func() {
				for range 250 {
					if _, _, err := call(client, http.MethodPost, address, "x"); err != nil {
						failed.Add(1)
						first.CompareAndSwap(nil, err.Error())
					}
				}
			})
		}
		wait.Wait()
		assert.Zero(t, failed.Load(), "%q, of %d: %v", answer, requests.Load(), first.Load())
	}
}
