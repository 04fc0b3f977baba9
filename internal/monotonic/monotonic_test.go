package monotonic

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestUnixNanoRoundTrip(t *testing.T) {
	now := time.Now()
	assert.Zero(t, Time(UnixNano(now)).Sub(now))
	assert.Equal(t, int64(time.Second), UnixNano(now.Add(time.Second))-UnixNano(now))
	wallOnly := time.Unix(1000, 7)
	assert.Equal(t, wallOnly.UnixNano(), UnixNano(wallOnly))
	// Only times without a monotonic reading are affected when the wall clock is set.
	assert.NotContains(t, Time(UnixNano(now)).Round(0).String(), "m=")
	assert.Contains(t, Time(UnixNano(now)).String(), "m=", "the time needs a monotonic reading")
}

func TestSuspendedDoesNotChangeWhileTheMachineRuns(t *testing.T) {
	before := Suspended()
	time.Sleep(20 * time.Millisecond)
	assert.InDelta(t, before.Seconds(), Suspended().Seconds(), 0.01)
	assert.GreaterOrEqual(t, before, time.Duration(0))
}
