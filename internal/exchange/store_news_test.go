package exchange

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/filbertrill/filbertrill/internal/exchange/pb"
)

func TestStoreNewsReachDaemonsOfAllZones(t *testing.T) {
	const servers = 2*maxNewsWithdrawals + 1
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var mu sync.Mutex
	received := map[string]int{}
	sender, err := New(Options{ControlAddress: "127.0.0.1:0", Self: func() *pb.Member { return &pb.Member{Id: "s", Zone: "z0"} }, Logger: slog.New(slog.DiscardHandler)})
	require.NoError(t, err)
	for i := range 3 {
		zone := fmt.Sprint("z", i)
		x, err := New(Options{
			ControlAddress: "127.0.0.1:0", Self: func() *pb.Member { return &pb.Member{Id: zone, Zone: zone} }, Logger: slog.New(slog.DiscardHandler),
			OnStoreNews: func(n *pb.StoreNews) {
				mu.Lock()
				defer mu.Unlock()
				received[zone] += len(n.Withdrawn)
				assert.EqualValues(t, 7, n.GetReturnAgeMs())
			},
		})
		require.NoError(t, err)
		go x.receive(ctx)
		sender.AddAddress(x.conn.LocalAddr().String(), zone)
	}
	news := &pb.StoreNews{ReturnAgeMs: proto.Uint32(7)}
	for i := range servers {
		news.Withdrawn = append(news.Withdrawn, &pb.Withdrawal{Server: fmt.Sprint("server-", i)})
	}
	sender.SendStoreNews(news)
	require.Eventually(t, func() bool {
		mu.Lock()
		defer mu.Unlock()
		return received["z0"] == servers && received["z1"] == servers && received["z2"] == servers
	}, 5*time.Second, time.Millisecond)
}
