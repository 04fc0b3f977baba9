package scheduler

import (
	"time"

	"github.com/filbertrill/filbertrill/internal/routing"
)

// RecordInterrupted records that the registered process of the server may have ended at the given time.
func (s *Scheduler) RecordInterrupted(server routing.Server, at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.balancer.RecordInterrupted(server, at)
}

// RecordServerBroken records that the registered process of the server may have ended, and that it is being found out.
func (s *Scheduler) RecordServerBroken(server routing.Server, at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.balancer.RecordBroken(server, at)
}

// RecordContinued records that the registered process of the server was seen to run on as of the given time.
func (s *Scheduler) RecordContinued(server routing.Server, asOf time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.balancer.RecordContinued(server, asOf)
}

// MayHaveChanged reports whether another process than the registered one may answer at the server.
func (s *Scheduler) MayHaveChanged(server routing.Server, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.balancer.SetListAsOf(s.options.ListAsOf(now))
	return s.balancer.MayHaveChanged(server)
}
