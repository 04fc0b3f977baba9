package exchange

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/filbertrill/filbertrill/internal/exchange/pb"
)

// largeView returns a view of a zone with 100 servers, 60 accounts, and evidence and placements as under load.
func largeView() *pb.View {
	v := &pb.View{}
	for i := range 100 {
		v.Servers = append(v.Servers, &pb.ServerLoad{Server: uint64(i) << 40, Running: 10, PendingTokens: 20_000, MemoryTokens: 100_000})
	}
	for i := range 60 {
		v.Accounts = append(v.Accounts, &pb.AccountUse{Account: uint64(i) << 40, Asked: 1 << 20, Admitted: 1 << 20, Quarters: []uint64{1 << 18, 1 << 18, 1 << 18, 1 << 18}})
	}
	for i := range 500 {
		v.Placements = append(v.Placements, &pb.Placement{Server: uint64(i) << 40, Part: uint64(i) << 30, Tokens: 5000})
	}
	return v
}

// The delegate of a zone forwards the summaries of four others. Together they don't fit into a datagram; its state and all of
// them were lost then.
func TestSummariesOfLargeZonesArrive(t *testing.T) {
	a, b := newNode(t, "a", "z1"), newNode(t, "b", "z1")
	a.AddAddress(b.member.ControlAddress, "z1")
	now := time.Now()
	for i := 2; i <= 5; i++ {
		z := &pb.Zone{Zone: fmt.Sprint("z", i), View: largeView(), Sequence: 1}
		for j := range 39 {
			z.Members = append(z.Members, &pb.Member{
				Id: fmt.Sprintf("frontend-z%d-%d", i, j), Zone: z.Zone, Region: "region", EntryAddress: fmt.Sprintf("10.%d.0.%d:8783", i, j),
				ControlAddress: fmt.Sprintf("10.%d.0.%d:8785", i, j), Processor: 0.4,
			})
		}
		z.Delegate = z.Members[0]
		a.handleZone(z, true, now)
	}
	b.start(t)
	a.send(now, true)
	require.Eventually(t, func() bool { return len(b.Members()) == 1+4*39 }, 5*time.Second, 5*time.Millisecond)
	b.mu.Lock()
	defer b.mu.Unlock()
	for i := 2; i <= 5; i++ {
		assert.Len(t, b.views[ZonePrefix+fmt.Sprint("z", i)].GetPlacements(), 500)
	}
	require.NoError(t, a.conn.Close())
	require.NoError(t, a.listener.Close())
}

// Summaries of small zones are part of the delegate's state, as daemons of earlier versions expect.
func TestSmallSummariesArePartOfTheState(t *testing.T) {
	state := &pb.State{Zones: []*pb.Zone{{Zone: "z2", View: &pb.View{}}}}
	assert.Empty(t, splitZones(state))
	assert.Len(t, state.Zones, 1)
}

func TestMergedPlacementsAreDistinctAndBounded(t *testing.T) {
	v := &pb.View{}
	for i := range 3000 {
		v.Placements = append(v.Placements, &pb.Placement{Server: uint64(i % 50), Part: uint64(i % 7)})
	}
	assert.Len(t, MergeViews([]*pb.View{v, v}).Placements, 350)
	for i := range 3000 {
		v.Placements = append(v.Placements, &pb.Placement{Server: uint64(i), Part: 8})
	}
	merged := MergeViews([]*pb.View{v})
	assert.Len(t, merged.Placements, maxMergedPlacements)
	assert.Less(t, proto.Size(merged), maxDatagramBytes/2)
}
