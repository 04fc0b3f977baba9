package admission

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

const ms = time.Millisecond

// calm is a request that idle servers answer in time.
func calm() Input {
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

func TestNobodyIsRefusedWhileServersAreIdle(t *testing.T) {
	q := calm()
	q.Usage = Usage{Demand: 1e9, Admitted: 1e9}
	assert.Equal(t, Admitted, Decide(q).Reason)
}

func TestLargePromptIsNotRefusedForItsOwnReading(t *testing.T) {
	q := calm()
	q.Prefill, q.PredictedIdle, q.Predicted = 900*ms, 950*ms, 960*ms
	assert.Equal(t, Admitted, Decide(q).Reason)
}

// An account whose single requests are larger than its share is served while it has
// received less than that: yushan-rounds, mix --seed 462942775984, FAIR.
func TestRequestsLargerThanTheShareAreServed(t *testing.T) {
	q := calm()
	q.Prefill, q.SlotOccupancy = 200*ms, 0.9
	q.Predicted = q.PredictedIdle + 150*ms
	q.Usage = Usage{Demand: 200_000}
	assert.Equal(t, Admitted, Decide(q).Reason)
	q.Usage.Admitted = 50_000
	assert.Equal(t, OverShare, Decide(q).Reason)
}

func TestEveryoneIsRefusedWhenLate(t *testing.T) {
	q := calm()
	q.Predicted = 500 * ms
	v := Decide(q)
	assert.Equal(t, TooLate, v.Reason)
	assert.Positive(t, v.RetryAfter)
}

// The account furthest beyond the level that others reach yields first, and one within
// what it is owed not before its answer would be late.
func TestOrderOfYielding(t *testing.T) {
	refusedAt := func(use float64) time.Duration {
		for load := time.Duration(0); load < time.Second; load += ms {
			q := calm()
			q.Usage = Usage{Demand: use, Admitted: use}
			q.Predicted, q.SlotOccupancy = q.PredictedIdle+load, load.Seconds()
			if Decide(q).Reason != Admitted {
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

// An account that is far ahead of another one that wants as much yields until that one has
// caught up, but never below what all are owed.
func TestLeadIsBounded(t *testing.T) {
	q := calm()
	q.SlotOccupancy, q.Predicted = 0.1, q.PredictedIdle+12*ms
	q.Usage = Usage{Demand: 50_000, Admitted: 25_000, RecentAdmitted: 16_000}
	assert.Equal(t, Admitted, Decide(q).Reason)
	q.Levels.RecentLimit = 15_000
	assert.Equal(t, OverShare, Decide(q).Reason)
	q.SlotOccupancy, q.Predicted = 0, q.PredictedIdle
	assert.Equal(t, Admitted, Decide(q).Reason, "idle servers serve everyone")
}

func TestBoundFollowsTheAccountThatIsBehind(t *testing.T) {
	now := time.Unix(1000, 0)
	with := func(uses map[uint64]Usage) *Shares {
		s := NewShares(4 * time.Second)
		s.SetCapacity(1000)
		for account, use := range uses {
			s.RecordDemand(account, use.Demand, now)
			s.RecordAdmitted(account, use.Admitted, now)
		}
		return s
	}
	s := with(map[uint64]Usage{
		1: {Demand: 9000, Admitted: 6000},
		2: {Demand: 9000, Admitted: 2500}, // its daemon can't send more
		3: {Demand: 300, Admitted: 100},   // wants little: its refusals have other reasons
	})
	assert.InDelta(t, maxLead*2500, s.Levels(now).RecentLimit, 1e-9)

	now = now.Add(2 * time.Second) // what was given before is half a window old
	s.RecordAdmitted(1, 500, now)
	s.RecordAdmitted(2, 400, now)
	levels := s.Levels(now)
	assert.InDelta(t, levels.Guaranteed/2, levels.RecentLimit, 1e-9, "nobody yields below what all are owed")

	s = with(map[uint64]Usage{1: {Demand: 9000, Admitted: 6000}, 2: {Demand: 3000, Admitted: 2500}})
	assert.Greater(t, s.Levels(now).RecentLimit, 6000.0, "an account that gets most of what it asks for holds nobody back")
}

func TestRetryAfterIsWithinWhatCallersHonour(t *testing.T) {
	q := calm()
	q.Predicted = 20 * time.Second
	q.TimeToDeadline = 900 * ms
	for _, jitter := range []float64{0, 0.5, 0.999} {
		q.Jitter = jitter
		assert.LessOrEqual(t, Decide(q).RetryAfter, q.TimeToDeadline/2)
	}
}

func TestMaxMin(t *testing.T) {
	assert.Equal(t, math.Inf(1), MaxMinLevel([]float64{1, 2, 3}, 6))
	assert.Equal(t, math.Inf(1), MaxMinLevel(nil, 6))
	assert.InDelta(t, 2.5, MaxMinLevel([]float64{1, 10, 20}, 6), 1e-9)
	assert.InDelta(t, 2, MaxMinLevel([]float64{9, 9, 9}, 6), 1e-9)
}

func TestUseCountsOwnAndPeersOverTheWindow(t *testing.T) {
	s := NewShares(4 * time.Second)
	now := time.Unix(1000, 0)
	s.RecordDemand(1, 100, now)
	s.RecordAdmitted(1, 60, now)
	s.SetPeerUsage("b", map[uint64]Usage{1: {Demand: 50, Admitted: 10}}, now)
	assert.Equal(t, Usage{Demand: 150, Admitted: 70, RecentAdmitted: 60}, s.Usage(1, now))

	now = now.Add(2 * time.Second) // the peer has fallen silent
	assert.Equal(t, Usage{Demand: 100, Admitted: 60}, s.Usage(1, now))
	now = now.Add(3 * time.Second) // the window has passed
	assert.Equal(t, Usage{}, s.Usage(1, now))
}

func TestLevelsFollowWhatServersTake(t *testing.T) {
	s := NewShares(4 * time.Second)
	s.SetCapacity(100)
	now := time.Unix(1000, 0)
	for account := uint64(1); account <= 2; account++ {
		s.RecordDemand(account, 1000, now)
		s.RecordAdmitted(account, 400, now)
	}
	levels := s.Levels(now)
	assert.InDelta(t, 200, levels.Guaranteed, 1e-9) // half of 4 s at 100 a second
	assert.InDelta(t, 400, levels.Attained, 1e-9)   // half of the 800 that were taken
}
