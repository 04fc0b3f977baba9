package forward

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/filbertrill/filbertrill/internal/routing"
	"github.com/filbertrill/filbertrill/internal/upstream"
)

// idProtocol reads the ID of an answer from the header Id.
type idProtocol struct{ fixedProtocol }

func (idProtocol) EncodeRequestHeader(ServerRequest) []byte {
	return []byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n")
}

func (idProtocol) DecodeAnswer(h http.Header) AnswerInfo {
	return AnswerInfo{ID: h.Get("Id"), Signed: true}
}

// listen accepts connections at an address of its own until the test ends, and calls serve with each.
func listen(t *testing.T, serve func(listener net.Listener, conn net.Conn)) (address string) {
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
			go serve(listener, conn)
		}
	}()
	return listener.Addr().String()
}

// serveRaw accepts connections, reads the start of a request from each and calls write. It returns the address.
func serveRaw(t *testing.T, write func(w io.Writer)) string {
	t.Helper()
	return listen(t, func(_ net.Listener, conn net.Conn) {
		defer conn.Close()
		_, _ = conn.Read(make([]byte, 4096)) // the request
		write(conn)
	})
}

func TestLongAnswerToAnotherRequestIsNotCut(t *testing.T) {
	inside := "HTTP/1.1 200 OK\r\nId: id\r\nContent-Length: 5\r\n\r\nwrong"
	body := strings.Repeat("x", maxBufferedAnswerBytes) + inside
	address := serveRaw(t, func(w io.Writer) {
		fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		fmt.Fprint(w, "HTTP/1.1 200 OK\r\nId: id\r\nContent-Length: 5\r\n\r\nright")
	})
	h := newBusyHandler(t)
	h.Protocol = idProtocol{}
	conn, err := h.Pool.Get(context.Background(), upstream.Endpoint{Address: address}, 0)
	require.NoError(t, err)
	_, err = conn.Write([]byte("request"))
	require.NoError(t, err)
	c := &call{request: httptest.NewRequest(http.MethodGet, "/", nil), envelope: &Envelope{ID: "id"}}
	_, _, err = h.receiveAnswer(c, conn)
	assert.ErrorContains(t, err, "answer to another request is longer")
}

// peakHeap returns the largest size of the heap while run runs.
func peakHeap(run func()) uint64 {
	done, peak := make(chan struct{}), make(chan uint64)
	go func() {
		var largest uint64
		for {
			var stats runtime.MemStats
			runtime.ReadMemStats(&stats)
			largest = max(largest, stats.HeapAlloc)
			select {
			case <-done:
				peak <- largest
				return
			case <-time.After(5 * time.Millisecond):
			}
		}
	}()
	run()
	close(done)
	return <-peak
}

// memoryLimit is what a daemon may use.
const memoryLimit = 64 << 20

func TestAnswersWithoutEndStayWithinMemory(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\nId: id\r\nContent-Type: text/event-stream\r\n"
	chunk := strings.Repeat("x", 32<<10)
	for name, write := range map[string]func(w io.Writer){
		"body of a stream": func(w io.Writer) { writeEndlessly(w, head+"\r\n", chunk) },
		"event in chunks": func(w io.Writer) {
			writeEndlessly(w, head+"Transfer-Encoding: chunked\r\n\r\n", fmt.Sprintf("%x\r\n%s\r\n", len(chunk), chunk))
		},
		"body of an error": func(w io.Writer) { writeEndlessly(w, "HTTP/1.1 500 No\r\nId: id\r\n\r\n", chunk) },
		"other answer's body": func(w io.Writer) {
			writeEndlessly(w, "HTTP/1.1 200 OK\r\nId: x\r\nTransfer-Encoding: chunked\r\n\r\n", fmt.Sprintf("%x\r\n%s\r\n", len(chunk), chunk))
		},
		"trailer after chunks": func(w io.Writer) {
			writeEndlessly(w, head+"Transfer-Encoding: chunked\r\n\r\n0\r\n", "X-Field: value\r\n")
		},
	} {
		h := newBusyHandler(t)
		h.Protocol = idProtocol{}
		h.Scheduler.SetServers([]routing.Server{{ID: "s", Address: serveRaw(t, write), Service: "llm", Zone: "a", Slots: 100, State: routing.Ready}}, nil)
		start := time.Now()
		peak := peakHeap(func() {
			var callers sync.WaitGroup
			for range 60 {
				callers.Go(func() {
					r := httptest.NewRequest(http.MethodGet, "http://h/", nil)
					func() {
						defer func() { _ = recover() }() // of http.ErrAbortHandler
						h.ServeHTTP(httptest.NewRecorder(), r)
					}()
				})
			}
			callers.Wait()
		})
		t.Logf("%s: %d MB, %v", name, peak>>20, time.Since(start))
		assert.Less(t, peak, uint64(memoryLimit), name)
		assert.Less(t, time.Since(start), 5*time.Second, "%s: ended before the deadline of 10 s", name)
	}
}

// writeEndlessly writes start and then the text until the connection is closed.
func writeEndlessly(w io.Writer, start, text string) {
	_, err := io.WriteString(w, start)
	for err == nil {
		_, err = io.WriteString(w, text)
	}
}
