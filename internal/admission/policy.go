package admission

import (
	"math"
	"time"
)

const (
	// overShareLoadDelay is the share of the objective that the load delay of a request may reach
	// when its account has received exactly the attained level. With 0.2 and 0.22 the overall
	// score fell by 0.03 to 0.05 under the heaviest loads (docs/design/platform.md).
	overShareLoadDelay = 0.14
	// allowanceExponent is the exponent of the ratio of the attained level to the account's usage,
	// and of the highest rate to that of an underserved account.
	// With 1, an account whose overloaded daemon sent too few requests stayed at a quarter of the
	// usage of the others.
	allowanceExponent = 2
	// maxAllowanceFactor and minAllowanceFactor bound the factor applied to overShareLoadDelay.
	// The maximum limits accounts between the guaranteed and the attained level; the minimum keeps
	// idle servers available to accounts however far they exceed the attained level.
	maxAllowanceFactor = 5
	minAllowanceFactor = 0.3
	// maxObjectiveRatio is the predicted share of the objective above which every request is
	// refused: it would miss the objective and delay the requests queued after it. The remaining
	// 0.05 covers prediction errors.
	maxObjectiveRatio = 0.95
	// minLateLoadDelay is the least load delay, as a share of the objective, for a request to be
	// refused as too late. Refusing is pointless when even idle servers are predicted to be late:
	// the prediction may be wrong, and only requests that are sent correct it. It is less than
	// overShareLoadDelay so that it never decides between accounts.
	minLateLoadDelay = 0.1
	// unusedGain is the factor by which more of an unused part of the limit is given out than is known to be unused. Some of
	// it is refused for other reasons.
	unusedGain = 2.0
	// gapFactor is the multiple of Input.MaxGap that bounds the objective of which the allowed load delay is a share. With 1,
	// streams whose gap is three quarters of their objective were refused although they would have been on time.
	gapFactor = 4.0 / 3
	// rankFactor is the factor by which the load delay that a request may have falls with each rank. Where room is short, a
	// server is full for a rank before it is full for the one above.
	rankFactor = 0.5
	// maxPrefillShare is the most that the prefill of a request's own prompt counts, as a share of
	// the objective. Without this bound the largest tenth of prompts was served half as often as
	// the average.
	maxPrefillShare = 0.3
	// retryObjectiveRatio is the predicted share of the objective at which servers have capacity
	// for refused callers again.
	retryObjectiveRatio = 0.4
	// minRetryAfter and maxRetryAfter bound Verdict.RetryAfter: at least a round trip between
	// zones plus the age of peer reports, and less than a fairness window.
	minRetryAfter = 60 * time.Millisecond
	maxRetryAfter = 3 * time.Second
)

// Reason is why a request is refused, or Admitted.
type Reason int

// The reasons of refusals.
const (
	Admitted  Reason = iota
	OverShare        // the account has received its share of the window
	TooLate          // the first event would miss the objective
)

// Input holds everything that the decision on a request depends on.
type Input struct {
	Predicted      time.Duration // time to the first event at the best server
	Prefill        time.Duration // part of Predicted spent on the prefill of the request's own prompt
	PredictedIdle  time.Duration // Predicted for the same server if it were idle
	Objective      time.Duration // for the time to the first event
	MaxGap         time.Duration // longest time between two events at which streams of the service are on time, 0 for any
	Rank           int           // 0 for the most urgent requests, see Shares.Rank
	SlotOccupancy  float64       // share of the best server's slots that are in use
	TimeToDeadline time.Duration // until the caller's deadline
	Usage          Usage         // of the account over the fleet, without this request
	OwnDemand      float64       // part of Usage.Demand at this daemon
	DemandShare    float64       // see Shares.DemandShare
	DemandGrowth   float64       // see Shares.DemandGrowth
	Credit         float64       // tokens that the account may receive here, see Shares.Credit
	CreditRate     float64       // tokens per second: this daemon's part of Levels.Limit
	Levels         Levels        // over the fleet
	Window         time.Duration // fairness window that Usage and Levels cover
	ReportAge      time.Duration // of the oldest peer report in Usage and Levels; for logs only
	Jitter         float64       // in [0, 1), spreads the retries of refused callers
	Draw           float64       // in [0, 1), decides on a throttled request; the same for all servers that are compared
}

