package engine

import (
	"sync"
	"time"
)

// Load holds the numbers of running and waiting requests of an engine.
type Load struct {
	Running int `json:"running"`
	Waiting int `json:"waiting"`
}

// slotRequest is a request that waits for or has a slot; ready is closed when it gets the slot.
type slotRequest struct {
	ready chan struct{}
}

// loadSample is the load from a point in time on.
type loadSample struct {
	at   time.Time
	load Load
}

// slots assigns a fixed number of slots to requests in the order of their arrival.
type slots struct {
	mu       sync.Mutex
	capacity int
	lag      time.Duration
	now      func() time.Time
	running  map[*slotRequest]bool
	waiting  []*slotRequest
	history  []loadSample
}

func newSlots(capacity int, lag time.Duration, now func() time.Time) *slots {
	return &slots{capacity: capacity, lag: lag, now: now, running: map[*slotRequest]bool{}, history: []loadSample{{}}}
}

// enqueue adds a request at the end of the queue.
func (s *slots) enqueue() *slotRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	request := &slotRequest{ready: make(chan struct{})}
	s.waiting = append(s.waiting, request)
	s.admitWaiting()
	return request
}

// release frees the slot of a request or removes the request from the queue.
func (s *slots) release(request *slotRequest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.running, request)
	for i, other := range s.waiting {
		if other == request {
			s.waiting = append(s.waiting[:i], s.waiting[i+1:]...)
			break
		}
	}
	s.admitWaiting()
}

// admitWaiting gives free slots to waiting requests and records the load. s.mu must be held.
func (s *slots) admitWaiting() {
	for len(s.waiting) > 0 && len(s.running) < s.capacity {
		first := s.waiting[0]
		s.waiting = s.waiting[1:]
		s.running[first] = true
		close(first.ready)
	}
	s.history = append(s.history, loadSample{at: s.now(), load: s.loadLocked()})
	s.pruneHistory()
}

// pruneHistory drops the samples older than the one that laggedLoad returns. s.mu must be held.
func (s *slots) pruneHistory() {
	cutoff := s.now().Add(-s.lag)
	for len(s.history) > 1 && !s.history[1].at.After(cutoff) {
		s.history = s.history[1:]
	}
}

// loadLocked returns the current load. s.mu must be held.
func (s *slots) loadLocked() Load {
	return Load{Running: len(s.running), Waiting: len(s.waiting)}
}

func (s *slots) currentLoad() Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.loadLocked()
}

// laggedLoad returns the load as it was s.lag ago.
func (s *slots) laggedLoad() Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pruneHistory()
	return s.history[0].load
}
