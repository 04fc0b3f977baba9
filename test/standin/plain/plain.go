// Package plain is a stand-in for a backend server that handles plain HTTP requests.
package plain

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/filbertrill/filbertrill/test/standin/faults"
	"github.com/filbertrill/filbertrill/test/standin/runs"
)

const maxBodyBytes = 16 << 20

// Options configures a Server.
type Options struct {
	WorkTime time.Duration    // duration of each run
	Now      func() time.Time // clock; time.Now if nil
}

// RegistryEntry is a serial number that a registry issued, and the key of the request for it.
type RegistryEntry struct {
	Serial int64     `json:"serial"`
	Key    string    `json:"key"`
	At     time.Time `json:"at"`
}

// Server responds to any request and records its runs by key and path. POST requests to the
// registries /stamps and /charges issue consecutive serial numbers. It is an http.Handler and safe
// for concurrent use.
type Server struct {
	opts      Options
	mux       *http.ServeMux
	faults    faults.Injector
	recorder  runs.Recorder
	closed    chan struct{}
	closeOnce sync.Once

	mu         sync.Mutex
	registries map[string][]RegistryEntry
}

// New returns a server without recorded runs.
func New(opts Options) *Server {
	if opts.Now == nil {
		opts.Now = time.Now
	}
	s := &Server{
		opts:       opts,
		mux:        http.NewServeMux(),
		closed:     make(chan struct{}),
		registries: map[string][]RegistryEntry{},
	}
	for _, registry := range []string{"/stamps", "/charges"} {
		s.mux.HandleFunc("POST "+registry, s.recordRun(s.issueSerial))
		s.mux.HandleFunc("GET "+registry+"/{serial}", s.lookupSerial(registry))
	}
	s.mux.HandleFunc("/", s.recordRun(s.echo))
	s.mux.Handle("GET /admin/runs", &s.recorder)
	s.mux.Handle("POST /admin/faults", &s.faults)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mux.ServeHTTP(w, r)
}

// SetFault sets the active fault.
func (s *Server) SetFault(f faults.Fault) {
	s.faults.Set(f)
}

// Runs returns the recorded runs in the order of their start.
func (s *Server) Runs() []runs.Run {
	return s.recorder.Runs()
}

// Close ends the requests that are still running or kept open by a fault.
func (s *Server) Close() {
	s.closeOnce.Do(func() { close(s.closed) })
}

// requestHandler handles a request and returns the status and the answer, to be encoded as JSON.
type requestHandler func(r *http.Request, key string) (int, any)

// recordRun returns a handler that applies the active fault, records the run and calls handle.
func (s *Server) recordRun(handle requestHandler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		fault := s.faults.Next()
		if _, err := io.Copy(io.Discard, http.MaxBytesReader(w, r.Body, maxBodyBytes)); err != nil {
			http.Error(w, "body is not readable", http.StatusBadRequest)
			return
		}
		if !s.applyFaultBeforeRun(w, r, fault) {
			return
		}
		key := requestKey(r)
		index := s.recorder.Start(runs.Run{
			RequestID: r.Header.Get("X-Request-Id"),
			Key:       key,
			Path:      r.URL.Path,
			Started:   s.opts.Now(),
		})
		status, answer := handle(r, key)
		outcome := s.simulateWork(s.opts.WorkTime)
		s.recorder.End(index, s.opts.Now(), outcome)
		if outcome != runs.Finished {
			faults.Abort()
		}
		s.writeAnswer(w, r, fault, status, answer)
	}
}

// applyFaultBeforeRun applies the faults that take effect before the run. It reports whether to
// run the request.
func (s *Server) applyFaultBeforeRun(w http.ResponseWriter, r *http.Request, fault faults.Fault) bool {
	switch fault.Mode {
	case faults.Refuse:
		w.Header().Set("Retry-After", "1")
		http.Error(w, "refused", http.StatusServiceUnavailable)
		return false
	case faults.HTTP500:
		http.Error(w, "failed", http.StatusInternalServerError)
		return false
	case faults.CloseAfterRead:
		faults.Abort()
	case faults.Slow:
		select {
		case <-time.After(fault.Delay()):
		case <-r.Context().Done():
			return false
		case <-s.closed:
			return false
		}
	}
	return true
}

// simulateWork waits for d, even if the client disconnects, and returns the outcome of the run.
func (s *Server) simulateWork(d time.Duration) string {
	if d <= 0 {
		return runs.Finished
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return runs.Finished
	case <-s.closed:
		return runs.Stopped
	}
}

// writeAnswer writes the answer and applies the faults that take effect after the run.
func (s *Server) writeAnswer(w http.ResponseWriter, r *http.Request, fault faults.Fault, status int, answer any) {
	switch fault.Mode {
	case faults.LoseAnswer:
		faults.Abort()
	case faults.Silent:
		select {
		case <-r.Context().Done():
		case <-s.closed:
		}
		faults.Abort()
	}
	body, err := json.Marshal(answer)
	if err != nil {
		http.Error(w, "answer is not encodable", http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	if fault.Mode == faults.CloseMidStream {
		_, _ = w.Write(body[:len(body)/2])
		_ = http.NewResponseController(w).Flush()
		faults.Abort()
	}
	_, _ = w.Write(body)
}

// requestKey returns the key by which retries of one request are recognized: the idempotency key,
// else the request id.
func requestKey(r *http.Request) string {
	if key := r.Header.Get("Idempotency-Key"); key != "" {
		return key
	}
	return r.Header.Get("X-Request-Id")
}

type echoAnswer struct {
	Method string `json:"method"`
	Path   string `json:"path"`
	Key    string `json:"key"`
	Runs   int    `json:"runs"` // runs with this key and path so far
}

// echo answers with the method, path and key of the request.
func (s *Server) echo(r *http.Request, key string) (int, any) {
	return http.StatusOK, echoAnswer{
		Method: r.Method,
		Path:   r.URL.Path,
		Key:    key,
		Runs:   s.recorder.Count(key, r.URL.Path),
	}
}

// issueSerial issues the next serial number of the registry at the request's path.
func (s *Server) issueSerial(r *http.Request, key string) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	registry := r.URL.Path
	next := int64(len(s.registries[registry]) + 1)
	s.registries[registry] = append(s.registries[registry], RegistryEntry{Serial: next, Key: key, At: s.opts.Now()})
	return http.StatusCreated, map[string]int64{"serial": next}
}

// lookupSerial returns a handler that responds with the registry's entry for a serial number.
func (s *Server) lookupSerial(registry string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		n, err := strconv.Atoi(r.PathValue("serial"))
		s.mu.Lock()
		defer s.mu.Unlock()
		if err != nil || n < 1 || n > len(s.registries[registry]) {
			http.NotFound(w, r)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(s.registries[registry][n-1])
	}
}
