package gateway

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/filbertrill/filbertrill/internal/exchange"
	"github.com/filbertrill/filbertrill/internal/exchange/pb"
	"github.com/filbertrill/filbertrill/internal/routing"
	"github.com/filbertrill/filbertrill/internal/topology"
	"github.com/filbertrill/filbertrill/test/cluster"
)

// versionRecords decodes records of servers whose values are the versions.
type versionRecords struct{ topology.Store }

func (versionRecords) DecodeServer(r topology.Record) (routing.Server, error) {
	return routing.Server{ID: r.Key, Service: "s", Version: string(r.Value), State: routing.Ready}, nil
}

// newPullingGateway returns a gateway that exchanges lists of servers with its peers, and nothing else.
func newPullingGateway(t *testing.T, id string, peers ...string) *Gateway {
	address := cluster.UniqueAddress()
	g := &Gateway{logger: slog.New(slog.DiscardHandler), settings: Settings{ID: id, Zone: "z", ControlAddress: address}}
	g.topology = topology.NewState(func() {})
	g.reader = topology.NewReader(topology.ReaderOptions{Store: versionRecords{}, State: g.topology, Logger: g.logger})
	var err error
	g.exchange, err = exchange.New(exchange.Options{
		Self: func() *pb.Member {
			return &pb.Member{Id: id, Zone: "z", ControlAddress: address, KnowsServers: g.reader.ServersListed()}
		},
		ControlAddress: address,
		View:           func(time.Duration) *pb.View { return &pb.View{} },
		OnView:         func(string, *pb.Member, *pb.View, time.Duration) {},
		Records:        g.recordsMessage,
		Logger:         g.logger,
	})
	require.NoError(t, err)
	for _, peer := range peers {
		g.exchange.AddAddress(peer, "z")
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error)
	go func() { ended <- g.exchange.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		assert.NoError(t, <-ended)
	})
	return g
}

// Guards against a first list that counts as fresh though it comes from a peer that has heard nothing of servers for long.
func TestFirstListIsAsOldAsThatOfThePeerItComesFrom(t *testing.T) {
	const age = 10 * time.Second
	stale := newPullingGateway(t, "stale")
	stale.reader.ApplyServerList([]topology.Record{{Key: "a", Value: []byte("v1")}}, nil, false, time.Now().Add(-age), time.Now().Add(-age))
	started := newPullingGateway(t, "started", stale.settings.ControlAddress)
	require.Eventually(t, func() bool {
		members := started.exchange.Members()
		return len(members) == 1 && members[0].KnowsServers
	}, 5*time.Second, 5*time.Millisecond)
	fresh := &pb.Member{Id: "fresh", Zone: "z", ControlAddress: "127.0.0.1:1", KnowsServers: true} // has told of a list of now, and ended
	require.Eventually(t, func() bool {
		started.pullRecords(fresh, time.Now())
		return started.reader.ServersListed()
	}, 10*time.Second, time.Millisecond)
	assert.Equal(t, 1, started.topology.Size())
	assert.GreaterOrEqual(t, started.reader.Age(topology.Servers, time.Now()), age)
}

// Guards against daemons that count as ready without servers because they asked a peer that had started again and had no list yet.
func TestPeerWithoutListGivesNoFirstList(t *testing.T) {
	blank := newPullingGateway(t, "blank")
	started := newPullingGateway(t, "started", blank.settings.ControlAddress)
	peer := &pb.Member{Id: "blank", Zone: "z", ControlAddress: blank.settings.ControlAddress, KnowsServers: true} // that it said before
	require.Eventually(t, func() bool {
		_, _, err := started.pullPart(peer, time.Now())
		return err == nil
	}, 5*time.Second, 5*time.Millisecond)
	assert.False(t, started.reader.ServersListed())
}
