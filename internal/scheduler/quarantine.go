package scheduler

import (
	"time"

	"github.com/filbertrill/filbertrill/internal/placement"
	"github.com/filbertrill/filbertrill/internal/quarantine"
)

// heldPart returns the prompt part of the request that is held in quarantine, if there is one. The caller holds the lock.
func (s *Scheduler) heldPart(r Request) (quarantine.Status, bool) {
	if !s.quarantine.AnySuspected() {
		return quarantine.Status{}, false
	}
	return s.quarantine.Held(r.SharedParts())
}

// HeldPart returns the prompt part for which the request must not be sent, if there is one.
func (s *Scheduler) HeldPart(r Request) (quarantine.Status, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.heldPart(r)
}

// RecordEvents records that events of a stream have arrived; count is their number in this attempt so far.
func (s *Scheduler) RecordEvents(a *placement.Attempt, count int, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.balancer.RecordFirstEvent(a, now)
	if server, ok := a.Server(); ok {
		s.quarantine.RecordAlive(server, a.SentAt(), now)
	}
	// The server has continued after the first event, which is the begin of the answer.
	if count > 1 && a.SetSound() {
		s.quarantine.RecordSound(a.SharedParts(), now)
	}
}

// RecordComplete records that a complete successful answer has arrived.
func (s *Scheduler) RecordComplete(a *placement.Attempt, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if a.SetSound() {
		s.quarantine.RecordSound(a.SharedParts(), now)
	}
}

// RecordBroken records that the server closed the connection before the answer was complete. begun tells whether the
// head of the answer had arrived.
func (s *Scheduler) RecordBroken(a *placement.Attempt, begun bool, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	server, ok := a.Server()
	if !ok || a.Sound() || a.Draining() {
		return
	}
	s.quarantine.RecordEnd(a.SharedParts(), quarantine.End{Server: server, At: now, Begun: begun}, now)
}

// Quarantined returns the suspected prompt parts.
func (s *Scheduler) Quarantined(now time.Time) []quarantine.Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.quarantine.List(now)
}

// QuarantineReports returns the evidence against the suspected prompt parts.
func (s *Scheduler) QuarantineReports(now time.Time) []quarantine.Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.quarantine.SuspectReports(now)
}

// MergeQuarantine adds evidence from before the start of this daemon.
func (s *Scheduler) MergeQuarantine(reports []quarantine.Report, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.quarantine.Merge(reports, now)
}

// LiftQuarantine clears a suspected prompt part. It reports whether the part was suspected.
func (s *Scheduler) LiftQuarantine(part uint64, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.quarantine.Lift(part, now)
}

// QuarantineChanges returns the prompt parts that became suspected, or are no longer, since the last call.
func (s *Scheduler) QuarantineChanges() []quarantine.Change {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.quarantine.Changes()
}
