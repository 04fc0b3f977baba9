package http1

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
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

const okAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

var invalidAnswers = []string{
	"HTTP/1.1 000 Odd\r\nContent-Length: 2\r\n\r\nok",
	"HTTP/1.1 600 Odd\r\nContent-Length: 2\r\n\r\nok",
	"HTTP/1.1 200 OK\r\nX Odd: 1\r\nContent-Length: 2\r\n\r\nok",
	"HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\nContent-Length: 2\r\n\r\nok",
	"HTTP/1.1 200 OK\r\nContent-Length:\r\n 2\r\n\r\nok",
	"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
	"HTTP/1.1 103 Early Hints\r\nX Odd: 1\r\n\r\n" + okAnswer,
	"HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n",
}

func TestInvalidHeadIsAnErrorAndItsRequestIsSentOnce(t *testing.T) {
	for _, answer := range invalidAnswers {
		for _, method := range []string{http.MethodGet, http.MethodPost} {
			for name, answers := range map[string][]string{"new connection": {answer}, "kept connection": {okAnswer, answer, okAnswer}} {
				t.Run(fmt.Sprintf("%s on %s: %.60q", method, name, answer), func(t *testing.T) {
					var requests, connections atomic.Int32
					address := listen(t, func(conn *net.TCPConn, number int) {
						connections.Add(1)
						if number > 0 {
							answers = []string{okAnswer}
						}
						answerEach(conn, &requests, answers...)
					})
					client := newClient(t, &http.Transport{})
					for range len(answers) / 2 {
						status, body, err := call(client, method, address, "")
						require.NoError(t, err)
						assert.Equal(t, http.StatusOK, status)
						assert.Equal(t, "ok", body)
					}
					before := requests.Load()
					status, body, err := call(client, method, address, "")
					assert.True(t, errors.Is(err, ErrInvalidHead), "status %d, %q: %v", status, body, err)
					assert.Equal(t, before+1, requests.Load(), "requests that were sent")
					assert.EqualValues(t, 1, connections.Load())
				})
			}
		}
	}
}

// Guards against heads of which only the part that arrives first is checked.
func TestInvalidHeadInPartsIsAnError(t *testing.T) {
	for _, answer := range invalidAnswers {
		for _, firstBytes := range []int{1, 12, 20} {
			address := listen(t, func(conn *net.TCPConn, _ int) {
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
					return
				}
				_, _ = io.WriteString(conn, answer[:firstBytes])
				time.Sleep(2 * time.Millisecond)
				_, _ = io.WriteString(conn, answer[firstBytes:])
			})
			status, body, err := call(newClient(t, &http.Transport{}), http.MethodGet, address, "")
			assert.True(t, errors.Is(err, ErrInvalidHead), "%q, first %d bytes: status %d, %q: %v", answer, firstBytes, status, body, err)
		}
	}
}

func TestInformationalHeadsAreSkipped(t *testing.T) {
	const early = "HTTP/1.1 103 Early Hints\r\nLink: <x>\r\n\r\n"
	for _, answer := range []string{early + okAnswer, "HTTP/1.1 100 Continue\r\n\r\n" + early + early + okAnswer} {
		var requests atomic.Int32
		address := listen(t, func(conn *net.TCPConn, _ int) { answerEach(conn, &requests, answer, answer, answer) })
		client := newClient(t, &http.Transport{})
		for range 3 {
			status, body, err := call(client, http.MethodPost, address, "x")
			require.NoError(t, err)
			assert.Equal(t, http.StatusOK, status)
			assert.Equal(t, "ok", body)
		}
	}
}

// Guards against an answer that follows another one and is taken for that of the next request.
func TestAnswerBeforeItsRequestIsNotBelieved(t *testing.T) {
	const foreign = "HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\nforeign"
	for _, first := range []string{okAnswer, "HTTP/1.1 204 No Content\r\n\r\n"} {
		for _, method := range []string{http.MethodGet, http.MethodPost} {
			var requests atomic.Int32
			address := listen(t, func(conn *net.TCPConn, _ int) { answerEach(conn, &requests, first+foreign, okAnswer) })
			client := newClient(t, &http.Transport{MaxConnsPerHost: 1})
			var wait sync.WaitGroup
			for range 4 {
				wait.Go(func() {
					for range 100 {
						_, body, err := call(client, method, address, "")
						if err == nil {
							assert.NotEqual(t, "foreign", body, "%s behind %q", method, first)
						}
					}
				})
			}
			wait.Wait()
		}
	}
}

