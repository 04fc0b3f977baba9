package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/filbertrill/filbertrill/internal/routing"
)

var epoch = time.Unix(1000, 0)

func servers(n int) []routing.Server {
	out := make([]routing.Server, n)
	for i := range out {
		id := fmt.Sprintf("s%d", i)
		out[i] = routing.Server{ID: id, Service: "llm", Address: id + ":1", Zone: "z", Slots: 64, Incarnation: 1}
	}
	return out
}

func newBoard(n int) *Board {
	b := NewBoard("z")
	b.SetServers(servers(n))
	b.SetCapacity("llm", 40_000, 1_000_000)
	return b
}

func prompt(subject uint64, own int) Request {
	return Request{
		Service: "llm",
		Engine:  true,
		Parts:   []Part{{1, 500}, {subject, 5000}, {subject<<32 | uint64(own), 1000}},
		Prompt:  6500,
		Output:  300,
	}
}

func TestSharedPromptsStayTogether(t *testing.T) {
	b := newBoard(12)
	first, ok := b.Choose(prompt(7, 1), nil, epoch)
	require.True(t, ok)
	a := b.Start(prompt(7, 1), first, epoch)
	b.Begin(a, epoch.Add(80*time.Millisecond))
	b.End(a, Served, epoch.Add(time.Second))
	second, _ := b.Choose(prompt(7, 2), nil, epoch.Add(time.Second))
	assert.Equal(t, first.Server.ID, second.Server.ID)
	assert.Equal(t, 1000, second.Uncached)
}

// Daemons that have heard nothing of each other choose the same server for a prompt.
func TestDaemonsAgreeOnTheHome(t *testing.T) {
	for subject := range uint64(50) {
		one, _ := newBoard(12).Choose(prompt(subject+2, 1), nil, epoch)
		other, _ := newBoard(12).Choose(prompt(subject+2, 2), nil, epoch)
		assert.Equal(t, one.Server.ID, other.Server.ID)
	}
}

// A daemon learns from its peers where a prompt went that did not find room at its home.
func TestPeersTellWherePromptsWent(t *testing.T) {
	a, b := newBoard(12), newBoard(12)
	r := prompt(7, 1)
	home, _ := a.Choose(r, nil, epoch)
	elsewhere, _ := a.Choose(r, map[string]bool{home.Server.ID: true}, epoch)
	a.Start(r, elsewhere, epoch)
	b.SetPeerPlacements(a.Placements(epoch), epoch)
	got, _ := b.Choose(prompt(7, 2), nil, epoch)
	assert.Equal(t, elsewhere.Server.ID, got.Server.ID)
}

func TestLoadMovesPromptsAway(t *testing.T) {
	b := newBoard(3)
	home, _ := b.Choose(prompt(7, 1), nil, epoch)
	b.SetPeerLoad("peer", map[uint64]Load{Hash(home.Server.ID): {Running: 60, Pending: 200_000}}, epoch)
	got, _ := b.Choose(prompt(7, 1), nil, epoch)
	assert.NotEqual(t, home.Server.ID, got.Server.ID)

	later := epoch.Add(2 * peerLoadTTL) // the peer has fallen silent
	got, _ = b.Choose(prompt(7, 1), nil, later)
	assert.Equal(t, home.Server.ID, got.Server.ID)
}

func TestFailingAndSilentServersAreAvoided(t *testing.T) {
	for name, spoil := range map[string]func(b *Board, c Choice) time.Time{
		"failing": func(b *Board, c Choice) time.Time {
			for range 4 {
				b.End(b.Start(prompt(7, 1), c, epoch), Failed, epoch)
			}
			return epoch
		},
		"silent": func(b *Board, c Choice) time.Time {
			b.Start(prompt(7, 1), c, epoch)
			return epoch.Add(2 * time.Second)
		},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBoard(3)
			home, _ := b.Choose(prompt(7, 1), nil, epoch)
			now := spoil(b, home)
			got, _ := b.Choose(prompt(7, 2), nil, now)
			assert.NotEqual(t, home.Server.ID, got.Server.ID)
		})
	}
}

func TestDrainingServersGetNothing(t *testing.T) {
	b := newBoard(2)
	list := servers(2)
	list[0].State = routing.Draining
	b.SetServers(list)
	for own := range 20 {
		got, ok := b.Choose(prompt(uint64(own)+2, own), nil, epoch)
		require.True(t, ok)
		assert.Equal(t, "s1", got.Server.ID)
	}
}

// A server that has started again under its id keeps nothing.
func TestRestartForgetsPrompts(t *testing.T) {
	b := newBoard(1)
	c, _ := b.Choose(prompt(7, 1), nil, epoch)
	b.End(b.Start(prompt(7, 1), c, epoch), Served, epoch)
	list := servers(1)
	list[0].Incarnation = 2
	b.SetServers(list)
	got, _ := b.Choose(prompt(7, 2), nil, epoch)
	assert.Greater(t, got.Uncached, 1000)
}

func TestModelLearnsTheReadingRate(t *testing.T) {
	m := newTimeModel()
	m.prior(40_000)
	for i := range 2000 {
		tokens, running := (i*977)%20_000, i%40
		m.observe(tokens, running, 0.06+float64(tokens)/100_000+0.001*float64(running))
	}
	assert.InDelta(t, 0.06+0.1+0.02, m.predict(10_000, 20, 1).Seconds(), 0.02)
}

func TestEndedAttemptsLeaveNoLoad(t *testing.T) {
	b := newBoard(2)
	for i := range 10 {
		c, _ := b.Choose(prompt(uint64(i), i), nil, epoch)
		a := b.Start(prompt(uint64(i), i), c, epoch)
		if i%2 == 0 {
			b.Begin(a, epoch)
		}
		b.End(a, Outcome(i%3), epoch)
		b.End(a, Failed, epoch)
	}
	assert.Empty(t, b.OwnLoad())
}
