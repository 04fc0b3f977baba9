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
	list := make([]routing.Server, n)
	for i := range list {
		id := fmt.Sprintf("s%d", i)
		list[i] = routing.Server{ID: id, Service: "llm", Address: id + ":1", Zone: "z", Slots: 64, Incarnation: 1}
	}
	return list
}

func newBalancer(n int) *Balancer {
	b := NewBalancer("z")
	b.SetServers(servers(n))
	b.SetCapacity("llm", 40_000, 1_000_000)
	return b
}

// prompt returns a request for an engine. Its first part is shared by all requests, its second by
// those with the same prefix; the last belongs to the session.
func prompt(prefix uint64, session int) Request {
	return Request{
		Service:      "llm",
		Engine:       true,
		Parts:        []Part{{1, 500}, {prefix, 5000}, {prefix<<32 | uint64(session), 1000}},
		PromptTokens: 6500,
		OutputTokens: 300,
	}
}

func TestSharedPrefixGoesToSameServer(t *testing.T) {
	b := newBalancer(12)
	first, ok := b.Choose(prompt(7, 1), nil, epoch)
	require.True(t, ok)
	a := b.Start(prompt(7, 1), first, epoch)
	b.RecordFirstEvent(a, epoch.Add(80*time.Millisecond))
	b.End(a, Served, epoch.Add(time.Second))
	second, _ := b.Choose(prompt(7, 2), nil, epoch.Add(time.Second))
	assert.Equal(t, first.Server.ID, second.Server.ID)
	assert.Equal(t, 1000, second.UncachedTokens)
}

// Daemons without any information from each other must choose the same server for a prefix.
func TestDaemonsAgreeOnHomeServer(t *testing.T) {
	for prefix := range uint64(50) {
		one, _ := newBalancer(12).Choose(prompt(prefix+2, 1), nil, epoch)
		other, _ := newBalancer(12).Choose(prompt(prefix+2, 2), nil, epoch)
		assert.Equal(t, one.Server.ID, other.Server.ID)
	}
}

// A daemon chooses the server to which a peer sent the prefix, even if that isn't the home
// server.
func TestPeerPlacementsAreUsed(t *testing.T) {
	a, b := newBalancer(12), newBalancer(12)
	r := prompt(7, 1)
	home, _ := a.Choose(r, nil, epoch)
	elsewhere, _ := a.Choose(r, map[string]bool{home.Server.ID: true}, epoch)
	a.Start(r, elsewhere, epoch)
	b.AddPeerPlacements(a.Placements(time.Second, epoch), epoch)
	got, _ := b.Choose(prompt(7, 2), nil, epoch)
	assert.Equal(t, elsewhere.Server.ID, got.Server.ID)
}

func TestLoadedHomeServerIsAvoided(t *testing.T) {
	b := newBalancer(3)
	home, _ := b.Choose(prompt(7, 1), nil, epoch)
	b.SetPeerLoad("peer", map[uint64]Load{Hash(home.Server.ID): {Running: 60, PendingTokens: 200_000}}, epoch)
	got, _ := b.Choose(prompt(7, 1), nil, epoch)
	assert.NotEqual(t, home.Server.ID, got.Server.ID)

	later := epoch.Add(2 * peerLoadTTL) // the peer's report has expired
	got, _ = b.Choose(prompt(7, 1), nil, later)
	assert.Equal(t, home.Server.ID, got.Server.ID)
}

func TestFailingAndUnresponsiveServersAreAvoided(t *testing.T) {
	for name, degrade := range map[string]func(b *Balancer, c Choice) time.Time{
		"failing": func(b *Balancer, c Choice) time.Time {
			for range 4 {
				b.End(b.Start(prompt(7, 1), c, epoch), Failed, epoch)
			}
			return epoch
		},
		"unresponsive": func(b *Balancer, c Choice) time.Time {
			b.Start(prompt(7, 1), c, epoch)
			return epoch.Add(2 * time.Second)
		},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBalancer(3)
			home, _ := b.Choose(prompt(7, 1), nil, epoch)
			now := degrade(b, home)
			got, _ := b.Choose(prompt(7, 2), nil, now)
			assert.NotEqual(t, home.Server.ID, got.Server.ID)
		})
	}
}

func TestDrainingServersGetNoRequests(t *testing.T) {
	b := newBalancer(2)
	list := servers(2)
	list[0].State = routing.Draining
	b.SetServers(list)
	for session := range 20 {
		got, ok := b.Choose(prompt(uint64(session)+2, session), nil, epoch)
		require.True(t, ok)
		assert.Equal(t, "s1", got.Server.ID)
	}
}

// A server with the same ID and a new incarnation has nothing cached.
func TestServerRestartClearsCache(t *testing.T) {
	b := newBalancer(1)
	c, _ := b.Choose(prompt(7, 1), nil, epoch)
	b.End(b.Start(prompt(7, 1), c, epoch), Served, epoch)
	list := servers(1)
	list[0].Incarnation = 2
	b.SetServers(list)
	got, _ := b.Choose(prompt(7, 2), nil, epoch)
	assert.Greater(t, got.UncachedTokens, 1000)
}

func TestTimingRegressionConverges(t *testing.T) {
	m := newTimingRegression()
	m.setPrior(40_000)
	for i := range 2000 {
		tokens, running := (i*977)%20_000, i%40
		m.observe(tokens, running, 0.06+float64(tokens)/100_000+0.001*float64(running))
	}
	assert.InDelta(t, 0.06+0.1+0.02, m.predict(10_000, 20, 1).Seconds(), 0.02)
}

func TestEndedAttemptsLeaveNoLoad(t *testing.T) {
	b := newBalancer(2)
	for i := range 10 {
		c, _ := b.Choose(prompt(uint64(i), i), nil, epoch)
		a := b.Start(prompt(uint64(i), i), c, epoch)
		if i%2 == 0 {
			b.RecordFirstEvent(a, epoch)
		}
		b.End(a, Outcome(i%3), epoch)
		b.End(a, Failed, epoch)
	}
	assert.Empty(t, b.OwnLoad())
}
