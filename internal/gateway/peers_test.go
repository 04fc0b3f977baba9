package gateway

import (
	"log/slog"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/filbertrill/filbertrill/internal/exchange/pb"
	"github.com/filbertrill/filbertrill/internal/routing"
	"github.com/filbertrill/filbertrill/internal/scheduler"
	"github.com/filbertrill/filbertrill/internal/topology"
)

// Guards against all readers being cut off from the store: it refused the first daemons of two
// zones, and the only reader left lost a call. The next daemon of a zone has to take over.
func TestIsStoreReaderSkipsDaemonsWithoutStore(t *testing.T) {
	a1, a2 := &pb.Member{Id: "a1", Zone: "a"}, &pb.Member{Id: "a2", Zone: "a"}
	b1 := &pb.Member{Id: "b1", Zone: "b"}
	assert.True(t, isStoreReader(a1, []*pb.Member{a2, b1}))
	assert.False(t, isStoreReader(a2, []*pb.Member{a1, b1}))
	a1.StoreLost = true
	assert.True(t, isStoreReader(a2, []*pb.Member{a1, b1}))
	assert.True(t, isStoreReader(a1, []*pb.Member{a2, b1}), "keeps reading, to notice when the store answers again")
	assert.True(t, isStoreReader(&pb.Member{Id: "b2", Zone: "b"}, []*pb.Member{b1}), "a fleet of one zone has two readers")
}

// emptyRegistry is a Registry of a store that was never called.
type emptyRegistry struct{ Registry }

func (emptyRegistry) Era() uint64 { return 0 }

// Guards against a false withdrawal that never expires: daemons that recorded the time of receipt
// as the time of the withdrawal kept sending it to each other.
func TestReceiveViewKeepsWithdrawalAge(t *testing.T) {
	newGateway := func() *Gateway {
		m := topology.NewState(func() {})
		return &Gateway{
			platform:  Platform{Registry: emptyRegistry{}},
			topology:  m,
			reader:    topology.NewReader(topology.ReaderOptions{State: m, Logger: slog.New(slog.DiscardHandler)}),
			scheduler: scheduler.New(scheduler.Options{Zone: "z", FairWindow: 4 * time.Second, Daemons: func() int { return 2 }}),
			logger:    slog.New(slog.DiscardHandler),
		}
	}
	a, b := newGateway(), newGateway()
	a.topology.SetServer(routing.Server{ID: "s", Incarnation: 1, State: routing.Draining}, nil, time.Now().Add(-3*time.Second))
	view := a.viewMessage(time.Second)
	view.ServerDigest = b.topology.Digest() // nothing to pull
	b.receiveView("a", &pb.Member{Id: "a"}, view, 0)
	got := b.topology.Withdrawals(time.Now())
	require.Len(t, got, 1)
	assert.InDelta(t, 3, time.Since(got[0].FirstSeen).Seconds(), 1)
}

// Guards against all daemons of a zone calling a store that has just returned.
func TestOneDaemonOfAZoneReadsTheStoreFirst(t *testing.T) {
	members := []*pb.Member{{Id: "a1", Zone: "a", StoreLost: true}, {Id: "a2", Zone: "a", StoreLost: true}, {Id: "b1", Zone: "b", StoreLost: true}}
	first := func(i int) bool {
		return isFirstReader(members[i], append(append([]*pb.Member{}, members[:i]...), members[i+1:]...))
	}
	assert.Equal(t, []bool{true, false, true}, []bool{first(0), first(1), first(2)})
	assert.True(t, members[0].StoreLost)
}
