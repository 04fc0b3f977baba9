package exchange

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/filbertrill/filbertrill/internal/exchange/pb"
)

// benchmarkZones is the number of zones of the fleets in benchmarks.
const benchmarkZones = 5

// newBenchmarkExchange returns the Exchange of the first daemon of a fleet in which every daemon is known, and the members of
// the fleet.
func newBenchmarkExchange(b *testing.B, daemons int) (*Exchange, []*pb.Member) {
	b.Helper()
	members := make([]*pb.Member, daemons)
	for i := range members {
		zone := i % benchmarkZones
		members[i] = &pb.Member{
			Id: fmt.Sprintf("d-%d-%04d", zone, i), Zone: fmt.Sprintf("z%d", zone),
			ControlAddress: fmt.Sprintf("127.0.%d.%d:9", 1+zone, 1+i/benchmarkZones),
		}
	}
	x, err := New(Options{
		Self:           func() *pb.Member { return members[0] },
		ControlAddress: "127.0.0.1:0",
		View:           func(time.Duration) *pb.View { return &pb.View{} },
		OnView:         func(string, *pb.Member, *pb.View, time.Duration) {},
		Logger:         slog.New(slog.DiscardHandler),
	})
	require.NoError(b, err)
	b.Cleanup(func() {
		require.NoError(b, x.conn.Close())
		require.NoError(b, x.listener.Close())
	})
	now := time.Now()
	zones := make(map[string]*pb.Zone)
	for _, m := range members[1:] {
		x.AddAddress(m.ControlAddress, m.Zone)
		if m.Zone == members[0].Zone {
			x.handleState(&pb.State{Member: m, Incarnation: 1, View: &pb.View{}}, now)
			continue
		}
		if zones[m.Zone] == nil {
			zones[m.Zone] = &pb.Zone{Zone: m.Zone, Delegate: m, View: &pb.View{}}
		}
		zones[m.Zone].Members = append(zones[m.Zone].Members, m)
	}
	for _, z := range zones {
		x.handleZone(z, true, now)
	}
	require.Equal(b, daemons, x.FleetSize())
	return x, members
}

// BenchmarkFleet measures what a daemon spends on its peers, apart from coding, in fleets of growing size.
func BenchmarkFleet(b *testing.B) {
	for _, daemons := range []int{30, 100, 300} {
		x, members := newBenchmarkExchange(b, daemons)
		b.Run(fmt.Sprintf("delay/daemons=%d", daemons), func(b *testing.B) {
			for range b.N {
				x.nextSendDelay()
			}
		})
		b.Run(fmt.Sprintf("receive/daemons=%d", daemons), func(b *testing.B) {
			peer, sequence := members[benchmarkZones], uint64(0) // of the same zone
			for range b.N {
				sequence++
				x.handleState(&pb.State{Member: peer, Incarnation: 2, Sequence: sequence, View: &pb.View{}}, time.Now())
			}
		})
		b.Run(fmt.Sprintf("members/daemons=%d", daemons), func(b *testing.B) {
			for range b.N {
				x.Members()
			}
		})
	}
}

// BenchmarkDecodeMembers measures the decoding of a list of members in fleets of growing size.
func BenchmarkDecodeMembers(b *testing.B) {
	for _, daemons := range []int{30, 100, 195, 390} {
		b.Run(fmt.Sprintf("daemons=%d", daemons), func(b *testing.B) {
			state := &pb.State{}
			for i := range daemons {
				state.Members = append(state.Members, &pb.Member{
					Id: fmt.Sprintf("frontend-region-a-%d", i), Zone: "region-a", Region: "region", EntryAddress: fmt.Sprintf("10.9.%d.%d:8783", i/200, i%200),
					ControlAddress: fmt.Sprintf("10.9.%d.%d:8785", i/200, i%200), Processor: 0.4,
				})
			}
			data, err := proto.Marshal(&pb.Datagram{State: state})
			require.NoError(b, err)
			b.ReportMetric(float64(len(data)), "B/datagram")
			for range b.N {
				require.NoError(b, proto.Unmarshal(data, &pb.Datagram{}))
			}
		})
	}
}

// BenchmarkOwnZone measures what a daemon of a zone spends on the summary of its zone, with ten servers for each daemon of the
// fleet, of which a third are in the zone. Its bytes times the rate of summaries are what the daemon receives.
func BenchmarkOwnZone(b *testing.B) {
	for _, daemons := range []int{100, 300, 1000} {
		b.Run(fmt.Sprintf("daemons=%d", daemons), func(b *testing.B) {
			inZone := daemons / 3
			var views []*pb.View
			summary := &pb.Zone{Zone: "z", Delegate: &pb.Member{Id: "d"}}
			for i := range inZone {
				view := &pb.View{ConfigVersion: 7, Daemons: 1, Demands: []*pb.ServiceDemand{{Service: 1, PerSecond: 10}}}
				for s := range 20 {
					view.Servers = append(view.Servers, &pb.ServerLoad{Server: uint64((i*10+s)%(inZone*10)) * 0x9e3779b97f4a7c15, Running: 2, PendingTokens: 900, MemoryTokens: 9000})
				}
				for a := range 30 {
					view.Accounts = append(view.Accounts, &pb.AccountUse{Account: uint64(a) * 0x9e3779b97f4a7c15, Asked: 90_000, Admitted: 80_000, Quarters: []uint64{20_000, 20_000, 20_000, 20_000}})
				}
				views = append(views, view)
				summary.Included = append(summary.Included, &pb.Included{Member: uint64(i) * 0x9e3779b97f4a7c15, Incarnation: 1 << 60, Sequence: 1000})
			}
			summary.View = MergeViews(views)
			data, err := proto.Marshal(&pb.Datagram{OwnZone: summary})
			require.NoError(b, err)
			interval := min(max(AggregateInterval, time.Duration(len(data))*time.Second/summaryBytesPerSecond), MaxSummaryInterval)
			b.ReportMetric(float64(len(data)), "B/summary")
			b.ReportMetric(float64(len(data))/interval.Seconds(), "B/s")
			for range b.N {
				d := &pb.Datagram{}
				require.NoError(b, proto.Unmarshal(data, d))
				subtractView(d.OwnZone.View, views[0])
			}
		})
	}
}
