package scheduler

import (
	"time"

	"github.com/filbertrill/filbertrill/internal/placement"
)

// RecordLimit records the limit of requests per second that the server has named in its answer.
func (s *Scheduler) RecordLimit(a *placement.Attempt, perSecond float64, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if server, ok := a.Server(); ok {
		s.limiter.RecordNamed(server, perSecond, now)
	}
}

// RecordNoLimit records that the server has named no limit in its answer.
func (s *Scheduler) RecordNoLimit(a *placement.Attempt, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if server, ok := a.Server(); ok {
		s.limiter.RecordNotNamed(server, a.SentAt(), now)
	}
}

// anyLimited reports whether a ready server of the service has a limit. The caller holds the lock.
func (s *Scheduler) anyLimited(service string) bool {
	for identity := range s.balancer.Ready(service) {
		if s.limiter.Limited(identity) {
			return true
		}
	}
	return false
}
