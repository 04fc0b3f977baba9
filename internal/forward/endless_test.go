package forward

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
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

// peaks returns the largest size of the heap, and of the buffers that are held for answers, while run runs.
func peaks(held func() int64, run func()) (heap uint64, buffers int64) {
	done := make(chan struct{})
	var sampling sync.WaitGroup
	sampling.Go(func() {
		for {
			var stats runtime.MemStats
			runtime.ReadMemStats(&stats)
			heap = max(heap, stats.HeapAlloc)
			select {
			case <-done:
				return
			case <-time.After(5 * time.Millisecond):
			}
		}
	})
	sampling.Go(func() {
		for {
			buffers = max(buffers, held())
			select {
			case <-done:
				return
			case <-time.After(time.Millisecond):
			}
		}
	})
	run()
	close(done)
	sampling.Wait()
	return heap, buffers
}

const (
	// memoryLimit is what a daemon may use.
	memoryLimit = 64 << 20
	// buffersOfHeap is how often the buffers for answers fit into memoryLimit: a buffer is copied when it is doubled, and the
	// heap doubles before the collector runs.
	buffersOfHeap = 4
)

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
		// Callers on many processors fill the heap with garbage while a loaded machine keeps the collector from running. The
		// buffers that they hold at the same time don't depend on it.
		_, buffers, _ := callEndless(t, write)
		assert.Less(t, buffers, int64(memoryLimit/buffersOfHeap), "%s: buffers", name)
		procs := runtime.GOMAXPROCS(1)
		heap, buffersOnOne, took := callEndless(t, write)
		runtime.GOMAXPROCS(procs)
		t.Logf("%s: %d MB, buffers %d and %d KB, %v", name, heap>>20, buffers>>10, buffersOnOne>>10, took)
		assert.Less(t, heap, uint64(memoryLimit), name)
	}
}

// endlessReader yields bytes without end.
type endlessReader struct{}

func (endlessReader) Read(p []byte) (int, error) { return len(p), nil }

func TestBuffersOfAnswersAreBounded(t *testing.T) {
	var memory answerMemory
	var buffers [][]byte
	held, refused := 0, 0
	for range 60 {
		buffer, err := memory.readAll(endlessReader{}, maxBufferedAnswerBytes)
		require.Error(t, err, "an answer without end")
		if errors.Is(err, errAnswerMemory) {
			refused++
		}
		buffers = append(buffers, buffer)
		held += cap(buffer)
	}
	assert.Less(t, held, memoryLimit/buffersOfHeap)
	assert.Positive(t, refused)
	for _, buffer := range buffers {
		memory.releaseBuffer(buffer)
	}
	assert.Zero(t, memory.used.Load())
}

// Guards against large answers in progress that leave no memory for usual ones.
func TestLargeAnswersLeaveMemoryForUsualOnes(t *testing.T) {
	const large, usual, usualBytes = 60, 20, 60_000
	var memory answerMemory
	var held [][]byte
	for range large {
		buffer, err := memory.readAll(endlessReader{}, maxBufferedAnswerBytes)
		require.Error(t, err, "an answer without end")
		if errors.Is(err, errAnswerMemory) {
			memory.releaseBuffer(buffer) // it is given up
			continue
		}
		held = append(held, buffer)
	}
	require.NotEmpty(t, held)
	require.Less(t, len(held), large)
	require.ErrorIs(t, memory.reserveHead(1<<20), errAnswerMemory)
	for range usual {
		buffer, err := memory.readAll(io.LimitReader(endlessReader{}, usualBytes), maxBufferedAnswerBytes)
		require.NoError(t, err)
		held = append(held, buffer)
	}
	for _, buffer := range held {
		memory.releaseBuffer(buffer)
	}
	assert.Zero(t, memory.used.Load())
}

