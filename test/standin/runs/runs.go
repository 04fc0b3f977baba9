// Package runs records the requests that a stand-in ran.
package runs

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

// Outcomes of a run.
const (
	Running   = "running"
	Finished  = "finished"
	Cancelled = "cancelled"
	Abandoned = "abandoned" // no client read the answer within the resume window
	Stopped   = "stopped"   // the stand-in was stopped during the run
)

// Run is one execution of a request.
type Run struct {
	RequestID string     `json:"request_id"`
	Key       string     `json:"key"`
	Path      string     `json:"path"`
	User      string     `json:"user,omitempty"` // value of the request's "user" field
	Started   time.Time  `json:"started"`
	Ended     *time.Time `json:"ended,omitempty"`
	Outcome   string     `json:"outcome"`
}

// Recorder holds the runs in the order of their start.
// Its zero value is empty. It is safe for concurrent use.
type Recorder struct {
	mu   sync.Mutex
	runs []Run
}

// Start records the start of a run and returns its index.
func (r *Recorder) Start(run Run) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	run.Outcome = Running
	r.runs = append(r.runs, run)
	return len(r.runs) - 1
}

// End records the end and the outcome of the run with the index.
func (r *Recorder) End(index int, at time.Time, outcome string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[index].Ended = &at
	r.runs[index].Outcome = outcome
}

// Runs returns a copy of the recorded runs.
func (r *Recorder) Runs() []Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Run{}, r.runs...)
}

// Count returns the number of runs with the key and path.
func (r *Recorder) Count(key, path string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	count := 0
	for _, run := range r.runs {
		if run.Key == key && run.Path == path {
			count++
		}
	}
	return count
}

// ServeHTTP responds with the recorded runs as JSON.
func (r *Recorder) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(r.Runs())
}
