package gateway

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/stretchr/testify/require"

	"github.com/filbertrill/filbertrill/internal/exchange/pb"
	"github.com/filbertrill/filbertrill/internal/placement"
	"github.com/filbertrill/filbertrill/internal/retry"
	"github.com/filbertrill/filbertrill/internal/routing"
	"github.com/filbertrill/filbertrill/internal/scheduler"
)

// BenchmarkState measures the cost of receiving and of sending one state message in a fleet of
// 65 daemons and 112 servers.
func BenchmarkState(b *testing.B) {
	state := &pb.State{Member: &pb.Member{Id: "a1", Zone: "a"}, View: &pb.View{}}
	var servers []routing.Server
	for i := range 112 {
		id := fmt.Sprintf("i-%010d", i)
		servers = append(servers, routing.Server{ID: id, Service: "llm", Zone: "a", Slots: 12, State: routing.Ready})
		state.View.Servers = append(state.View.Servers, &pb.ServerLoad{Server: placement.Hash(id), Running: 1, PendingTokens: 1000, MemoryTokens: 3000})
	}
	for i := range 30 {
		state.View.Accounts = append(state.View.Accounts, &pb.AccountUse{
			Account: uint64(i) << 32, Asked: 1 << 20, Admitted: 1 << 19,
			Quarters: []uint64{1 << 17, 1 << 17, 1 << 17, 1 << 17}, Unmet: 0xff,
		})
	}
	for i := range 20 {
		state.View.Placements = append(state.View.Placements, &pb.Placement{Server: placement.Hash(fmt.Sprintf("i-%010d", i)), Part: uint64(i) << 40, Tokens: 5000})
	}
	data, err := proto.Marshal(&pb.Datagram{State: state})
	require.NoError(b, err)
	sched := scheduler.New(scheduler.Options{
		Zone: "a", FairWindow: 4 * time.Second, Daemons: func() int { return 65 },
		RetryBudget: retry.WindowOptions{Ratio: 0.2, Slack: 50, Window: 10 * time.Second},
	})
	sched.SetServers(servers, nil)
	now := time.Now()
	b.Run("receive", func(b *testing.B) {
		b.ReportMetric(float64(len(data)), "B/datagram")
		for range b.N {
			d := &pb.Datagram{}
			require.NoError(b, proto.Unmarshal(data, d))
			sched.SetPeer("a1", decodeView(d.State.View, ""), now)
		}
	})
	b.Run("send", func(b *testing.B) {
		for range b.N {
			_, err := proto.Marshal(&pb.Datagram{State: &pb.State{View: encodeView(sched.View(450*time.Millisecond, now))}})
			require.NoError(b, err)
		}
	})
}
