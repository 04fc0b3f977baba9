package scheduler

import (
	"time"

	"github.com/filbertrill/filbertrill/internal/placement"
	"github.com/filbertrill/filbertrill/internal/routing"
)

// RecordInterrupted records that the registered process of the server may have ended at the given time.
func (s *Scheduler) RecordInterrupted(server routing.Server, at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.balancer.RecordInterrupted(server, at)
}

// RecordRefused records that the server refused a connection of this daemon at the given time.
func (s *Scheduler) RecordRefused(server routing.Server, at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.balancer.RecordRefused(server, at)
}

// Registered returns the server if the process of the refusal is still the registered one.
func (s *Scheduler) Registered(r placement.Refusal) (routing.Server, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.balancer.Registered(r)
}

// MayHaveChanged reports whether another process than the registered one may answer at the server.
func (s *Scheduler) MayHaveChanged(server routing.Server, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.balancer.SetListAsOf(s.options.ListAsOf(now))
	return s.balancer.MayHaveChanged(server)
}
