package member

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/filbertrill/filbertrill/internal/peer/pb"
)

// Tick expires old state and returns the messages that are due. It is called once per
// heartbeat interval.
func (v *View) Tick(now time.Time) []OutboundMessage {
	v.detectPause(now)
	v.resync.lastTick = now
	v.expire(now)
	v.ticks++
	return v.messages(now, false)
}

// Flush returns heartbeats and the reports that changed since the last Tick or Flush. It
// returns nil if the last Tick is more than SuspectTimeout ago.
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

// heartbeatMessages addresses heartbeats to the other members of the own data centre that
// have not left, and to its endpoints at which no member is known.
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

// makeHeartbeat returns a heartbeat for a member. If the member has echoed a message with
// the current record, only the fields that change often are included.
func (v *View) makeHeartbeat(to string) *pb.Envelope {
	self := v.Self()
	if v.hasEchoed(v.peers[to], v.selfChangedSeq) {
		self = &pb.Member{Seq: self.Seq, AppliedOffset: self.AppliedOffset, Load: self.Load}
	}
	heartbeat := &pb.Heartbeat{Self: self, Echo: v.lastSeqFrom(to)}
	return &pb.Envelope{Body: &pb.Envelope_Heartbeat{Heartbeat: heartbeat}}
}

// HandleHeartbeat processes a heartbeat from a member of the own data centre. Heartbeats
// from other data centres, or that are not newer than the last one, are ignored.
func (v *View) HandleHeartbeat(now time.Time, from string, incarnation uint64, heartbeat *pb.Heartbeat) {
	v.detectPause(now)
	record := heartbeat.GetSelf()
	if from == "" || from == v.self.Id || record == nil {
		return
	}
	old := v.members[from]
	if record.PeerAddress == "" {
		if old == nil || old.Member.Incarnation != incarnation || v.lastSeqFrom(from) == 0 {
			return // the full record is missing; without an echo, the sender includes it again
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

// mergeRecord returns a copy of the known record with the fields of a short heartbeat.
func mergeRecord(known, update *pb.Member) *pb.Member {
	m := proto.Clone(known).(*pb.Member)
	m.Seq, m.AppliedOffset, m.Load = update.Seq, update.AppliedOffset, update.Load
	return m
}

func (v *View) isDelegate(now time.Time) bool {
	delegate := groupByZone(v.Live(now)).delegate(v.self.Zone)
	return delegate != nil && delegate.Id == v.self.Id
}

// unknownEndpoints returns the endpoints at which no member is known.
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