// Verdict is the decision on one request.
type Verdict struct {
	Reason     Reason
	RetryAfter time.Duration // zero when Reason is Admitted
}

// LimitCheck is how a request compares with Levels.Limit.
type LimitCheck string

// The results of the check. All but the last two allow the request to be admitted.
const (
	NoLimit     LimitCheck = "none"      // no account is underserved, or all demand of this one fits its guaranteed level
	WithinPart  LimitCheck = "part"      // of this daemon
	DrawnUnused LimitCheck = "unused"    // the part is used up, and the request was drawn to use what other parts leave unused
	PartUsed    LimitCheck = "part_used" // and the request was not drawn
	LimitUsed   LimitCheck = "limit_used"
)

// Decide refuses a request that the servers can't answer within the objective, and, under less
// load, one whose account has already received its share of the window.
func Decide(in Input) Verdict {
	ratio := in.objectiveRatio()
	switch {
	case ratio > maxObjectiveRatio && in.loadDelay() > minLateLoadDelay*in.Objective.Seconds():
		return Verdict{TooLate, in.retryAfter(in.capacityWait())}
	case in.LoadDelay() > in.AllowedLoadDelay():
		return Verdict{OverShare, in.retryAfter(max(in.shareWait(), in.capacityWait()))}
	default:
		return Verdict{Reason: Admitted}
	}
}

// objectiveRatio returns the predicted time to the first event as a share of the objective. The
// prefill of the request's own prompt counts up to maxPrefillShare: a large prompt takes long on
// idle servers, too, and would otherwise be refused on every retry.
func (in Input) objectiveRatio() float64 {
	prefill := min(in.Prefill, time.Duration(maxPrefillShare*float64(in.Objective)))
	return (in.Predicted - in.Prefill + prefill).Seconds() / max(in.Objective.Seconds(), 0.001)
}

// loadDelayAllowance returns the share of the objective that the load delay may reach. An account
// within its guaranteed level is bounded only by the objective. Only earlier usage counts, not
// the request itself (start-time fair queueing, Goyal et al. 1996): otherwise an account that
// sends only requests larger than its share would never be served. Beyond the guaranteed level
// the allowance falls as the account's usage grows relative to the attained level. Beyond the limit
// it is negative, which excludes idle servers, too: what an account receives there counts like the
// rest.
func (in Input) loadDelayAllowance() float64 {
	check := in.CheckLimit()
	switch {
	case in.withinGuaranteedDemand():
		return 1
	case check == PartUsed || check == LimitUsed:
		return -1
	case in.Usage.Admitted <= in.Levels.Guaranteed:
		return 1
	}
	factor := max(math.Pow(in.Levels.Attained/in.Usage.Admitted, allowanceExponent), minAllowanceFactor)
	if in.Usage.underserved(in.Levels.Guaranteed) {
		lead := min(in.Levels.HighestRate, in.Levels.Limit) / max(in.Usage.rate(), 1)
		factor = max(factor, math.Pow(lead, allowanceExponent))
	}
	return overShareLoadDelay * min(factor, maxAllowanceFactor)
}

// withinGuaranteedDemand reports whether all demand of the account fits its guaranteed level, so that
// it can't exceed a limit. The part of this daemon is compared, too, since peers report the begin of
// a flood late.
func (in Input) withinGuaranteedDemand() bool {
	level := min(in.Levels.Guaranteed, in.Levels.Limit)
	return in.Usage.Demand <= level && in.OwnDemand <= in.DemandShare*level
}

