package member

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/filbertrill/filbertrill/internal/peer/pb"
)

// Tick makes the messages that are due at a beat.
func (v *View) Tick(now time.Time) []OutboundMessage {
	v.detectPause(now)
	v.resync.lastTick = now
	v.expire(now)
	v.ticks++
	return v.messages(now, false)
}

// Flush makes the messages that tell what has changed since the last beat.
func (v *View) Flush(now time.Time) []OutboundMessage {
	if now.Sub(v.resync.lastTick) > SuspectTimeout {
		return nil
	}
	return v.messages(now, true)
}

func (v *View) messages(now time.Time, urgent bool) []OutboundMessage {
	v.self.Seq++
	v.observeSelf(now)
	v.markLostSources(now)
	topo := groupByZone(v.Live(now))
	out := v.heartbeatMessages(now)
	if delegate := topo.delegate(v.self.Zone); delegate != nil && delegate.Id == v.self.Id {
		if v.Ready(now) {
			out = append(out, v.delegateReports(now, topo, urgent)...)
		} else {
			out = append(out, v.probes(topo)...)
		}
	}
	if v.newEndpoints || (!urgent && v.ticks%helloEveryTicks == 1) {
		out = append(out, v.hellos(topo, now)...)
	}
	v.clearPending()
	return out
}

// heartbeats go to the other members of the data centre, and to addresses in it where
// no member is known.
func (v *View) heartbeatMessages(now time.Time) []OutboundMessage {
	var out []OutboundMessage
	for _, s := range v.All() {
		m := s.Member
		if m.Zone != v.self.Zone || m.Id == v.self.Id || m.State == pb.MemberState_MEMBER_STATE_LEFT {
			continue
		}
		out = append(out, OutboundMessage{Address: m.PeerAddress, Message: v.makeHeartbeat(m.Id)})
	}
	for _, endpoint := range v.unknownEndpoints() {
		if endpoint.Zone == v.self.Zone {
			out = append(out, OutboundMessage{Address: endpoint.Address, Message: v.makeHeartbeat("")})
		}
	}
	return out
}

// heartbeat leaves out what the receiver is known to hold.
func (v *View) makeHeartbeat(to string) *pb.Envelope {
	self := v.Self()
	if v.hasEchoed(v.peers[to], v.selfChangedSeq) {
		self = &pb.Member{Seq: self.Seq, AppliedOffset: self.AppliedOffset, Load: self.Load}
	}
	heartbeat := &pb.Heartbeat{Self: self, Echo: v.lastSeqFrom(to)}
	return &pb.Envelope{Body: &pb.Envelope_Heartbeat{Heartbeat: heartbeat}}
}

// Heartbeat takes in a heartbeat of a member of the same data centre.
func (v *View) HandleHeartbeat(now time.Time, from string, incarnation uint64, heartbeat *pb.Heartbeat) {
	v.detectPause(now)
	record := heartbeat.GetSelf()
	if from == "" || from == v.self.Id || record == nil {
		return
	}
	old := v.members[from]
	if record.PeerAddress == "" {
		if old == nil || old.Member.Incarnation != incarnation || v.lastSeqFrom(from) == 0 {
			return // the record is not held; the echo makes the sender send it whole
		}
		record = mergeRecord(old.Member, record)
	}
	if record.Id != from || record.Incarnation != incarnation || record.Zone != v.self.Zone {
		return
	}
	if !v.recordContact(from, incarnation, record.Seq, heartbeat.Echo, record.Zone, now) {
		return
	}
	v.observe(record, now, SuspectTimeout, now)
	if old == nil || recordHash(old.Member) != recordHash(record) || old.Member.AppliedOffset != record.AppliedOffset {
		v.urgent = v.urgent || v.isDelegate(now)
	}
}

func mergeRecord(known, update *pb.Member) *pb.Member {
	m := proto.Clone(known).(*pb.Member)
	m.Seq, m.AppliedOffset, m.Load = update.Seq, update.AppliedOffset, update.Load
	return m
}

func (v *View) isDelegate(now time.Time) bool {
	delegate := groupByZone(v.Live(now)).delegate(v.self.Zone)
	return delegate != nil && delegate.Id == v.self.Id
}

// unknownPlaces are the addresses where no member is known.
func (v *View) unknownEndpoints() []Endpoint {
	known := map[string]bool{v.self.PeerAddress: true}
	for _, s := range v.members {
		known[s.Member.PeerAddress] = true
	}
	var out []Endpoint
	for _, endpoint := range v.endpoints {
		if !known[endpoint.Address] {
			known[endpoint.Address] = true
			out = append(out, endpoint)
		}
	}
	return out
}
