package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// serveWithDelay records requests whose first event comes later than predicted by the delay.
func serveWithDelay(t *testing.T, b *Balancer, requests int, delay time.Duration) {
	t.Helper()
	for i := range requests {
		at := epoch.Add(time.Duration(i) * time.Second)
		c, ok := b.Choose(prompt(uint64(i+2), i), nil, at)
		require.True(t, ok)
		a := b.Start(prompt(uint64(i+2), i), c, at)
		b.RecordFirstEvent(a, at.Add(c.PredictedIdle+delay))
		b.End(a, Served, at.Add(c.PredictedIdle+delay))
	}
}

func TestOverloadedDaemonIgnoresItsObservations(t *testing.T) {
	b, delay := newBalancer(12), 150*time.Millisecond
	before, _ := b.Choose(prompt(999, 1), nil, epoch)
	b.SetOverloaded(true)
	serveWithDelay(t, b, 100, delay)
	assert.Empty(t, b.TimingModels(), "an overloaded daemon reports no models")
	b.SetOverloaded(false)
	after, _ := b.Choose(prompt(999, 1), nil, epoch.Add(time.Hour))
	assert.Equal(t, before.PredictedIdle, after.PredictedIdle)
}

func TestOverloadedDaemonUsesPeerTimingModels(t *testing.T) {
	b, now := newBalancer(12), epoch.Add(time.Hour)
	serveWithDelay(t, b, 100, 150*time.Millisecond) // before SetOverloaded
	b.SetPeerTimingModels("a", map[uint64]TimingModel{Hash("llm"): {0.04, 1e-5, 0.001, 300}}, now)
	b.SetPeerTimingModels("b", map[uint64]TimingModel{Hash("llm"): {0.08, 2e-5, 0.001, 100}}, now)
	own, _ := b.Choose(prompt(999, 1), nil, now)
	b.SetOverloaded(true)
	byPeers, _ := b.Choose(prompt(999, 1), nil, now)
	assert.Less(t, byPeers.PredictedIdle, own.PredictedIdle)
	m := b.coefficients("llm", now)
	assert.InDeltaSlice(t, []float64{0.05, 1.25e-5, 0.001}, m[:], 1e-9, "weighted by observations")
	expired := b.coefficients("llm", now.Add(peerTimingTTL+time.Second))
	assert.Equal(t, b.regression("llm").coefficients, expired)
}
