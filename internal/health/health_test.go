package health

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestEjectsAndReadmits(t *testing.T) {
	now := time.Unix(1000, 0)
	tracker := NewTracker()
	fail := func(n int) {
		for range n {
			tracker.Failed(now, "s")
		}
	}
	fail(EjectionThreshold - 1)
	tracker.Succeeded("s")
	fail(EjectionThreshold - 1)
	require.True(t, tracker.Admit(now, "s"), "only consecutive failures count")
	fail(1)
	require.Equal(t, Ejected, tracker.State(now, "s"))
	require.False(t, tracker.Admit(now, "s"))
	fail(20) // attempts that started before the ejection
	require.Equal(t, now.Add(BaseEjectionTime), tracker.EjectedUntil("s"))

	for _, seconds := range []time.Duration{2, 4, 8, 10, 10} {
		now = tracker.EjectedUntil("s")
		require.Equal(t, Probation, tracker.State(now, "s"))
		require.True(t, tracker.Admit(now, "s"))
		require.False(t, tracker.Admit(now, "s"), "only one attempt on probation")
		fail(1)
		require.Equal(t, now.Add(seconds*time.Second), tracker.EjectedUntil("s"))
	}
	now = tracker.EjectedUntil("s")
	require.True(t, tracker.Admit(now, "s"))
	require.True(t, tracker.Admit(now.Add(MaxEjectionTime), "s"), "another attempt after one without an outcome")
	tracker.Succeeded("s")
	require.Equal(t, Healthy, tracker.State(now, "s"))

	tracker.Failed(now, "gone")
	tracker.Retain(func(string) bool { return false })
	require.Empty(t, tracker.servers)
}