func TestAnswerWithoutLengthIsCompleteOnlyBehindFIN(t *testing.T) {
	for _, unread := range []int{0, 8 << 20} {
		for _, reset := range []bool{false, true} {
			for _, pause := range []time.Duration{0, 5 * time.Millisecond} {
				address := listen(t, func(conn *net.TCPConn, _ int) {
					reader := bufio.NewReader(conn)
					r, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\nbody")
					time.Sleep(pause)
					if reset {
						_ = conn.SetLinger(0)
						return
					}
					_, _ = io.Copy(io.Discard, r.Body)
				})
				client := newClient(t, &http.Transport{})
				for range 20 {
					_, body, err := call(client, http.MethodPost, address, strings.Repeat("x", unread))
					if reset {
						assert.Error(t, err, "upload of %d bytes, pause %v: %q", unread, pause, body)
					} else if assert.NoError(t, err, "upload of %d bytes, pause %v", unread, pause) {
						assert.Equal(t, "body", body)
					}
				}
			}
		}
	}
}

func TestEarlyAnswerLeavesNoPartOfItsUploadToTheNextRequest(t *testing.T) {
	var requests atomic.Int32
	address := listen(t, func(conn *net.TCPConn, _ int) {
		reader := bufio.NewReader(conn)
		for {
			r, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			_, _ = io.WriteString(conn, okAnswer)
			data, err := io.ReadAll(r.Body)
			if err != nil {
				return
			}
			requests.Add(1)
			assert.Equal(t, strings.Repeat("x", len(data)), string(data))
		}
	})
	client := newClient(t, &http.Transport{MaxConnsPerHost: 2})
	for range 30 {
		_, body, err := call(client, http.MethodPost, address, strings.Repeat("x", 2<<20))
		if assert.NoError(t, err) {
			assert.Equal(t, "ok", body)
		}
	}
}

// Guards against calls without an end: http.Client ends requests otherwise if it doesn't know the type of its transport.
func TestTimeoutOfClientEndsRequest(t *testing.T) {
	for name, answer := range map[string]string{"before the answer": "", "within the body": "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nok"} {
		var requests atomic.Int32
		address := listen(t, func(conn *net.TCPConn, _ int) { answerEach(conn, &requests, answer) })
		client := newClient(t, &http.Transport{})
		client.Timeout = 50 * time.Millisecond
		start := time.Now()
		_, _, err := call(client, http.MethodGet, address, "")
		var timeout net.Error
		assert.True(t, errors.As(err, &timeout) && timeout.Timeout(), "%s: %v", name, err)
		assert.Less(t, time.Since(start), 3*time.Second, name)
	}
}

func TestInvalidChunksAreAnError(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	for name, body := range map[string]string{
		"size":      "4\x01\r\nbody\r\n0\r\n\r\n",
		"extension": "4;\x01\r\nbody\r\n0\r\n\r\n",
		"trailer":   "4\r\nbody\r\n0\r\nX Odd: 1\r\n\r\n",
		"folded":    "4\r\nbody\r\n0\r\nX-Odd: 1\r\n 2\r\n\r\n",
	} {
		for _, parts := range [][]string{{head + body}, {head, body}, {head + body[:5], body[5:]}} {
			address := listen(t, func(conn *net.TCPConn, _ int) {
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
					return
				}
				for _, part := range parts {
					_, _ = io.WriteString(conn, part)
					time.Sleep(time.Millisecond)
				}
				_, _ = io.Copy(io.Discard, conn) // until the client closes
			})
			status, answer, err := call(newClient(t, &http.Transport{}), http.MethodGet, address, "")
			assert.True(t, errors.Is(err, ErrInvalidChunks), "%s in %d parts: %d %q, %v", name, len(parts), status, answer, err)
		}
	}
}

func TestChunksAreNotExpectedBehindAnswersWithoutBody(t *testing.T) {
	const chunked = "Transfer-Encoding: chunked\r\n\r\n"
	for method, answer := range map[string]string{
		http.MethodHead: "HTTP/1.1 200 OK\r\n" + chunked,
		http.MethodGet:  "HTTP/1.1 304 Not Modified\r\n" + chunked,
	} {
		requests := &atomic.Int32{}
		address := listen(t, func(conn *net.TCPConn, _ int) { answerEach(conn, requests, answer, answer, answer) })
		client := newClient(t, &http.Transport{})
		for range 3 {
			_, body, err := call(client, method, address, "")
			assert.NoError(t, err, method)
			assert.Empty(t, body, method)
		}
		assert.EqualValues(t, 3, requests.Load())
	}
}
