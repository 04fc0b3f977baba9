package exchange

import (
	"context"
	"fmt"
	"log/slog"
	"maps"
	"net"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/filbertrill/filbertrill/internal/exchange/pb"
)

// ownZone is the key of the merged views of a large zone in node.views.
const ownZone = "own zone"

// node is an Exchange that records the views that it receives.
type node struct {
	*Exchange
	member *pb.Member
	cancel context.CancelFunc // ends it
	mu     sync.Mutex
	views  map[string]*pb.View
}

// newNode returns a node on a free port. It retries because a port that is free for UDP may be in use
// for TCP.
func newNode(t *testing.T, id, zone string) *node {
	t.Helper()
	var err error
	for range 20 {
		var n *node
		if n, err = tryNewNode(t, id, zone); err == nil {
			return n
		}
	}
	require.NoError(t, err)
	return nil
}

func tryNewNode(t *testing.T, id, zone string) (*node, error) {
	udp, err := net.ListenPacket("udp", "127.0.0.1:0")
	require.NoError(t, err)
	address := udp.LocalAddr().String()
	require.NoError(t, udp.Close())
	n := &node{views: map[string]*pb.View{}, member: &pb.Member{Id: id, Zone: zone, ControlAddress: address}, cancel: func() {}}
	n.Exchange, err = New(Options{
		Self: func() *pb.Member { return n.member }, ControlAddress: address,
		View: func(time.Duration) *pb.View {
			return &pb.View{Accounts: []*pb.AccountUse{{Account: 1, Asked: 10}}, ConfigVersion: 7}
		},
		OnView: func(from string, _ *pb.Member, v *pb.View, _ time.Duration) {
			n.mu.Lock()
			defer n.mu.Unlock()
			n.views[from] = v
		},
		OnOwnZone: func(_ *pb.Member, v *pb.View, _ []*pb.Included, _ time.Duration) {
			n.mu.Lock()
			defer n.mu.Unlock()
			n.views[ownZone] = v
		},
		UsageTTL:    4 * time.Second,
		Records:     func(*pb.PullRequest) *pb.Records { return &pb.Records{ConfigKey: id} },
		CachedParts: func() *pb.Prompts { return &pb.Prompts{Servers: []*pb.ServerPrompts{{Server: 7}}} },
		Logger:      slog.New(slog.DiscardHandler),
	})
	return n, err
}

func (n *node) start(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		assert.NoError(t, n.Run(ctx))
	}()
	t.Cleanup(func() {
		cancel()
		<-ended
		_ = n.listener.Close() // the pull server may have closed it already
	})
}

func discardLogger() *slog.Logger { return slog.New(slog.DiscardHandler) }

// addressOf returns the address of the node for datagrams.
func (n *node) addressOf(t *testing.T) *net.UDPAddr {
	t.Helper()
	udp, err := net.ResolveUDPAddr("udp", n.member.ControlAddress)
	require.NoError(t, err)
	return udp
}

func (n *node) demandFrom(from string) uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	if v := n.views[from]; v != nil && len(v.Accounts) == 1 {
		return v.Accounts[0].Asked
	}
	return 0
}

// requireSoon waits until the condition holds. If it doesn't in time, the message says what each node knows, and the longest
// pause between two checks, which tells a starved process from a faulty one.
func requireSoon(t *testing.T, nodes []*node, timeout time.Duration, what string, condition func() bool) {
	t.Helper()
	var longestPause time.Duration
	for start, last := time.Now(), time.Now(); !condition(); time.Sleep(5 * time.Millisecond) {
		now := time.Now()
		longestPause, last = max(longestPause, now.Sub(last)), now
		if now.Sub(start) > timeout {
			require.Failf(t, what, "not within %v, checks up to %v apart\n%s", timeout, longestPause, knowledge(nodes))
		}
	}
}

// knowledge describes what each of the nodes knows. Addresses of none of the nodes are marked as foreign.
func knowledge(nodes []*node) string {
	own := map[string]string{}
	for _, n := range nodes {
		own[n.member.ControlAddress] = n.member.Id
	}
	var out strings.Builder
	for _, n := range nodes {
		fmt.Fprintf(&out, "%s: demand of the own zone %d;", n.member.Id, n.ownZoneDemand())
		n.describe(&out, own)
		out.WriteByte('\n')
	}
	return out.String()
}

func (n *node) describe(out *strings.Builder, own map[string]string) {
	n.Exchange.mu.Lock()
	defer n.Exchange.mu.Unlock()
	now := time.Now()
	fmt.Fprintf(out, " fleet %d, members %d, aggregator=%t;", n.fleetSize(), len(n.members()), n.isAggregator(now))
	for _, id := range slices.Sorted(maps.Keys(n.peers)) {
		p := n.peers[id]
		fmt.Fprintf(out, " peer %s live=%t %v ago toAggregator=%t;", id, p.live, now.Sub(p.lastSeen).Round(time.Millisecond), p.state.ToAggregator)
	}
	for name, z := range n.zones {
		fmt.Fprintf(out, " zone %s by %s %v ago, %d members, %d included;", name, z.Delegate.Id, now.Sub(z.lastSeen).Round(time.Millisecond), len(z.Members), len(z.Included))
	}
	for controlAddress, a := range n.addresses {
		if _, ok := own[controlAddress]; !ok {
			fmt.Fprintf(out, " foreign %s zone %q member %v;", controlAddress, a.zone, a.member.GetId())
		}
	}
}

