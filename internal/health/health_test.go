package health

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestEjectsAndReadmits(t *testing.T) {
	now := time.Unix(1000, 0)
	tr := NewTracker()
	fail := func(n int) {
		for range n {
			tr.Failed(now, "s")
		}
	}
	fail(EjectionThreshold - 1)
	tr.Succeeded("s")
	fail(EjectionThreshold - 1)
	require.True(t, tr.Admit(now, "s"), "failures in a row count")
	fail(1)
	require.Equal(t, Ejected, tr.State(now, "s"))
	require.False(t, tr.Admit(now, "s"))
	fail(20) // of attempts that were running
	require.Equal(t, now.Add(BaseEjectionTime), tr.EjectedUntil("s"))

	for _, closure := range []time.Duration{2, 4, 8, 10, 10} {
		now = tr.EjectedUntil("s")
		require.Equal(t, Probation, tr.State(now, "s"))
		require.True(t, tr.Admit(now, "s"))
		require.False(t, tr.Admit(now, "s"), "one attempt on probation")
		fail(1)
		require.Equal(t, now.Add(closure*time.Second), tr.EjectedUntil("s"))
	}
	now = tr.EjectedUntil("s")
	require.True(t, tr.Admit(now, "s"))
	require.True(t, tr.Admit(now.Add(MaxEjectionTime), "s"), "an attempt without an outcome")
	tr.Succeeded("s")
	require.Equal(t, Healthy, tr.State(now, "s"))

	tr.Failed(now, "gone")
	tr.Retain(func(string) bool { return false })
	require.Empty(t, tr.servers)
}