// callEndless sends requests of many callers at once to a server that answers with write. It returns what
// peaks does, and the time until all have ended.
func callEndless(t *testing.T, write func(w io.Writer)) (heap uint64, buffers int64, took time.Duration) {
	t.Helper()
	h := newBusyHandler(t)
	h.Protocol = idProtocol{}
	h.Scheduler.SetServers([]routing.Server{{ID: "s", Address: serveRaw(t, write), Service: "llm", Zone: "a", Slots: 100, State: routing.Ready}}, nil)
	runtime.GC() // of what earlier cases have left
	start := time.Now()
	heap, buffers = peaks(h.answerMemory.used.Load, func() {
		var callers sync.WaitGroup
		for range 60 {
			callers.Go(func() {
				defer func() { _ = recover() }() // of http.ErrAbortHandler
				h.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, "http://h/", nil))
			})
		}
		callers.Wait()
	})
	took = time.Since(start)
	assert.Less(t, took, 5*time.Second, "ended before the deadline of 10 s")
	return heap, buffers, took
}

// writeEndlessly writes start and then the text until the connection is closed.
func writeEndlessly(w io.Writer, start, text string) {
	_, err := io.WriteString(w, start)
	for err == nil {
		_, err = io.WriteString(w, text)
	}
}

// Guards against answers with a server error that are kept while another server is tried, but don't count as memory of answers.
func TestFailedAnswerCountsWhileAnotherServerIsTried(t *testing.T) {
	const bodyBytes = 900 << 10
	body := strings.Repeat("x", bodyBytes)
	tried, end := make(chan struct{}), make(chan struct{})
	var attempts atomic.Int64
	gateway := startGateway(t, routing.Route{Kind: routing.Idempotent}, func(_ net.Listener, conn net.Conn) {
		defer conn.Close()
		if request, err := http.ReadRequest(bufio.NewReader(conn)); err != nil || answerPing(conn, request) {
			return
		}
		if attempts.Add(1) == 1 {
			fmt.Fprintf(conn, "HTTP/1.1 500 No\r\nId: id\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
			return
		}
		close(tried)
		<-end
	})
	h := gateway.Config.Handler.(*Handler)
	status := make(chan int)
	go func() {
		got, _ := statusOf(t, gateway.URL)
		status <- got
	}()
	<-tried
	assert.Greater(t, h.answerMemory.used.Load(), int64(bodyBytes), "while the second server is tried")
	close(end)
	assert.Equal(t, http.StatusInternalServerError, <-status, "the answer of the first server")
	require.Eventually(t, func() bool { return h.ActiveRequests() == 0 }, time.Second, time.Millisecond)
	assert.Zero(t, h.answerMemory.used.Load(), "after the request")
}

// Guards against heads that are large once decoded, of many answers in progress at a time, and against memory that is not given back.
func TestHeadsOfAnswersInProgressAreBoundedTogether(t *testing.T) {
	const callers = 100
	var fields strings.Builder
	for i := 0; fields.Len() < 15<<10; i++ {
		fmt.Fprintf(&fields, "%x:\r\n", i)
	}
	for name, rest := range map[string]string{"events": "\r\nid: 1\ndata: x\n\n", "no end of the head": ""} {
		end := make(chan struct{})
		h := newBusyHandler(t)
		h.Protocol = idProtocol{}
		address := serveRaw(t, func(w io.Writer) {
			_, _ = io.WriteString(w, "HTTP/1.1 200 OK\r\nId: id\r\nContent-Type: text/event-stream\r\n"+fields.String()+rest)
			<-end
		})
		h.Scheduler.SetServers([]routing.Server{{ID: "s", Address: address, Service: "llm", Zone: "a", Slots: callers, State: routing.Ready}}, nil)
		var clients sync.WaitGroup
		for range callers {
			clients.Go(func() {
				defer func() { _ = recover() }() // of http.ErrAbortHandler
				h.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, "http://h/", nil))
			})
		}
		most := int64(0)
		for range 30 {
			time.Sleep(10 * time.Millisecond)
			most = max(most, h.answerMemory.used.Load())
		}
		close(end)
		clients.Wait()
		t.Logf("%s: %d KB reserved", name, most>>10)
		assert.Positive(t, most, name)
		assert.LessOrEqual(t, most, int64(defaultAnswerMemory), name)
		assert.Zero(t, h.answerMemory.used.Load(), name)
	}
}
