package admission

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

const ms = time.Millisecond

// idleInput returns the input for a request that idle servers answer in time.
func idleInput() Input {
	return Input{
		Predicted:      100 * ms,
		PredictedIdle:  90 * ms,
		Prefill:        40 * ms,
		Objective:      400 * ms,
		TimeToDeadline: 10 * time.Second,
		Levels:         Levels{Guaranteed: 10_000, Attained: 20_000, RecentLimit: math.Inf(1)},
		Window:         4 * time.Second,
	}
}

func TestNoRequestIsRefusedWhileServersAreIdle(t *testing.T) {
	in := idleInput()
	in.Usage = Usage{Demand: 1e9, Admitted: 1e9}
	assert.Equal(t, Admitted, Decide(in).Reason)
}

func TestLargePromptIsNotRefusedForItsOwnPrefill(t *testing.T) {
	in := idleInput()
	in.Prefill, in.PredictedIdle, in.Predicted = 900*ms, 950*ms, 960*ms
	assert.Equal(t, Admitted, Decide(in).Reason)
}

// An account whose single requests are larger than its share must be served as long as it has
// received less than its share before.
func TestRequestsLargerThanShareAreServed(t *testing.T) {
	in := idleInput()
	in.Prefill, in.SlotOccupancy = 200*ms, 0.9
	in.Predicted = in.PredictedIdle + 150*ms
	in.Usage = Usage{Demand: 200_000}
	assert.Equal(t, Admitted, Decide(in).Reason)
	in.Usage.Admitted = 50_000
	assert.Equal(t, OverShare, Decide(in).Reason)
}

func TestRequestIsRefusedWhenTooLate(t *testing.T) {
	in := idleInput()
	in.Predicted = 500 * ms
	v := Decide(in)
	assert.Equal(t, TooLate, v.Reason)
	assert.Positive(t, v.RetryAfter)
}

// The further an account exceeds the attained level, the less load it takes to refuse it. An
// account within its guaranteed level is refused only when its answer would be late.
func TestRefusalOrderFollowsUsage(t *testing.T) {
	refusedAt := func(usage float64) time.Duration {
		for load := time.Duration(0); load < time.Second; load += ms {
			in := idleInput()
			in.Usage = Usage{Demand: usage, Admitted: usage}
			in.Predicted, in.SlotOccupancy = in.PredictedIdle+load, load.Seconds()
			if Decide(in).Reason != Admitted {
				return load
			}
		}
		return time.Second
	}
	within, between, level, beyond := refusedAt(5000), refusedAt(12_000), refusedAt(19_000), refusedAt(80_000)
	assert.Greater(t, within, between)
	assert.Greater(t, between, level)
	assert.Greater(t, level, beyond)
	assert.Positive(t, beyond)
}

// An account far ahead of an underserved one yields until that one has caught up, except on idle
// servers.
func TestLeadOverUnderservedAccountIsBounded(t *testing.T) {
	in := idleInput()
	in.SlotOccupancy, in.Predicted = 0.1, in.PredictedIdle+12*ms
	in.Usage = Usage{Demand: 50_000, Admitted: 25_000, RecentAdmitted: 16_000}
	assert.Equal(t, Admitted, Decide(in).Reason)
	in.Levels.RecentLimit = 15_000
	assert.Equal(t, OverShare, Decide(in).Reason)
	in.SlotOccupancy, in.Predicted = 0, in.PredictedIdle
	assert.Equal(t, Admitted, Decide(in).Reason, "idle servers serve everyone")
}

func TestRecentLimitFollowsLeastServedAccount(t *testing.T) {
	now := time.Unix(1000, 0)
	newSharesWith := func(usage map[uint64]Usage) *Shares {
		s := NewShares(4 * time.Second)
		s.SetCapacity(1000)
		for account, u := range usage {
			s.RecordDemand(account, u.Demand, now)
			s.RecordAdmitted(account, u.Admitted, now)
		}
		return s
	}
	s := newSharesWith(map[uint64]Usage{
		1: {Demand: 9000, Admitted: 6000},
		2: {Demand: 9000, Admitted: 2500}, // its daemon can't send more
		3: {Demand: 300, Admitted: 100},   // demand is below the level, so it doesn't count as underserved
	})
	assert.InDelta(t, maxLeadRatio*2500, s.Levels(now).RecentLimit, 1e-9)

	now = now.Add(2 * time.Second) // the usage above is now in the older half of the window
	s.RecordAdmitted(1, 500, now)
	s.RecordAdmitted(2, 400, now)
	levels := s.Levels(now)
	assert.InDelta(t, levels.Guaranteed/2, levels.RecentLimit, 1e-9, "no account yields below half of the guaranteed level")

	s = newSharesWith(map[uint64]Usage{1: {Demand: 9000, Admitted: 6000}, 2: {Demand: 3000, Admitted: 2500}})
	assert.Greater(t, s.Levels(now).RecentLimit, 6000.0, "an account that gets most of its demand does not limit others")
}

func TestRetryAfterIsWithinDeadline(t *testing.T) {
	in := idleInput()
	in.Predicted = 20 * time.Second
	in.TimeToDeadline = 900 * ms
	for _, jitter := range []float64{0, 0.5, 0.999} {
		in.Jitter = jitter
		assert.LessOrEqual(t, Decide(in).RetryAfter, in.TimeToDeadline/2)
	}
}

func TestMaxMinLevel(t *testing.T) {
	assert.Equal(t, math.Inf(1), MaxMinLevel([]float64{1, 2, 3}, 6))
	assert.Equal(t, math.Inf(1), MaxMinLevel(nil, 6))
	assert.InDelta(t, 2.5, MaxMinLevel([]float64{1, 10, 20}, 6), 1e-9)
	assert.InDelta(t, 2, MaxMinLevel([]float64{9, 9, 9}, 6), 1e-9)
}

func TestUsageCountsOwnAndPeersOverWindow(t *testing.T) {
	s := NewShares(4 * time.Second)
	now := time.Unix(1000, 0)
	s.RecordDemand(1, 100, now)
	s.RecordAdmitted(1, 60, now)
	s.SetPeerUsage("b", map[uint64]Usage{1: {Demand: 50, Admitted: 10}}, now)
	assert.Equal(t, Usage{Demand: 150, Admitted: 70, RecentAdmitted: 60}, s.Usage(1, now))

	now = now.Add(2 * time.Second) // the peer's report has expired
	assert.Equal(t, Usage{Demand: 100, Admitted: 60}, s.Usage(1, now))
	now = now.Add(3 * time.Second) // the window has passed
	assert.Equal(t, Usage{}, s.Usage(1, now))
}

func TestLevelsFollowAdmittedTokens(t *testing.T) {
	s := NewShares(4 * time.Second)
	s.SetCapacity(100)
	now := time.Unix(1000, 0)
	for account := uint64(1); account <= 2; account++ {
		s.RecordDemand(account, 1000, now)
		s.RecordAdmitted(account, 400, now)
	}
	levels := s.Levels(now)
	assert.InDelta(t, 200, levels.Guaranteed, 1e-9) // half of 4 s at 100 tokens/s
	assert.InDelta(t, 400, levels.Attained, 1e-9)   // half of the 800 tokens that were admitted
}
