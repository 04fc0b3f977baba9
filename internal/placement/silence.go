package placement

import (
	"math"
	"time"
)

// A server may be silent for a second and go on where it stopped. Until it is heard from again, requests are sent to others. Then
// failures for the silence are forgotten, and of the requests that have waited through it only the first one to be answered counts
// as an observation of the server: the silence was one event, not the time that each of them takes.

// silence is a time in which nothing was received from a server although several requests were in flight there.
type silence struct{ from, until time.Time }

// overlap returns the part of the time between from and until that the silence takes.
func (s silence) overlap(from, until time.Time) time.Duration {
	if s.from.After(from) {
		from = s.from
	}
	if s.until.Before(until) {
		until = s.until
	}
	return max(0, until.Sub(from))
}

// recordHeard records that something was received from the server. It reports whether that ended a silence.
func (s *server) recordHeard(now time.Time) bool {
	silentFor := now.Sub(s.heardAt)
	ended := s.ownLoad.Running > 1 && silentFor > overdueSlack && silentFor > s.silenceTimeout()
	if ended {
		s.silence = silence{s.heardAt, now}
	}
	s.heardAt = now
	s.silentFailureRate = 0
	return ended
}

// silenceTimeout returns the time without a sign of life after which a server with requests in flight counts as silent.
func (s *server) silenceTimeout() time.Duration {
	longest := time.Duration(0)
	for a := range s.awaitingFirstEvent {
		longest = max(longest, a.predicted)
	}
	return overdueTime(longest)
}

// overdueTime returns the time after which a first event is overdue that was predicted to take the given time.
func overdueTime(predicted time.Duration) time.Duration { return 2*predicted + overdueSlack }

// isSilent reports whether nothing was received from the server for so long, while the attempt was in flight, that it counts as
// silent.
func (s *server) isSilent(a *Attempt, now time.Time) bool {
	since := s.heardAt
	if a.sentAt.After(since) {
		since = a.sentAt
	}
	return now.Sub(since) > overdueSlack
}

// wasOverdue reports whether the attempt, which ends, has waited for its first event, or its next one, for so long that the server
// counts as silent.
func (a *Attempt) wasOverdue(now time.Time) bool {
	expected := a.predicted
	if a.firstEventSeen {
		expected = a.request.MaxGap
		if expected == 0 { // streams may pause
			return false
		}
	}
	since := a.server.heardAt
	if a.sentAt.After(since) {
		since = a.sentAt
	}
	return now.Sub(since) > overdueTime(expected)
}

// heldUp reports whether the attempt has waited through a silence of the server.
func (a *Attempt) heldUp(now time.Time) bool {
	return a.server.silence.overlap(a.sentAt, now) > overdueSlack
}

// failureRate returns the moving average of failures in [0, 1]. It decays while no request is
// sent, so that the server is tried again.
func (s *server) failureRate(now time.Time) float64 {
	if s.lastFailureRate == 0 && s.silentFailureRate == 0 {
		return 0
	}
	decay := math.Exp(-now.Sub(s.lastOutcome).Seconds() / failureDecay.Seconds())
	return 1 - (1-s.lastFailureRate*decay)*(1-s.silentFailureRate*decay)
}

// recordOutcome records a success or a failure. silent states that the attempt failed for the silence of the server alone.
func (s *server) recordOutcome(failed, silent bool, now time.Time) {
	decay := math.Exp(-now.Sub(s.lastOutcome).Seconds() / failureDecay.Seconds())
	s.lastFailureRate *= decay
	s.silentFailureRate *= decay
	s.lastOutcome = now
	rate := &s.lastFailureRate
	if silent {
		rate = &s.silentFailureRate
	}
	*rate *= 1 - failureGain
	if failed {
		*rate += failureGain
	}
}
