package admission

import "time"

const (
	// fairPressure is the share of the objective that the prediction may reach before
	// accounts beyond their share are refused: below it nobody waits for another.
	fairPressure = 0.45
	// fullPressure is the share of the objective beyond which every request is refused:
	// it would be late, and so would those behind it.
	fullPressure = 0.95
	// ownShare is the most that the reading of its own prompt adds to a request's pressure.
	ownShare = 0.3
	// returnPressure is the share of the objective at which refused callers find room.
	returnPressure = 0.4
	// minRetry and maxRetry bound the time after which a refused caller is asked back.
	minRetry = 60 * time.Millisecond
	maxRetry = 3 * time.Second
)

// Reason tells why a request is refused.
type Reason int

// The reasons of refusals.
const (
	Admitted Reason = iota
	OverShare
	TooLate
)

// Question is what a decision depends on.
type Question struct {
	Predicted time.Duration // to the first event, at the best server
	Own       time.Duration // the part of Predicted in which its own prompt is read
	Objective time.Duration
	Left      time.Duration // until the caller's deadline
	Use       Use           // of the account over the fleet, this request left out
	Tokens    float64       // of this request
	Level     float64       // fair share of an account, in tokens a window
	Window    time.Duration
	Jitter    float64 // from [0, 1), spreads the callers that come back
}

// Verdict is the decision on one request.
type Verdict struct {
	Reason     Reason
	RetryAfter time.Duration // when Reason is not Admitted
}

// Decide refuses a request that the servers can't answer in time, and before that one
// whose account has received its share of the window.
func Decide(q Question) Verdict {
	pressure := q.pressure()
	over := q.Level > 0 && q.Use.Admitted+q.Tokens > q.Level && q.Use.Asked+q.Tokens > q.Level
	switch {
	case pressure > fullPressure:
		return Verdict{TooLate, q.retry(q.drain())}
	case over && pressure > fairPressure:
		excess := (q.Use.Admitted + q.Tokens - q.Level) / q.Level
		wait := time.Duration(excess * float64(q.Window))
		return Verdict{OverShare, q.retry(max(wait, q.drain()))}
	default:
		return Verdict{Reason: Admitted}
	}
}

// pressure returns the predicted wait as a share of the objective. The reading of its own
// prompt counts up to ownShare: a large prompt takes long on idle servers, too, and is no
// reason to refuse it each time that it comes.
func (q Question) pressure() float64 {
	own := min(q.Own, time.Duration(ownShare*float64(q.Objective)))
	return (q.Predicted - q.Own + own).Seconds() / max(q.Objective.Seconds(), 0.001)
}

// drain returns the time until the servers have read enough for a caller to find room.
func (q Question) drain() time.Duration {
	return q.Predicted - time.Duration(returnPressure*float64(q.Objective))
}

// retry spreads the time over half of itself, so that those refused together do not
// return together.
func (q Question) retry(wait time.Duration) time.Duration {
	wait = min(max(wait, minRetry), maxRetry, max(q.Left/3, minRetry))
	return wait + time.Duration(q.Jitter*float64(wait)/2)
}
