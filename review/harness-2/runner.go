package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// runner is a stand-in of a plain server. It registers itself in the store.
type runner struct {
	id, service, zone, version string
	addr                       string
	rec                        *recorder
	store                      *store
	work                       time.Duration
	slots                      int

	mu       sync.Mutex
	state    string // ready or draining
	sequence int
	born     int64
	stopped  bool
	server   *http.Server
	handle   func(w http.ResponseWriter, r *http.Request) bool // may be nil; true if it has answered
}

func startRunner(rec *recorder, s *store, id, service, zone string, work time.Duration) *runner {
	r := newRunner(rec, s, id, service, zone)
	r.work = work
	r.start()
	return r
}

// newRunner returns a runner that start starts.
func newRunner(rec *recorder, s *store, id, service, zone string) *runner {
	return &runner{id: id, service: service, zone: zone, version: "v1", rec: rec, store: s, slots: 16, state: "ready", born: time.Now().UnixMilli()}
}

func (r *runner) start() {
	l := listen()
	r.addr = l.Addr().String()
	r.server = &http.Server{Handler: http.HandlerFunc(r.serve), IdleTimeout: 30 * time.Second}
	go r.server.Serve(l)
	r.beat()
	go r.keepBeating()
}

func (r *runner) keepBeating() {
	for {
		time.Sleep(1200 * time.Millisecond)
		r.mu.Lock()
		stopped := r.stopped
		r.mu.Unlock()
		if stopped {
			return
		}
		r.beat()
	}
}

// beat writes the entry of the runner and returns the time of the acknowledgement.
func (r *runner) beat() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sequence++
	value, err := json.Marshal(map[string]any{
		"Service": r.service, "Address": r.addr, "Zone": r.zone, "Version": r.version, "Slots": r.slots, "State": r.state,
		"ColdRemainingMs": 0, "SequenceNumber": r.sequence, "born": r.born,
	})
	check(err)
	return r.store.put("keyed.servers", r.id, value)
}

// drain reports that the runner leaves, and returns the time of the acknowledgement. It goes on serving.
func (r *runner) drain() time.Time {
	r.mu.Lock()
	r.state = "draining"
	r.mu.Unlock()
	return r.beat()
}

func (r *runner) serve(w http.ResponseWriter, q *http.Request) {
	id := q.Header.Get("X-Attempt-Id")
	if q.URL.Path == "/health" {
		w.Header().Set("X-Instance-Id", r.id)
		w.WriteHeader(http.StatusOK)
		return
	}
	if want := q.Header.Get("X-Expected-Instance"); want != "" && want != r.id {
		w.Header().Set("X-Instance-Id", r.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	body, err := io.ReadAll(q.Body)
	if err != nil {
		return
	}
	r.rec.run(r, q, id, body)
	if r.handle != nil && r.handle(w, q) {
		return
	}
	time.Sleep(r.work)
	answer := []byte(fmt.Sprintf("answer of %s to %s", r.id, id))
	w.Header().Set("X-Attempt-Id", id)
	w.Header().Set("X-Runner-Signature", "s-"+r.id+"-"+id)
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	w.Write(answer)
}
