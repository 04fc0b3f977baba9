package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// heartbeatInterval is HeartbeatIntervalMs of the settings.
const heartbeatInterval = 1200 * time.Millisecond

// runner is a stand-in of a runner. It speaks HTTP/1.1 on raw connections, one request at a time on each.
type runner struct {
	id, service, zone string
	slots             int
	listener          net.Listener
	store             *store
	rec               *record
	// work is how long a request takes; for a stream, the time to the first event.
	work func() time.Duration
	// stream, if not nil, writes the events of a stream after the head was written. gone is closed when the caller closes.
	stream func(c net.Conn, request *received, gone <-chan struct{}) (complete bool)

	mu         sync.Mutex
	strayShare float64 // of the answers: preceded by strayBytes
	busy       int
	queued     int
	arrivals   map[string]time.Time // by attempt id
}

// received is a request that the runner has read.
type received struct {
	id     string
	header http.Header
	method string
	path   string
	body   int
}

// strayBytes are bytes that are not the response to a request.
const strayBytes = "HTTP/1.1 100 Continue\r\n\r\n"

const (
	runnerQueue = 134           // requests that wait at a runner; further ones are shed
	bornMillis  = 1700000000000 // start of the runners
)

func newRunner(s *store, rec *record, id, service, zone string, slots int) (*runner, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &runner{
		id: id, service: service, zone: zone, slots: slots, listener: listener, store: s, rec: rec,
		work:     func() time.Duration { return time.Duration(8+rand.IntN(14)) * time.Millisecond },
		arrivals: map[string]time.Time{},
	}
	go r.acceptLoop()
	go r.beat()
	return r, nil
}

func (r *runner) address() string { return r.listener.Addr().String() }

// locked calls f with the lock held.
func (r *runner) locked(f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f()
}

// beat registers the runner in the store and renews its entry, until the case ends.
func (r *runner) beat() {
	for sequence := 1; ; sequence++ {
		r.store.put("keyed.servers", r.id, map[string]any{
			"Service": r.service, "Address": r.address(), "Zone": r.zone, "Version": "v1", "Slots": r.slots,
			"State": "ready", "ColdRemainingMs": 0, "SequenceNumber": sequence, "born": bornMillis,
		})
		time.Sleep(heartbeatInterval)
	}
}

// arrived reports whether a request has reached the runner.
func (r *runner) arrived(attempt string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, ok := r.arrivals[attempt]
	return ok
}

func (r *runner) acceptLoop() {
	for {
		conn, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.serveConn(conn)
	}
}

// serveConn answers the requests on a connection until the caller closes it.
func (r *runner) serveConn(c net.Conn) {
	defer c.Close()
	requests := make(chan *received)
	gone := make(chan struct{})
	go func() {
		defer close(gone)
		reader := bufio.NewReader(c)
		for {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			n, err := io.Copy(io.Discard, request.Body)
			if err != nil {
				return
			}
			requests <- &received{
				id: request.Header.Get("X-Attempt-Id"), header: request.Header, method: request.Method,
				path: request.RequestURI, body: int(n),
			}
		}
	}()
	for {
		select {
		case request := <-requests:
			if !r.serve(c, request, gone) {
				go func() { // the reader may hold another request
					for {
						select {
						case <-requests:
						case <-gone:
							return
						}
					}
				}()
				return
			}
		case <-gone:
			return
		}
	}
}

// serve answers one request. It reports whether the connection can be used further.
func (r *runner) serve(c net.Conn, request *received, gone <-chan struct{}) bool {
	switch {
	case request.path == "/health":
		return r.write(c, answer(200, "", "X-Instance-Id: "+r.id+"\r\n", nil))
	case request.path == "/api/kv-list":
		return r.write(c, answer(200, "", "Content-Type: application/json\r\n", []byte(`{"epoch":1,"Next":1,"held":[]}`)))
	case request.header.Get("X-Expected-Instance") != r.id:
		return r.write(c, answer(421, "", "X-Instance-Id: "+r.id+"\r\n", nil))
	}
	r.mu.Lock()
	r.arrivals[request.id] = time.Now()
	full := r.queued >= runnerQueue
	if !full {
		r.queued++
	}
	r.mu.Unlock()
	if full {
		r.rec.printf("runner %s is full and sheds %s", r.id, request.id)
		return r.reply(c, answer(503, "", "X-Not-Executed: 1\r\n", nil))
	}
	for waiting := true; waiting; {
		r.mu.Lock()
		if r.busy < r.slots {
			r.busy++
			waiting = false
		}
		r.mu.Unlock()
		if waiting {
			select {
			case <-gone:
				r.mu.Lock()
				r.queued--
				r.mu.Unlock()
				return false
			case <-time.After(time.Millisecond):
			}
		}
	}
	r.mu.Lock()
	r.queued--
	r.mu.Unlock()
	r.rec.printf("runner %s runs %s (%s %s, %d bytes)", r.id, request.id, request.method, request.path, request.body)
	ok := r.run(c, request, gone)
	r.mu.Lock()
	r.busy--
	r.mu.Unlock()
	return ok
}

// run works on a request and answers it.
func (r *runner) run(c net.Conn, request *received, gone <-chan struct{}) bool {
	select {
	case <-gone:
		r.end(request, "dropped: its connection was closed")
		return false
	case <-time.After(r.work()):
	}
	if r.stream != nil {
		complete := r.stream(c, request, gone)
		r.end(request, fmt.Sprintf("stream ended, complete=%t", complete))
		return complete
	}
	body := bytes.Repeat([]byte("0123456789abcde\n"), 50) // 800 bytes
	copy(body, "answer of "+r.id+" to "+request.id+" ")
	ok := r.reply(c, answer(200, request.id, "X-Runner-Signature: "+signature(r.id, request.id)+"\r\n", body))
	r.end(request, "200")
	return ok
}

func (r *runner) end(request *received, how string) {
	r.rec.printf("runner %s: the run of %s ends: %s", r.id, request.id, how)
}

func signature(runner, attempt string) string { return "sig." + runner + "." + attempt }

// reply writes an answer, preceded by strayBytes if this answer is spoiled.
func (r *runner) reply(c net.Conn, data []byte) bool {
	r.mu.Lock()
	stray := rand.Float64() < r.strayShare
	r.mu.Unlock()
	if stray {
		r.rec.printf("runner %s sends %q before the answer %q", r.id, strayBytes, firstLine(data))
		if !r.write(c, []byte(strayBytes)) {
			return false
		}
	}
	return r.write(c, data)
}

func (r *runner) write(c net.Conn, data []byte) bool {
	_, err := c.Write(data)
	return err == nil
}

// answer returns a complete answer with a length. An empty id leaves out X-Attempt-Id.
func answer(status int, id, header string, body []byte) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	if id != "" {
		fmt.Fprintf(&b, "X-Attempt-Id: %s\r\n", id)
	}
	b.WriteString(header)
	b.WriteString("Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n")
	b.Write(body)
	return b.Bytes()
}

func firstLine(data []byte) string {
	line, _, _ := strings.Cut(string(data), "\r\n")
	return line
}