func TestSmallFleetExchangesStates(t *testing.T) {
	a, b := newNode(t, "a", "z1"), newNode(t, "b", "z2")
	b.AddAddress(a.member.ControlAddress, "")
	a.start(t)
	b.start(t)
	require.Eventually(t, func() bool { return a.demandFrom("b") == 10 && b.demandFrom("a") == 10 }, 5*time.Second, 5*time.Millisecond)
	assert.Equal(t, 2, a.FleetSize())
	records, err := b.PullRecords(context.Background(), a.member.ControlAddress, &pb.PullRequest{})
	require.NoError(t, err)
	assert.Equal(t, "a", records.ConfigKey)
}

// In a fleet larger than maxMeshSize a daemon receives the views of its zone peers one by one, and
// one merged view for each other zone.
func TestLargeFleetExchangesZoneSummaries(t *testing.T) {
	const perZone = 8
	var nodes []*node
	for _, zone := range []string{"z1", "z2"} {
		for i := range perZone {
			n := newNode(t, fmt.Sprintf("%s-%d", zone, i), zone)
			if len(nodes) > 0 {
				n.AddAddress(nodes[0].member.ControlAddress, "")
			}
			nodes = append(nodes, n)
		}
	}
	for _, n := range nodes {
		n.start(t)
	}
	last := nodes[len(nodes)-1]
	requireSoon(t, nodes, 20*time.Second, "views of the own zone, sums of the other one, and members", func() bool {
		return last.demandFrom("zone z1") == 10*perZone && last.demandFrom("z2-0") == 10 && nodes[1].demandFrom("zone z2") == 10*perZone &&
			last.FleetSize() == len(nodes) && len(last.Members()) == len(nodes)-1 // a part of one summary a second
	})
}

// A daemon that restarts after its clock was set back has a lower incarnation. Its states must be
// accepted as soon as the previous incarnation counts as failed, not only when the peer has expired
// after a minute.
func TestRestartAfterClockWasSetBack(t *testing.T) {
	a := newNode(t, "a", "z1")
	b := &pb.Member{Id: "b", Zone: "z1", ControlAddress: "127.0.0.1:1"}
	now := time.Now()
	state := func(incarnation, sequence uint64) *pb.State {
		return &pb.State{Member: b, Incarnation: incarnation, Sequence: sequence, View: &pb.View{}}
	}
	assert.True(t, a.acceptState(state(100, 5), now))
	assert.False(t, a.acceptState(state(100, 4), now), "older")
	assert.False(t, a.acceptState(state(90, 9), now), "lower incarnation while the higher one is live")
	a.peers["b"].live = false
	assert.False(t, a.acceptState(state(100, 5), now), "late datagram of the failed incarnation")
	assert.True(t, a.acceptState(state(90, 9), now))
	require.NoError(t, a.conn.Close())
	require.NoError(t, a.listener.Close())
}

func TestMergeViewsSumsLoadsAndKeepsNewestConfig(t *testing.T) {
	got := MergeViews([]*pb.View{
		{Servers: []*pb.ServerLoad{{Server: 1, Running: 2, PendingTokens: 30}}, ConfigVersion: 4, ConfigAgeMs: 10, ServerDigest: 5, ServerAgeMs: 100,
			Withdrawn: []*pb.Withdrawal{{Server: "s", Born: 1, Sequence: 3}}},
		{Servers: []*pb.ServerLoad{{Server: 1, Running: 1, PendingTokens: 5}, {Server: 2, Running: 1}}, ConfigVersion: 5, ConfigAgeMs: 70, ServerDigest: 6, ServerAgeMs: 20,
			Withdrawn: []*pb.Withdrawal{{Server: "s", Born: 1, Sequence: 4}}},
	})
	running := map[uint64]uint32{}
	for _, l := range got.Servers {
		running[l.Server] = l.Running
	}
	assert.Equal(t, map[uint64]uint32{1: 3, 2: 1}, running)
	assert.EqualValues(t, 5, got.ConfigVersion)
	assert.EqualValues(t, 70, got.ConfigAgeMs)
	// The second daemon's list is more recent, but peers pull the list of the first, the delegate.
	assert.EqualValues(t, 5, got.ServerDigest)
	assert.EqualValues(t, 100, got.ServerAgeMs)
	require.Len(t, got.Withdrawn, 1)
	assert.EqualValues(t, 4, got.Withdrawn[0].Sequence)
}

func TestSendIntervalBoundsDatagramRate(t *testing.T) {
	assert.Equal(t, minSendInterval, sendIntervalFor(6, true), "small fleet")
	assert.Equal(t, 66*time.Millisecond, sendIntervalFor(11, true))
	for _, targets := range []int{15, 20} {
		perSecond := float64(targets) / sendIntervalFor(targets, false).Seconds()
		assert.LessOrEqual(t, perSecond, 84.0, "datagrams received per second from %d zone peers", targets)
	}
	assert.Equal(t, maxSendInterval, sendIntervalFor(130, false))
}
