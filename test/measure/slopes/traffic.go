package main

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/filbertrill/filbertrill/internal/controller/dispatch"
	core "github.com/filbertrill/filbertrill/internal/dispatch"
	"github.com/filbertrill/filbertrill/internal/peer/pb"
)

// trafficSeries measures the control messages between a daemon and the dispatcher of its pool:
// the bytes of one request with its demand, grant and end, and the bytes per second of a daemon
// whose runs neither start nor end.
func trafficSeries() []series {
	return []series{
		{"traffic.request_runs", "bytes", "run", []int{4, 14, 50, 100}, requestBytes},
		{"traffic.idle_runs", "bytes_per_s", "run", []int{4, 14, 50, 100}, idleBytesPerSecond},
	}
}

// controllerPair holds the controllers of a daemon and of a dispatcher that exchange messages in
// memory.
type controllerPair struct {
	daemon, dispatcher *dispatch.Controller
	sentBytes          atomic.Int64
	stop               func()
}

const (
	daemonID     = "d002"
	dispatcherID = "d001"
)

// singleMember is a member list with the dispatcher as its only member.
type singleMember struct{}

// Live implements dispatch.Members.
func (singleMember) Live(time.Time) []*pb.Member {
	return []*pb.Member{{Id: dispatcherID, Zone: "z01", PeerAddress: dispatcherID, State: pb.MemberState_MEMBER_STATE_LIVE}}
}

// Address implements dispatch.Members.
func (singleMember) Address(id string) string { return id }

// countingSender adds up the sizes of the messages sent and delivers them to the other controller.
type countingSender struct {
	from  string
	bytes *atomic.Int64
	to    func() *dispatch.Controller
}

// Send implements dispatch.Sender.
func (s countingSender) Send(_ string, env *pb.Envelope) {
	s.bytes.Add(int64(proto.Size(env)))
	go func() {
		switch body := env.Body.(type) {
		case *pb.Envelope_DemandReport:
			s.to().HandleDemandReport(s.from, body.DemandReport, time.Now())
		case *pb.Envelope_GrantBatch:
			s.to().HandleGrantBatch(s.from, body.GrantBatch, time.Now())
		}
	}()
}

func newControllerPair() *controllerPair {
	p := &controllerPair{}
	options := func(id string, to func() *dispatch.Controller) dispatch.Options {
		return dispatch.Options{
			SelfID: id, Incarnation: uint64(time.Now().UnixNano()), Members: singleMember{}, Zone: "z01",
			Sender: countingSender{from: id, bytes: &p.sentBytes, to: to}, Logger: slog.New(slog.DiscardHandler),
		}
	}
	p.daemon = dispatch.NewController(options(daemonID, func() *dispatch.Controller { return p.dispatcher }))
	p.dispatcher = dispatch.NewController(options(dispatcherID, func() *dispatch.Controller { return p.daemon }))
	config := newState(poolServers, poolAccounts).Config()
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for _, c := range []*dispatch.Controller{p.daemon, p.dispatcher} {
		c.SetConfig(config)
		wg.Go(func() { c.Run(ctx) })
	}
	p.stop = func() { cancel(); wg.Wait() }
	return p
}

func (p *controllerPair) acquire(n int) *dispatch.Lease {
	lease, err := p.daemon.Acquire(context.Background(), dispatch.Request{
		Service: "m", Account: fmt.Sprintf("account-%04d", n%poolAccounts), Hint: core.CostHint{Min: 10, Default: 500, Max: 1000},
	})
	if err != nil {
		panic(err)
	}
	return lease
}

// startRuns starts runs that do not end.
func (p *controllerPair) startRuns(runs int) {
	for n := range runs {
		p.acquire(n).SetCost(float64(100 + n))
	}
}

// requestCount is the number of requests over which the bytes per request are averaged.
const requestCount = 200

func requestBytes(runs int) float64 {
	p := newControllerPair()
	defer p.stop()
	p.startRuns(runs)
	before := p.sentBytes.Load()
	for n := range requestCount {
		lease := p.acquire(n)
		lease.SetCost(900)
		lease.Release(900)
	}
	return float64(p.sentBytes.Load()-before) / requestCount
}

// idleMeasureTime is how long the messages of a daemon with unchanged runs are counted.
const idleMeasureTime = 5 * time.Second

func idleBytesPerSecond(runs int) float64 {
	p := newControllerPair()
	defer p.stop()
	p.startRuns(runs)
	before := p.sentBytes.Load()
	time.Sleep(idleMeasureTime)
	return float64(p.sentBytes.Load()-before) / idleMeasureTime.Seconds()
}
