package scheduler

import (
	"slices"
	"strings"
	"time"

	"github.com/filbertrill/filbertrill/internal/notice"
	"github.com/filbertrill/filbertrill/internal/placement"
	"github.com/filbertrill/filbertrill/internal/routing"
)

// ServerNotice is what a server says of the requests that it takes.
type ServerNotice struct {
	Server routing.Server
	notice.Notice
	Limit    float64 // requests per second from the whole fleet
	HasLimit bool
	LimitAge time.Duration // time since the server last named it

	Cold      bool // or in the ramp after that
	ColdLimit float64
	WarmAt    time.Time
}

// RecordLeaving records that the server of the attempt says that it leaves.
func (s *Scheduler) RecordLeaving(a *placement.Attempt, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if server, ok := a.Server(); ok {
		s.notices.RecordLeaving(server, now)
	}
}

// RecordPause records that the server of the attempt wants no requests of this daemon for so long.
func (s *Scheduler) RecordPause(a *placement.Attempt, pause time.Duration, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if server, ok := a.Server(); ok {
		s.notices.RecordPause(server, pause, now)
	}
}

// available reports whether another request may be sent to the server now. The caller holds the lock.
func (s *Scheduler) available(server uint64, now time.Time) bool {
	return s.notices.Available(server, now) && s.limiter.Allow(server, now)
}

// firstPauseEnd returns the time until the first of the ready servers of the service ends its pause. ok is false unless
// all of them that don't leave pause. The caller holds the lock.
func (s *Scheduler) firstPauseEnd(service string, now time.Time) (wait time.Duration, ok bool) {
	for server := range s.balancer.Ready(service) {
		current, hasNotice := s.notices.Current(server, now)
		switch {
		case hasNotice && !current.LeavingSince.IsZero():
		case !hasNotice:
			return 0, false
		default:
			if remaining := current.PausedUntil.Sub(now); !ok || remaining < wait {
				wait, ok = remaining, true
			}
		}
	}
	return wait, ok
}

// EvacuatedRunning returns the number of requests of this daemon that still run at servers of evacuated zones.
func (s *Scheduler) EvacuatedRunning() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.balancer.EvacuatedRunning()
}

// Notices returns what servers say of the requests that they take, ordered by ID, without those that say nothing.
func (s *Scheduler) Notices(now time.Time) []ServerNotice {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []ServerNotice
	for server, identity := range s.balancer.All() {
		current, hasNotice := s.notices.Current(identity, now)
		limit, age, hasLimit := s.limiter.Named(identity, now)
		coldLimit, warmAt, cold := s.limiter.Cold(identity, now)
		if hasNotice || hasLimit || cold || server.Evacuated {
			list = append(list, ServerNotice{*server, current, limit, hasLimit, age, cold, coldLimit, warmAt})
		}
	}
	slices.SortFunc(list, func(a, b ServerNotice) int { return strings.Compare(a.Server.ID, b.Server.ID) })
	return list
}
