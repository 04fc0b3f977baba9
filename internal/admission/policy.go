package admission

import (
	"math"
	"time"
)

const (
	// fairBurden is the share of the objective that a request's burden may reach before it is
	// refused for an account beyond its share. 0.2 and 0.22 lost 0.03 to 0.05 of worth on the
	// heaviest days of both sites (docs/design/platform.md).
	overShareLoadDelay = 0.14
	// yieldPower makes accounts yield by the square of what they received against the level that
	// the others reach. With 1, one that a slow daemon held back stayed at a quarter of the
	// others' (TestOthersWaitForAnAccountThatFallsBehind).
	allowanceExponent = 2
	// maxYield bounds the burden of accounts between what they are owed and what others reach;
	// minYield leaves idle servers to accounts however far beyond it.
	maxAllowanceFactor = 5
	minAllowanceFactor = 0.3
	// leadYield takes the place of minYield for accounts beyond Levels.Bound, which leaves them
	// servers without any other request. Yielding by degrees from the bound on let accounts go
	// 1.4 times beyond it.
	leadAllowanceFactor = 0.1
	// fullPressure is the share of the objective beyond which every request is refused:
	// it would be late, and so would those behind it. The rest covers the error of predictions.
	maxObjectiveRatio = 0.95
	// busyBurden is the share of the objective that load has to add to a prediction before it
	// counts as the reason why a request would be late. Refusing helps nobody when idle
	// servers are predicted to be late: the prediction may be wrong, and only requests that
	// are sent correct it. Less than fairBurden, so that it never decides between accounts.
	minLateLoadDelay = 0.1
	// ownShare is the most that the reading of its own prompt adds to a request's pressure.
	// Without a bound the largest tenth of prompts was served half as often as all.
	maxPrefillShare = 0.3
	// returnPressure is the share of the objective at which refused callers find room.
	retryObjectiveRatio = 0.4
	// minRetry and maxRetry bound the time after which a refused caller is asked back: a round
	// trip between zones and a view's age at least, less than a fairness window at most.
	minRetryAfter = 60 * time.Millisecond
	maxRetryAfter = 3 * time.Second
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
type Input struct {
	Predicted      time.Duration // to the first event, at the best server
	Prefill        time.Duration // the part of Predicted in which its own prompt is read
	PredictedIdle  time.Duration // the same prediction for an idle server
	Objective      time.Duration
	SlotOccupancy  float64       // share of the best server's places that are taken
	TimeToDeadline time.Duration // until the caller's deadline
	Usage          Usage         // of the account over the fleet, this request left out
	Levels         Levels
	Window         time.Duration
	Jitter         float64 // from [0, 1), spreads the callers that come back
}

// Verdict is the decision on one request.
type Verdict struct {
	Reason     Reason
	RetryAfter time.Duration // when Reason is not Admitted
}

// Decide refuses a request that the servers can't answer in time, and before that one
// whose account has received its share of the window.
func Decide(in Input) Verdict {
	ratio := in.objectiveRatio()
	switch {
	case ratio > maxObjectiveRatio && in.loadDelay() > minLateLoadDelay*in.Objective.Seconds():
		return Verdict{TooLate, in.retryAfter(in.capacityWait())}
	case in.loadDelay() > in.loadDelayAllowance()*in.Objective.Seconds():
		excess := max(0, in.Usage.Admitted/in.Levels.Attained-1)
		wait := time.Duration(excess * float64(in.Window))
		return Verdict{OverShare, in.retryAfter(max(wait, in.capacityWait()))}
	default:
		return Verdict{Reason: Admitted}
	}
}

// pressure returns the predicted wait as a share of the objective. The reading of its own
// prompt counts up to ownShare: a large prompt takes long on idle servers, too, and is no
// reason to refuse it each time that it comes.
func (in Input) objectiveRatio() float64 {
	prefill := min(in.Prefill, time.Duration(maxPrefillShare*float64(in.Objective)))
	return (in.Predicted - in.Prefill + prefill).Seconds() / max(in.Objective.Seconds(), 0.001)
}

// allowance returns the share of the objective that the burden may reach. An account within
// what it is owed has no bound but the objective. What it has received before counts, not the
// request itself (start-time fair queueing, Goyal et al. 1996): else an account that sends
// only requests larger than its share would never be served. Beyond that, the more an account has received
// against the level that the others reach, the earlier it yields; and much earlier where another
// account that wants as much falls far behind, as one does whose daemon is short of processor time.
func (in Input) loadDelayAllowance() float64 {
	if in.Usage.Admitted <= in.Levels.Guaranteed {
		return 1
	}
	if in.Usage.RecentAdmitted > in.Levels.RecentLimit {
		return overShareLoadDelay * leadAllowanceFactor
	}
	return overShareLoadDelay * min(max(math.Pow(in.Levels.Attained/in.Usage.Admitted, allowanceExponent), minAllowanceFactor), maxAllowanceFactor)
}

// burden returns the delay, in seconds, that the request meets and causes: what the load of
// the server adds to its prediction, and its own reading as far as places are taken. On idle
// servers a request is no burden, however large.
func (in Input) loadDelay() float64 {
	prefill := min(in.Prefill, time.Duration(maxPrefillShare*float64(in.Objective)))
	return (in.Predicted - in.PredictedIdle).Seconds() + in.SlotOccupancy*prefill.Seconds()
}

// drain returns the time until the servers have read enough for a caller to find room.
func (in Input) capacityWait() time.Duration {
	return in.Predicted - time.Duration(retryObjectiveRatio*float64(in.Objective))
}

// retry spreads the time over half of itself, so that those refused together do not
// return together.
func (in Input) retryAfter(wait time.Duration) time.Duration {
	wait = min(max(wait, minRetryAfter), maxRetryAfter, max(in.TimeToDeadline/3, minRetryAfter))
	return wait + time.Duration(in.Jitter*float64(wait)/2)
}
