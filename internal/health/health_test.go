package health

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestClosesAndReopens(t *testing.T) {
	now := time.Unix(1000, 0)
	tr := NewTracker()
	fail := func(n int) {
		for range n {
			tr.Failed(now, "s")
		}
	}
	fail(Failures - 1)
	tr.Succeeded("s")
	fail(Failures - 1)
	require.True(t, tr.Admit(now, "s"), "failures in a row count")
	fail(1)
	require.Equal(t, Closed, tr.State(now, "s"))
	require.False(t, tr.Admit(now, "s"))
	fail(20) // of attempts that were running
	require.Equal(t, now.Add(FirstClosure), tr.Until("s"))

	for _, closure := range []time.Duration{2, 4, 8, 10, 10} {
		now = tr.Until("s")
		require.Equal(t, Probation, tr.State(now, "s"))
		require.True(t, tr.Admit(now, "s"))
		require.False(t, tr.Admit(now, "s"), "one attempt on probation")
		fail(1)
		require.Equal(t, now.Add(closure*time.Second), tr.Until("s"))
	}
	now = tr.Until("s")
	require.True(t, tr.Admit(now, "s"))
	require.True(t, tr.Admit(now.Add(MaxClosure), "s"), "an attempt without an outcome")
	tr.Succeeded("s")
	require.Equal(t, Open, tr.State(now, "s"))

	tr.Failed(now, "gone")
	tr.Keep(func(string) bool { return false })
	require.Empty(t, tr.servers)
}