// CheckLimit compares what the account has received with Levels.Limit over the fleet, and with this
// daemon's part of it. The usage over the fleet is known with a delay, in which all daemons
// together could exceed the limit several times. Parts follow the demand (distributed rate limiting,
// Raghavan et al. 2007).
//
// What the parts of an account that has competed for a while leave unused is given out at random, to as many of its refused
// requests as fill it (core-stateless fair queueing, Stoica et al. 1998). A daemon that gets one request of the account a
// second can't use a part that is smaller than the request: all accounts together would stay far below what idle servers
// could do.
func (in Input) CheckLimit() LimitCheck {
	rate := in.Usage.rate()
	switch {
	case math.IsInf(in.Levels.Limit, 1) || in.withinGuaranteedDemand():
		return NoLimit
	case rate > in.Levels.Limit:
		return LimitUsed
	case in.Credit > 0:
		return WithinPart
	case in.Usage.underserved(in.Levels.Guaranteed) && in.Draw*in.unmetDemand() < unusedGain*(in.Levels.Limit-rate):
		return DrawnUnused
	}
	return PartUsed
}

// unmetDemand returns the tokens per window that the account asks for and doesn't receive. The demand over the fleet is that of a
// window that has passed: if requests were drawn by it alone, an account whose demand has grown to the sixfold would receive
// six times what is unused, until the window has caught up.
func (in Input) unmetDemand() float64 {
	return max(1, in.DemandGrowth) * (in.Usage.Demand - in.Usage.rate())
}

// Behind reports whether the account is underserved, receives less than the attained level, and may receive more by its limit.
func (in Input) Behind() bool {
	check := in.CheckLimit()
	return in.Usage.underserved(in.Levels.Guaranteed) && in.Usage.rate() < in.Levels.Attained && check != PartUsed && check != LimitUsed
}

// allowanceBase returns the time of which loadDelayAllowance is a share. Prompts that wait at a server hold up the streams that
// run there, which allow for less than the time to a first event.
func (in Input) allowanceBase() time.Duration {
	if in.MaxGap > 0 {
		return min(in.Objective, time.Duration(gapFactor*float64(in.MaxGap)))
	}
	return in.Objective
}

// loadDelay returns the delay in seconds that the request meets and causes: what the server's
// load adds to the prediction, plus the prefill of the request's own prompt (up to
// maxPrefillShare) weighted by slot occupancy. On an idle server it is zero, however large the
// prompt.
func (in Input) loadDelay() float64 {
	prefill := min(in.Prefill, time.Duration(maxPrefillShare*float64(in.Objective)))
	return (in.Predicted - in.PredictedIdle).Seconds() + in.SlotOccupancy*prefill.Seconds()
}

// LoadDelay returns the delay that the request meets and causes at its server.
func (in Input) LoadDelay() time.Duration {
	return time.Duration(in.loadDelay() * float64(time.Second))
}

// AllowedLoadDelay returns the LoadDelay above which the request is refused as beyond the share of
// its account.
func (in Input) AllowedLoadDelay() time.Duration {
	return time.Duration(in.loadDelayAllowance() * math.Pow(rankFactor, float64(in.Rank)) * float64(in.allowanceBase()))
}

// shareWait returns the time until the account has a share again: the part of the window that its
// excess over the attained level or the limit fills, or the time until its debt is paid off.
func (in Input) shareWait() time.Duration {
	excess := max(0, in.Usage.Admitted/in.Levels.Attained-1, in.Usage.rate()/in.Levels.Limit-1)
	wait := excess * in.Window.Seconds()
	if in.Credit < 0 {
		wait = max(wait, -in.Credit/in.CreditRate)
	}
	return time.Duration(min(wait, maxRetryAfter.Seconds()) * float64(time.Second))
}

// capacityWait returns the time until the backlog of the best server falls to retryObjectiveRatio
// of the objective.
func (in Input) capacityWait() time.Duration {
	return in.Predicted - time.Duration(retryObjectiveRatio*float64(in.Objective))
}

// retryAfter clamps the wait to the bounds and to a third of the time to the deadline, and adds
// jitter of up to half of it, so that callers refused together do not retry together.
func (in Input) retryAfter(wait time.Duration) time.Duration {
	wait = min(max(wait, minRetryAfter), maxRetryAfter, max(in.TimeToDeadline/3, minRetryAfter))
	return wait + time.Duration(in.Jitter*float64(wait)/2)
}
