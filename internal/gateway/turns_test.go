package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func popAll(t *turns[int]) (conns []int) {
	for {
		a, ok := t.pop()
		if !ok {
			return conns
		}
		conns = append(conns, a.conn)
	}
}

func TestAccountsTakeTurns(t *testing.T) {
	waiting, now := newTurns[int](), time.Unix(1000, 0)
	for conn := range 4 {
		_, full := waiting.push("a", conn, now)
		require.False(t, full)
	}
	for conn := 10; conn < 12; conn++ {
		_, full := waiting.push("b", conn, now)
		require.False(t, full)
	}
	assert.Equal(t, []int{0, 10, 1, 11, 2, 3}, popAll(waiting))
	assert.False(t, waiting.pressed(now.Add(time.Hour)))
}

func TestAccountWithMostPlacesLosesThem(t *testing.T) {
	waiting, now := newTurns[int](), time.Unix(1000, 0)
	for conn := range maxWaiting {
		_, full := waiting.push("flood", conn, now)
		require.False(t, full)
	}
	refused, full := waiting.push("flood", -1, now)
	assert.True(t, full)
	assert.Equal(t, -1, refused)
	refused, full = waiting.push("small", -2, now)
	assert.True(t, full)
	assert.Equal(t, maxWaiting-1, refused, "the last of the flood")
	all := popAll(waiting)
	assert.Len(t, all, maxWaiting)
	assert.Equal(t, []int{0, -2, 1}, all[:3])
}

// Only the account that has waited for long is turned away.
func TestOnlyAccountsThatWaitAreTurnedAway(t *testing.T) {
	waiting, now := newTurns[int](), time.Unix(1000, 0)
	waiting.push("a", 1, now)
	assert.False(t, waiting.pressed(now.Add(strainLeave)))
	later := now.Add(maxHeadWait + time.Millisecond)
	assert.True(t, waiting.pressed(later))
	refused, full := waiting.push("a", 2, later)
	assert.True(t, full)
	assert.Equal(t, 2, refused)
	_, full = waiting.push("b", 3, later)
	assert.False(t, full)
}
