// Package faults holds the failures that a stand-in shows on request.
package faults

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

// Mode names a kind of failure.
type Mode string

// The failures; each stand-in knows some of them and ignores the others.
const (
	None           Mode = "none"
	Refuse         Mode = "refuse"           // answer 503 without running the request
	Slow           Mode = "slow"             // wait for the delay before taking the request
	Silent         Mode = "silent"           // run the request and never answer
	CloseAfterRead Mode = "close_after_read" // read the request and close, without running it
	CloseMidStream Mode = "close_mid_stream" // close in the middle of the answer
	LoseAnswer     Mode = "lose_answer"      // run the request and close without an answer
	HTTP500        Mode = "http_500"         // answer 500 without running the request
	Down           Mode = "down"             // answer 503 to each request
	Flap           Mode = "flap"             // answer 503 to every other request
)

var knownModes = map[Mode]bool{
	None: true, Refuse: true, Slow: true, Silent: true, CloseAfterRead: true,
	CloseMidStream: true, LoseAnswer: true, HTTP500: true, Down: true, Flap: true,
}

// Fault is a failure and how many requests it meets.
type Fault struct {
	Mode            Mode   `json:"mode"`
	Count           int    `json:"count"`            // requests it meets; 0 means until changed
	AfterTokens     int    `json:"after_tokens"`     // answer tokens before the close
	DelayMS         int64  `json:"delay_ms"`         // delay of Slow, in milliseconds
	DuplicateEvents bool   `json:"duplicate_events"` // send each stream event twice
	ForeignID       string `json:"foreign_id"`       // send one event under this request id
	Every           int    `json:"every"`            // meets each so-many-th request only; 0 meets all
	RequestKind     string `json:"only"`             // on the log, "append" or "read"; empty meets both
	Topic           string `json:"topic"`            // on the log, the topic met; empty meets all
}

// Delay returns the delay of the fault.
func (f Fault) Delay() time.Duration {
	return time.Duration(f.DelayMS) * time.Millisecond
}

// meets reports whether the fault is for requests of the kind and topic.
func (f Fault) matches(kind, topic string) bool {
	return (f.RequestKind == "" || f.RequestKind == kind) && (f.Topic == "" || f.Topic == topic)
}

// Switch holds the fault in force. Its zero value holds none. It is safe for concurrent use.
type Injector struct {
	mu       sync.Mutex
	fault    Fault
	matched  int
	injected int
}

// Set puts the fault in force.
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

// Take returns the fault that the next request meets.
func (s *Injector) Next() Fault { return s.NextFor("", "") }

// TakeFor returns the fault that the next request of a kind and topic meets.
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

// ServeMet answers with the number of requests that the last fault met.
func (s *Injector) ServeInjectedCount(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]int{"met": s.injected})
}

// ServeHTTP puts the fault of a POST in force.
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

// Abort closes the connection of the request without finishing the answer.
func Abort() {
	panic(http.ErrAbortHandler)
}
