package scheduler

import (
	"net/http"
	"time"

	"github.com/filbertrill/filbertrill/internal/placement"
	"github.com/filbertrill/filbertrill/internal/quarantine"
)

// subjects returns what of the request may end servers, as far as it is known. The caller holds the lock.
func (s *Scheduler) subjects(r Request) []quarantine.Subject {
	subjects := quarantine.Parts(r.SharedParts())
	if r.Digest != nil {
		subjects = append(subjects, quarantine.Subject{Kind: quarantine.WholeRequest, ID: r.Digest()})
	}
	return subjects
}

// held returns the reason for which the request is held in quarantine, if there is one. The caller holds the lock.
func (s *Scheduler) held(r Request) (quarantine.Status, bool) {
	if !s.quarantine.AnySuspected(quarantine.WholeRequest) {
		r.Digest = nil
	}
	if r.Digest == nil && !s.quarantine.AnySuspected(quarantine.PromptPart) {
		return quarantine.Status{}, false
	}
	return s.quarantine.Held(s.subjects(r))
}

// CheckRead decides on a request whose body was read whether it must not be sent because of the quarantine, and for what.
// If trial is set, Decide has started a trial of the prompt parts. The result tells whether the request is one now.
func (s *Scheduler) CheckRead(r Request, trial bool, now time.Time) (held quarantine.Status, isHeld, isTrial bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if trial {
		r.Parts = nil
	}
	held, isHeld = s.held(r)
	if !isHeld {
		return held, false, trial
	}
	if s.quarantine.StartTrial(s.subjects(r), now) {
		return held, false, true
	}
	return held, true, false
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
		s.quarantine.RecordSound(quarantine.Parts(a.SharedParts()), now)
	}
}

// RecordComplete records that a complete answer of the server has arrived, with its HTTP status.
func (s *Scheduler) RecordComplete(r Request, a *placement.Attempt, status int, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if status/100 == 2 && a.SetSound() {
		s.quarantine.RecordSound(quarantine.Parts(a.SharedParts()), now)
	}
	// A server that failed may have done so before it ran the request.
	if status < http.StatusInternalServerError && s.quarantine.AnyEvidence(quarantine.WholeRequest) {
		r.Parts = nil
		s.quarantine.RecordSound(s.subjects(r), now)
	}
}

// RecordBroken records that the server closed the connection before the answer was complete. begun tells whether the
// head of the answer had arrived.
func (s *Scheduler) RecordBroken(r Request, a *placement.Attempt, begun bool, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a.SetBroken()
	server, ok := a.Server()
	if !ok || a.Draining() {
		return
	}
	if a.Sound() {
		r.Parts = nil // a part ends a server at the begin of the answer
	}
	s.quarantine.RecordEnd(s.subjects(r), quarantine.End{Server: server, At: now, Begun: begun}, now)
}

// Quarantined returns the suspected prompt parts and requests.
func (s *Scheduler) Quarantined(now time.Time) []quarantine.Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.quarantine.List(now)
}

// QuarantineReports returns the evidence against the suspected prompt parts and requests.
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

// LiftQuarantine clears a suspected prompt part or request. It reports whether it was suspected.
func (s *Scheduler) LiftQuarantine(id uint64, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.quarantine.Lift(id, now)
}

// QuarantineChanges returns the prompt parts and requests that became suspected, or are no longer, since the last call.
func (s *Scheduler) QuarantineChanges() []quarantine.Change {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.quarantine.Changes()
}
