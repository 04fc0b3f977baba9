package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/filbertrill/filbertrill/internal/routing"
)

// Guards against a registration that is taken for the process that answers, after its own may have ended.
func TestCertainRequestsAvoidServersWhoseProcessMayHaveEnded(t *testing.T) {
	const lag = 5 * time.Second
	list := servers(2)
	first, other := list[0], list[1]
	newBalancer := func() *Balancer {
		b := newBalancer(2)
		b.SetRegistrationLag(lag)
		b.SetListAsOf(epoch)
		return b
	}
	chosen := func(b *Balancer, certain, prefer bool, tried ...string) string {
		r, excluded := prompt(2, 1), map[string]bool{}
		r.Certain, r.PreferCertain = certain, prefer
		for _, id := range tried {
			excluded[id] = true
		}
		c, _ := b.Choose(r, excluded, epoch)
		return c.Server.ID
	}

	t.Run("interrupted", func(t *testing.T) {
		b := newBalancer()
		b.RecordInterrupted(first, epoch)
		assert.Empty(t, chosen(b, true, false, other.ID))
		assert.Empty(t, chosen(b, false, true, other.ID), "the other one is certain")
		assert.Equal(t, first.ID, chosen(b, false, false, other.ID))
		b.RecordInterrupted(other, epoch)
		assert.Empty(t, chosen(b, true, false))
		assert.Equal(t, first.ID, chosen(b, false, true, other.ID), "none is certain")
	})
	t.Run("until the list is newer", func(t *testing.T) {
		b := newBalancer()
		b.RecordInterrupted(first, epoch)
		b.RecordInterrupted(first, epoch.Add(-time.Second))
		b.SetListAsOf(epoch.Add(lag))
		assert.True(t, b.MayHaveChanged(first))
		b.SetListAsOf(epoch.Add(lag + time.Millisecond))
		assert.False(t, b.MayHaveChanged(first))
	})
	t.Run("until the next process is registered", func(t *testing.T) {
		b := newBalancer()
		b.RecordInterrupted(first, epoch)
		again := first
		again.Incarnation++
		b.SetServers([]routing.Server{again, other})
		assert.False(t, b.MayHaveChanged(again))
		assert.True(t, b.MayHaveChanged(first), "the former process")
		b.RecordInterrupted(first, epoch)
		assert.False(t, b.MayHaveChanged(again), "found at the former process")
	})
	t.Run("told by a peer", func(t *testing.T) {
		told, b := newBalancer(), newBalancer()
		told.RecordInterrupted(other, epoch)
		told.RecordRefused(first, epoch)
		refusals := told.Refusals()
		assert.Equal(t, []Refusal{{Hash(first.ID), ServerIdentity(first), epoch}}, refusals)
		registered, ok := b.Registered(refusals[0])
		assert.True(t, ok)
		b.RecordInterrupted(registered, epoch)
		assert.True(t, b.MayHaveChanged(first))
		assert.Empty(t, b.Refusals(), "what peers tell is not passed on")
		told.SetListAsOf(epoch.Add(lag + time.Millisecond))
		assert.Empty(t, told.Refusals())
		first := first
		first.Incarnation++
		b.SetServers([]routing.Server{first, other})
		_, ok = b.Registered(refusals[0])
		assert.False(t, ok, "the next process")
	})
}
