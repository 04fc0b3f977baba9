package engine

import (
	"sync"
	"time"
)

// Load is the number of requests in an engine.
type Load struct {
	Running int `json:"running"`
	Waiting int `json:"waiting"`
}

// seat is a request's place; ready is closed when it has a slot.
type seat struct {
	ready chan struct{}
}

type loadAt struct {
	at   time.Time
	load Load
}

// slots admits requests in the order of their arrival.
type slots struct {
	mu      sync.Mutex
	size    int
	lag     time.Duration
	now     func() time.Time
	running map[*seat]bool
	waiting []*seat
	history []loadAt
}

func newSlots(size int, lag time.Duration, now func() time.Time) *slots {
	return &slots{size: size, lag: lag, now: now, running: map[*seat]bool{}, history: []loadAt{{}}}
}

// join puts a request at the end of the queue.
func (s *slots) join() *seat {
	s.mu.Lock()
	defer s.mu.Unlock()
	place := &seat{ready: make(chan struct{})}
	s.waiting = append(s.waiting, place)
	s.fill()
	return place
}

// leave takes a request off its slot or off the queue.
func (s *slots) leave(place *seat) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.running, place)
	for i, other := range s.waiting {
		if other == place {
			s.waiting = append(s.waiting[:i], s.waiting[i+1:]...)
			break
		}
	}
	s.fill()
}

func (s *slots) fill() {
	for len(s.waiting) > 0 && len(s.running) < s.size {
		first := s.waiting[0]
		s.waiting = s.waiting[1:]
		s.running[first] = true
		close(first.ready)
	}
	s.history = append(s.history, loadAt{at: s.now(), load: s.load()})
	s.prune()
}

// prune drops the history before the load that is shown now.
func (s *slots) prune() {
	limit := s.now().Add(-s.lag)
	for len(s.history) > 1 && !s.history[1].at.After(limit) {
		s.history = s.history[1:]
	}
}

func (s *slots) load() Load {
	return Load{Running: len(s.running), Waiting: len(s.waiting)}
}

func (s *slots) current() Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.load()
}

// shown returns the load of one lag ago.
func (s *slots) shown() Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.prune()
	return s.history[0].load
}
