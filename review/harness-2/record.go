package main

import (
	"fmt"
	"net/http"
	"os"
	"sync"
	"time"
)

// runEvent is a run of a request at a runner.
type runEvent struct {
	at                          time.Time
	id, runner, service, tenant string
	method, uri                 string
	body                        []byte
}

// recorder writes record.txt.
type recorder struct {
	mu    sync.Mutex
	start time.Time
	file  *os.File
	runs  []runEvent
}

func newRecorder(path string) *recorder {
	f, err := os.Create(path)
	check(err)
	return &recorder{start: time.Now(), file: f}
}

func (r *recorder) logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.logAt(time.Now(), format, args...)
}

func (r *recorder) logAt(at time.Time, format string, args ...any) {
	fmt.Fprintf(r.file, "%8.3f  %s\n", at.Sub(r.start).Seconds(), fmt.Sprintf(format, args...))
}

func (r *recorder) run(s *runner, q *http.Request, id string, body []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := runEvent{time.Now(), id, s.id, s.service, q.Header.Get("X-Tenant"), q.Method, q.RequestURI, body}
	r.runs = append(r.runs, e)
	r.logAt(e.at, "runner %s (%s) runs %s for %s", s.id, s.service, id, e.tenant)
}

// runsOf returns the runs of the request.
func (r *recorder) runsOf(id string) (out []runEvent) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range r.runs {
		if e.id == id {
			out = append(out, e)
		}
	}
	return out
}
