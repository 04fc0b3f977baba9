// Package faults implements fault injection for the stand-ins.
package faults

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

// Mode names a kind of failure.
type Mode string

// The kinds of failure. Each stand-in supports some of them and ignores the others.
const (
	None           Mode = "none"
	Refuse         Mode = "refuse"           // respond with 503 without running the request
	Slow           Mode = "slow"             // wait for the delay before processing the request
	Silent         Mode = "silent"           // run the request and never respond
	CloseAfterRead Mode = "close_after_read" // read the request and close the connection without running it
	CloseMidStream Mode = "close_mid_stream" // close the connection in the middle of the answer
	LoseAnswer     Mode = "lose_answer"      // run the request and close the connection without an answer
	HTTP500        Mode = "http_500"         // respond with 500 without running the request
	Down           Mode = "down"             // respond to each request with 503
	Flap           Mode = "flap"             // respond to every other request with 503
)

var knownModes = map[Mode]bool{
	None: true, Refuse: true, Slow: true, Silent: true, CloseAfterRead: true,
	CloseMidStream: true, LoseAnswer: true, HTTP500: true, Down: true, Flap: true,
}

// Fault is a failure and the requests that it applies to.
type Fault struct {
	Mode            Mode   `json:"mode"`
	Count           int    `json:"count"`            // number of requests it applies to; 0 means no limit
	AfterTokens     int    `json:"after_tokens"`     // answer tokens sent before the connection closes (CloseMidStream)
	DelayMS         int64  `json:"delay_ms"`         // delay in milliseconds (Slow)
	DuplicateEvents bool   `json:"duplicate_events"` // send each stream event twice
	ForeignID       string `json:"foreign_id"`       // send one extra event with this request id
	Every           int    `json:"every"`            // apply only to every Nth request; 0 applies to all
	RequestKind     string `json:"only"`             // for the log, "append" or "read"; empty applies to both
	Topic           string `json:"topic"`            // for the log, the topic; empty applies to all
}

// Delay returns the delay of a Slow fault.
func (f Fault) Delay() time.Duration {
	return time.Duration(f.DelayMS) * time.Millisecond
}

// matches reports whether the fault applies to requests of the kind and topic.
func (f Fault) matches(kind, topic string) bool {
	return (f.RequestKind == "" || f.RequestKind == kind) && (f.Topic == "" || f.Topic == topic)
}

// Injector holds the active fault and decides which requests it applies to. Its zero value has
// no fault. It is safe for concurrent use.
type Injector struct {
	mu       sync.Mutex
	fault    Fault
	matched  int // requests of the active fault's kind and topic
	injected int // requests that the last fault was applied to
}

// Set replaces the active fault and resets the count of injected faults.
func (s *Injector) Set(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f.Mode == "" {
		f.Mode = None
	}
	s.fault = f
	s.matched = 0
	s.injected = 0
}

// Next returns the fault to apply to the next request.
func (s *Injector) Next() Fault { return s.NextFor("", "") }

// NextFor returns the fault to apply to the next request of a kind and topic.
// Its mode is None if there is none.
func (s *Injector) NextFor(kind, topic string) Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	fault := s.fault
	if !fault.matches(kind, topic) {
		return Fault{Mode: None}
	}
	s.matched++
	if fault.Every > 1 && s.matched%fault.Every != 0 {
		return Fault{Mode: None}
	}
	if fault.Mode == "" {
		fault.Mode = None
	}
	if fault.Count > 0 {
		s.fault.Count--
		if s.fault.Count == 0 {
			s.fault = Fault{Mode: None}
		}
	}
	if fault.Mode == Flap && s.matched%2 == 0 {
		fault.Mode = None
	}
	if fault.Mode != None {
		s.injected++
	}
	return fault
}

// ServeInjectedCount responds with the number of requests that the last fault was applied to.
func (s *Injector) ServeInjectedCount(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]int{"met": s.injected})
}

// ServeHTTP activates the fault in the request body.
func (s *Injector) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var fault Fault
	if err := json.NewDecoder(r.Body).Decode(&fault); err != nil {
		http.Error(w, "fault is not valid JSON", http.StatusBadRequest)
		return
	}
	if fault.Mode != "" && !knownModes[fault.Mode] {
		http.Error(w, "fault mode is not known", http.StatusBadRequest)
		return
	}
	s.Set(fault)
	w.WriteHeader(http.StatusNoContent)
}

// Abort closes the connection of the request without completing the response.
func Abort() {
	panic(http.ErrAbortHandler)
}
