package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func popAll(q *fairQueue[int]) (conns []int) {
	for {
		a, ok := q.pop()
		if !ok {
			return conns
		}
		conns = append(conns, a.conn)
	}
}

func TestFairQueueRoundRobin(t *testing.T) {
	queue, now := newFairQueue[int](), time.Unix(1000, 0)
	for conn := range 4 {
		_, mustRefuse := queue.push("a", conn, now)
		require.False(t, mustRefuse)
	}
	for conn := 10; conn < 12; conn++ {
		_, mustRefuse := queue.push("b", conn, now)
		require.False(t, mustRefuse)
	}
	assert.Equal(t, []int{0, 10, 1, 11, 2, 3}, popAll(queue))
	assert.False(t, queue.backlogged(now.Add(time.Hour)))
}

func TestFairQueueDropsFromLongestQueue(t *testing.T) {
	queue, now := newFairQueue[int](), time.Unix(1000, 0)
	for conn := range maxQueued {
		_, mustRefuse := queue.push("flood", conn, now)
		require.False(t, mustRefuse)
	}
	refused, mustRefuse := queue.push("flood", -1, now)
	assert.True(t, mustRefuse)
	assert.Equal(t, -1, refused)
	refused, mustRefuse = queue.push("small", -2, now)
	assert.True(t, mustRefuse)
	assert.Equal(t, maxQueued-1, refused, "newest connection of the flooding account")
	all := popAll(queue)
	assert.Len(t, all, maxQueued)
	assert.Equal(t, []int{0, -2, 1}, all[:3])
}

// An account whose oldest connection has waited too long gets refusals, other accounts don't.
func TestFairQueueRefusesOnlyDelayedAccount(t *testing.T) {
	queue, now := newFairQueue[int](), time.Unix(1000, 0)
	queue.push("a", 1, now)
	assert.False(t, queue.backlogged(now.Add(overloadExitLag)))
	later := now.Add(maxOldestWait + time.Millisecond)
	assert.True(t, queue.backlogged(later))
	refused, mustRefuse := queue.push("a", 2, later)
	assert.True(t, mustRefuse)
	assert.Equal(t, 2, refused)
	_, mustRefuse = queue.push("b", 3, later)
	assert.False(t, mustRefuse)
}
