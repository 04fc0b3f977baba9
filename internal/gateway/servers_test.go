package gateway

import (
	"fmt"
	"log/slog"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/filbertrill/filbertrill/internal/exchange"
	"github.com/filbertrill/filbertrill/internal/exchange/pb"
	"github.com/filbertrill/filbertrill/internal/placement"
	"github.com/filbertrill/filbertrill/internal/routing"
	"github.com/filbertrill/filbertrill/internal/scheduler"
	"github.com/filbertrill/filbertrill/internal/topology"
)

// A configuration comes while a server leaves. Whichever of the two is passed on last, the server must not be used again.
func TestConcurrentChangesDoNotRestoreServers(t *testing.T) {
	logger := slog.New(slog.DiscardHandler)
	x, err := exchange.New(exchange.Options{Self: func() *pb.Member { return &pb.Member{Id: "a"} }, ControlAddress: "127.0.0.1:0", Logger: logger})
	require.NoError(t, err)
	g := newOfflineGateway()
	g.exchange = x
	g.origins = newStreamOrigins(originOptions{
		members:  func() []*pb.Member { return nil },
		listAsOf: func(now time.Time) time.Time { return now },
		send:     func(*pb.Origins, ...string) {},
		logger:   slog.New(slog.DiscardHandler),
	})
	g.topology = topology.NewState(g.serversChanged)
	now := time.Now()
	for i := range 300 { // that take time to pass on
		g.topology.SetServer(routing.Server{ID: fmt.Sprint("other", i), Service: "other", Slots: 1}, nil, now)
	}
	request := scheduler.Request{
		Request: placement.Request{Service: "plain"}, Objective: time.Second, Deadline: now.Add(time.Minute),
	}
	var callers sync.WaitGroup
	done := make(chan struct{})
	for range 8 { // requests compete for the scheduler's lock, so that changes wait there
		callers.Go(func() {
			for {
				select {
				case <-done:
					return
				default:
					g.scheduler.Decide(request, now)
				}
			}
		})
	}
	defer callers.Wait()
	defer close(done)
	for i := range 1000 {
		incarnation := int64(i + 1)
		g.topology.SetServer(routing.Server{ID: "s", Service: "plain", Slots: 1, Incarnation: incarnation}, nil, now)
		config, err := routing.Build(routing.Config{Version: uint64(i + 1)})
		require.NoError(t, err)
		var changes sync.WaitGroup
		changes.Go(func() { g.topology.SetConfig(config, topology.Record{}) })
		changes.Go(func() { g.topology.RemoveServer("s", now) })
		changes.Wait()
		d := g.scheduler.Decide(request, now)
		require.False(t, d.Found, "change %d: the server has left", i)
	}
}
