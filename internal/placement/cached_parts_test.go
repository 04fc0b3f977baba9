package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// A daemon that has sent no requests must choose the same servers as the peer whose cached parts
// it merged.
func TestCachedPartsFromPeersAreUsed(t *testing.T) {
	peer, b := newBalancer(12), newBalancer(12)
	for prefix := range uint64(40) {
		r := prompt(prefix+2, 1)
		home, ok := peer.Choose(r, nil, epoch)
		require.True(t, ok)
		elsewhere, ok := peer.Choose(r, map[string]bool{home.Server.ID: true}, epoch)
		require.True(t, ok)
		peer.End(peer.Start(r, elsewhere, epoch), Served, epoch)
	}
	for server, parts := range peer.CachedParts(epoch) {
		b.AddCachedParts(server, parts, epoch)
	}
	for prefix := range uint64(40) {
		want, _ := peer.Choose(prompt(prefix+2, 2), nil, epoch)
		got, _ := b.Choose(prompt(prefix+2, 2), nil, epoch)
		assert.Equal(t, want.Server.ID, got.Server.ID)
		assert.Equal(t, 1000, got.UncachedTokens)
	}
}

func TestMergeCachedKeepsLatestUse(t *testing.T) {
	b := newBalancer(1)
	hash := Hash("s0")
	part := func(id uint64, age time.Duration) CachedPart { return CachedPart{Part{id, 100}, age} }
	b.AddCachedParts(hash, []CachedPart{part(1, 2*time.Second), part(2, time.Second)}, epoch)
	b.AddCachedParts(hash, []CachedPart{part(1, 9*time.Second), part(3, 0)}, epoch)
	for after, want := range map[time.Duration][]uint64{
		cachedPartTTL - 3*time.Second: {1, 2, 3},
		cachedPartTTL - time.Second:   {2, 3},
	} {
		var cached []uint64
		for _, p := range b.CachedParts(epoch.Add(after))[hash] {
			cached = append(cached, p.ID)
		}
		assert.ElementsMatch(t, want, cached, "the age of the last use counts")
	}
	b.AddCachedParts(Hash("unknown"), []CachedPart{part(1, 0)}, epoch)
}
