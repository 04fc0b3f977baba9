package retry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestBudgetBoundsRetries retries after each request until the budget is exhausted, with a clock
// that also jumps back.
func TestBudgetBoundsRetries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		start := time.Unix(1000, 0)
		now := start
		b := NewBudget(now)
		requests, retries := 0, 0
		for range rapid.IntRange(1, 500).Draw(t, "requests") {
			now = now.Add(time.Duration(rapid.IntRange(-5, 50).Draw(t, "ms")) * time.Millisecond)
			requests++
			b.RecordRequest(now)
			for b.Take(now) {
				retries++
			}
		}
		allowed := Burst + Ratio*float64(requests) + MinPerSecond*(500*50*time.Millisecond).Seconds()
		require.LessOrEqual(t, float64(retries), allowed)
	})
	b := NewBudget(time.Unix(1000, 0))
	for range Burst {
		require.True(t, b.Take(time.Unix(1000, 0)))
	}
	require.False(t, b.Take(time.Unix(1000, 0)))
	require.True(t, b.Take(time.Unix(1002, 0)))
}
