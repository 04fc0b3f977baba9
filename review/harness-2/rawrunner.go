package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// rawRunner is a stand-in of a plain server that writes its answers byte by byte. Some of them are faulty.
type rawRunner struct {
	*runner
	listener net.Listener
	fails    func(id string) bool // whether the run of a request ends with a failure; may be nil

	// extra returns bytes that a faulty runner sends in addition to the answer before, which was complete. They arrive late, where the
	// answer to the request with the ID is expected. Empty for none.
	extra func(id string) string

	mu       sync.Mutex
	answers  int
	garbled  int
	statuses map[string]int // by ID of the request: what the runner answered
	bodies   map[string]string
}

func startRawRunner(rec *recorder, s *store, id, service, zone string, work time.Duration) *rawRunner {
	l := listen()
	r := &rawRunner{
		runner: &runner{id: id, service: service, zone: zone, version: "v1", rec: rec, store: s, work: work, slots: 6, state: "ready",
			born: time.Now().UnixMilli(), addr: l.Addr().String()},
		listener: l, statuses: make(map[string]int), bodies: make(map[string]string),
	}
	r.beat()
	go r.keepBeating()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go r.serveConn(c)
		}
	}()
	return r
}

func (r *rawRunner) serveConn(c net.Conn) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for first := true; ; first = false {
		q, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(q.Body)
		if err != nil {
			return
		}
		id := q.Header.Get("X-Attempt-Id")
		if q.URL.Path == "/health" {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", r.id)
			continue
		}
		if want := q.Header.Get("X-Expected-Instance"); want != "" && want != r.id {
			fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nX-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", r.id)
			continue
		}
		if r.extra != nil && !first {
			if extra := r.extra(id); extra != "" {
				r.mu.Lock()
				r.garbled++
				r.mu.Unlock()
				r.rec.logf("runner %s sends %d additional bytes behind its last answer: %q", r.id, len(extra), extra)
				io.WriteString(c, extra)
			}
		}
		r.rec.run(r.runner, q, id, body)
		time.Sleep(r.work)
		status, text := 200, "OK"
		if r.fails != nil && r.fails(id) {
			status, text = 500, "Internal Server Error"
		}
		answer := fmt.Sprintf("answer of %s to %s, status %d", r.id, id, status)
		r.mu.Lock()
		r.answers++
		r.statuses[id], r.bodies[id] = status, answer
		r.mu.Unlock()
		fmt.Fprintf(c, "HTTP/1.1 %d %s\r\nX-Attempt-Id: %s\r\nX-Runner-Signature: s-%s-%s\r\nKeep-Alive: timeout=30\r\nContent-Length: %d\r\n\r\n%s",
			status, text, id, r.id, id, len(answer), answer)
	}
}

// answered returns what the runner answered to the request; 0 for nothing.
func (r *rawRunner) answered(id string) (status int, body string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.statuses[id], r.bodies[id]
}

func (r *rawRunner) counts() (answers, garbled int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.answers, r.garbled
}
