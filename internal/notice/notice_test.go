package notice

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestPauseEndsAndIsNotShortened(t *testing.T) {
	now := time.Unix(1000, 0)
	r := NewRegistry()
	assert.True(t, r.Available(1, now))
	r.RecordPause(1, 8*time.Second, now)
	r.RecordPause(1, time.Second, now.Add(time.Second))
	assert.False(t, r.Available(1, now.Add(8*time.Second-1)))
	current, ok := r.Current(1, now.Add(2*time.Second))
	assert.True(t, ok)
	assert.Equal(t, now, current.PausedSince)
	assert.True(t, r.Available(1, now.Add(8*time.Second)))
	_, ok = r.Current(1, now.Add(8*time.Second))
	assert.False(t, ok)
}

func TestLeavingServerStaysUnavailableUntilItIsGone(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, hasIncarnation := range []bool{true, false} {
		r := NewRegistry()
		r.RecordLeaving(1, now)
		r.SetServers([]Server{{1, hasIncarnation}})
		assert.False(t, r.Available(1, now.Add(time.Hour)))
		r.SetServers(nil)
		assert.Equal(t, !hasIncarnation, r.Available(1, now), "without an incarnation, what registers later is another process")
		r.RecordLeaving(2, now.Add(2*retention))
		assert.Len(t, r.notices, 1)
	}
}
