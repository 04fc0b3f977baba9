package main

import (
	"fmt"
	"math"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/filbertrill/filbertrill/internal/member"
	"github.com/filbertrill/filbertrill/internal/peer/pb"
)

// simulatedSizes lists the numbers of regions, data centres and daemons of the fleets, up to the
// size that the design has to support.
var simulatedSizes = [][3]int{{1, 1, 5}, {1, 1, 10}, {1, 1, 22}, {1, 3, 7}, {1, 3, 50}, {2, 7, 150}, {5, 18, 195}, {5, 18, 390}}

// Durations in virtual time.
const (
	tickInterval = 500 * time.Millisecond
	settleTicks  = 60 // before the measurement
	measureTicks = 80 // of the measurement
)

// simulatedFleet is a fleet of member views in virtual time whose messages arrive at once.
type simulatedFleet struct {
	now            time.Time
	views          map[string]*member.View
	records        map[string]*pb.Member
	addresses      []string
	bytes          map[string]int // sent and received, by address
	processingTime time.Duration  // real time spent in all views
}

// measureSimulated prints the traffic and processing time of each size of fleet.
func measureSimulated() {
	for _, size := range simulatedSizes {
		f := newSimulatedFleet(size[0], size[1], size[2])
		for range settleTicks {
			f.tickAll()
		}
		clear(f.bytes)
		f.processingTime = 0
		for range measureTicks {
			f.tickAll()
		}
		f.printTraffic(size[2])
	}
}

func newSimulatedFleet(regions, zones, daemons int) *simulatedFleet {
	f := &simulatedFleet{
		now: time.Unix(1000, 0), views: map[string]*member.View{}, records: map[string]*pb.Member{}, bytes: map[string]int{},
	}
	var endpoints []member.Endpoint
	for i := range daemons {
		zone := i % zones
		m := &pb.Member{
			Id: fmt.Sprintf("daemon-%03d", i), Incarnation: uint64(1_796_000_000_000_000_000 + i),
			PeerAddress: fmt.Sprintf("10.%d.0.%d:7000", zone, i), ClientAddress: fmt.Sprintf("10.%d.0.%d:8080", zone, i),
			Zone: fmt.Sprintf("zone-%02d", zone), Region: fmt.Sprintf("region-%d", zone%regions),
			State: pb.MemberState_MEMBER_STATE_LIVE, AppliedOffset: 123_456,
		}
		f.views[m.PeerAddress] = member.NewView(m, f.now)
		f.records[m.PeerAddress] = m
		f.addresses = append(f.addresses, m.PeerAddress)
		endpoints = append(endpoints, member.Endpoint{Address: m.PeerAddress, Zone: m.Zone})
	}
	for _, v := range f.views {
		v.SetEndpoints(endpoints)
	}
	return f
}

// tickAll ticks every daemon once, at times spread evenly over the tick interval.
func (f *simulatedFleet) tickAll() {
	for _, address := range f.addresses {
		f.now = f.now.Add(tickInterval / time.Duration(len(f.addresses)))
		v := f.views[address]
		f.send(address, f.timed(func() []member.OutboundMessage { return v.Tick(f.now) }))
		if v.Urgent() {
			f.send(address, f.timed(func() []member.OutboundMessage { return v.Flush(f.now) }))
		}
	}
}

// timed calls work and adds its duration to processingTime.
func (f *simulatedFleet) timed(work func() []member.OutboundMessage) []member.OutboundMessage {
	start := time.Now()
	out := work()
	f.processingTime += time.Since(start)
	return out
}

func (f *simulatedFleet) send(from string, out []member.OutboundMessage) {
	for _, msg := range out {
		msg.Message.From = f.records[from].Id
		msg.Message.Incarnation = f.records[from].Incarnation
		size := proto.Size(msg.Message)
		f.bytes[from] += size
		to, ok := f.views[msg.Address]
		if !ok {
			continue
		}
		f.bytes[msg.Address] += size
		f.send(msg.Address, f.timed(func() []member.OutboundMessage { return f.deliver(to, msg.Message) }))
	}
}

func (f *simulatedFleet) deliver(to *member.View, env *pb.Envelope) []member.OutboundMessage {
	switch body := env.Body.(type) {
	case *pb.Envelope_Heartbeat:
		to.HandleHeartbeat(f.now, env.From, env.Incarnation, body.Heartbeat)
	case *pb.Envelope_ZoneReports:
		return to.HandleZoneReports(f.now, env.From, env.Incarnation, body.ZoneReports)
	case *pb.Envelope_ZoneRequest:
		return to.HandleZoneRequest(f.now, env.From, body.ZoneRequest)
	}
	return nil
}

// printTraffic prints the bytes per second, sent and received, as the mean of all daemons and for
// the busiest and least busy one. The least busy one has no role.
func (f *simulatedFleet) printTraffic(daemons int) {
	seconds := float64(measureTicks) * tickInterval.Seconds()
	total, busiest, leastBusy, live := 0, 0, math.MaxInt, 0
	for _, address := range f.addresses {
		total += f.bytes[address]
		busiest = max(busiest, f.bytes[address])
		leastBusy = min(leastBusy, f.bytes[address])
		live = max(live, len(f.views[address].Live(f.now)))
	}
	n := float64(len(f.addresses))
	fmt.Printf("full.%d.members_seen=%d\n", daemons, live)
	fmt.Printf("full.%d.bytes_per_s_mean=%.4g\n", daemons, float64(total)/n/seconds)
	fmt.Printf("full.%d.bytes_per_s_most=%.4g\n", daemons, float64(busiest)/seconds)
	fmt.Printf("full.%d.bytes_per_s_least=%.4g\n", daemons, float64(leastBusy)/seconds)
	fmt.Printf("full.%d.core_percent_mean=%.3g\n", daemons, 100*f.processingTime.Seconds()/n/seconds)
}
