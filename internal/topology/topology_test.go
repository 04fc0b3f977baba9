package topology

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/filbertrill/filbertrill/internal/routing"
)

var now = time.Unix(1000, 0)

func state(m *Map, id string) (routing.ServerState, bool) {
	for _, s := range m.Servers() {
		if s.ID == id {
			return s.State, true
		}
	}
	return 0, false
}

func TestConfigurationNeverReverts(t *testing.T) {
	m := NewMap(func() {})
	assert.True(t, m.SetConfig(&routing.Config{Version: 5}, Record{}))
	assert.False(t, m.SetConfig(&routing.Config{Version: 5}, Record{}))
	assert.False(t, m.SetConfig(&routing.Config{Version: 4}, Record{}))
	assert.EqualValues(t, 5, m.Config().Version)
}

func TestOlderRecordsOfAServerAreIgnored(t *testing.T) {
	m := NewMap(func() {})
	m.SetServer(routing.Server{ID: "s", Born: 2, Sequence: 7, State: routing.Draining}, nil, now)
	m.SetServer(routing.Server{ID: "s", Born: 2, Sequence: 6, State: routing.Ready}, nil, now)
	m.SetServer(routing.Server{ID: "s", Born: 1, Sequence: 9, State: routing.Ready}, nil, now)
	got, ok := state(m, "s")
	require.True(t, ok)
	assert.Equal(t, routing.Draining, got)
	m.SetServer(routing.Server{ID: "s", Born: 3, Sequence: 0, State: routing.Ready}, nil, now) // started again
	got, _ = state(m, "s")
	assert.Equal(t, routing.Ready, got)
}

// A daemon that is cut off from the store learns from a peer that a server leaves, and an
// older record that it reads later does not bring the server back.
func TestWithdrawalByAPeer(t *testing.T) {
	m := NewMap(func() {})
	m.SetServer(routing.Server{ID: "s", Born: 2, Sequence: 7}, nil, now)
	assert.True(t, m.Withdraw(Withdrawal{ID: "s", Born: 2, Sequence: 8, At: now}))
	got, _ := state(m, "s")
	assert.Equal(t, routing.Draining, got)
	m.SetServer(routing.Server{ID: "s", Born: 2, Sequence: 8}, nil, now)
	got, _ = state(m, "s")
	assert.Equal(t, routing.Draining, got)
	m.SetServer(routing.Server{ID: "s", Born: 2, Sequence: 9}, nil, now) // registered again
	got, _ = state(m, "s")
	assert.Equal(t, routing.Ready, got)
}

func TestMissingServersAreKeptUntilPatienceEnds(t *testing.T) {
	m := NewMap(func() {})
	m.SetServer(routing.Server{ID: "s", Born: 1}, nil, now)
	m.Missing(map[string]bool{}, settle, now)
	_, ok := state(m, "s")
	assert.True(t, ok)
	m.Missing(map[string]bool{"s": true}, settle, now.Add(time.Second))
	m.Missing(map[string]bool{}, settle, now.Add(2*time.Second))
	_, ok = state(m, "s")
	assert.True(t, ok)
	m.Missing(map[string]bool{}, settle, now.Add(2*time.Second+settle))
	_, ok = state(m, "s")
	assert.False(t, ok)
	assert.Len(t, m.Withdrawals(now), 1)
}
