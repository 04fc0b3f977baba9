package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// newFetchBalancer returns a Balancer and the choice of the server that has the prompt of prefix
// 7 cached and is so loaded that other servers are chosen.
func newFetchBalancer(t *testing.T, tokensPerSecond float64) (*Balancer, Choice) {
	t.Helper()
	b := newBalancer(3)
	b.SetFetchRate("llm", tokensPerSecond)
	home, ok := b.Choose(prompt(7, 1), nil, epoch)
	require.True(t, ok)
	a := b.Start(prompt(7, 1), home, epoch)
	b.RecordFirstEvent(a, epoch.Add(80*time.Millisecond))
	b.End(a, Served, epoch.Add(time.Second))
	b.SetPeerLoad("peer", map[uint64]Load{Hash(home.Server.ID): {Running: 60, PendingTokens: 200_000}}, epoch)
	return b, home
}

func TestPromptsAreFetchedFromServerWithCachedPrefix(t *testing.T) {
	b, home := newFetchBalancer(t, 900_000)
	got, _ := b.Choose(prompt(7, 2), nil, epoch)
	assert.NotEqual(t, home.Server.ID, got.Server.ID)
	assert.Equal(t, home.Server.ID, got.Source.ID)
	assert.Equal(t, 5500, got.FetchedTokens)
	assert.Equal(t, 1000, got.UncachedTokens)
	prefill := b.regression("llm").predict(got.UncachedTokens, 0, 1)
	fetch := fetchSetupTime + seconds(5500.0/900_000)
	assert.InDelta(t, (prefill + fetch).Seconds(), got.Predicted.Seconds(), 1e-6)
}

func TestNothingIsFetched(t *testing.T) {
	t.Run("when engines cannot fetch", func(t *testing.T) {
		b, _ := newFetchBalancer(t, 0)
		got, _ := b.Choose(prompt(7, 2), nil, epoch)
		assert.Empty(t, got.Source.ID)
		assert.Equal(t, 6500, got.UncachedTokens)
	})
	t.Run("from a server that fails", func(t *testing.T) {
		b, home := newFetchBalancer(t, 900_000)
		for range 3 {
			b.End(b.Start(prompt(8, 1), home, epoch), Failed, epoch)
		}
		got, _ := b.Choose(prompt(7, 2), nil, epoch)
		assert.Empty(t, got.Source.ID)
	})
	t.Run("from a server of another version", func(t *testing.T) {
		b, home := newFetchBalancer(t, 900_000)
		b.servers[home.Server.ID].Version = "v2"
		got, _ := b.Choose(prompt(7, 2), nil, epoch)
		assert.NotEqual(t, home.Server.ID, got.Server.ID)
		assert.Empty(t, got.Source.ID)
	})
	t.Run("when the chosen server has the prompt cached", func(t *testing.T) {
		b, home := newFetchBalancer(t, 900_000)
		b.SetPeerLoad("peer", nil, epoch)
		got, _ := b.Choose(prompt(7, 2), nil, epoch)
		assert.Equal(t, home.Server.ID, got.Server.ID)
		assert.Empty(t, got.Source.ID)
	})
}
