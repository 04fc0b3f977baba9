package member

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/filbertrill/filbertrill/internal/peer/pb"
)

// Tick makes the messages that are due at a beat.
func (v *View) Tick(now time.Time) []OutboundMessage {
	v.checkPause(now)
	v.pause.lastTick = now
	v.expire(now)
	v.beats++
	return v.messages(now, false)
}

// Flush makes the messages that tell what has changed since the last beat.
func (v *View) Flush(now time.Time) []OutboundMessage {
	if now.Sub(v.pause.lastTick) > SuspectTimeout {
		return nil
	}
	return v.messages(now, true)
}

func (v *View) messages(now time.Time, urgent bool) []OutboundMessage {
	v.self.Seq++
	v.observeSelf(now)
	v.noteLost(now)
	f := groupByZone(v.Live(now))
	out := v.heartbeats(now)
	if d := f.delegate(v.self.Zone); d != nil && d.Id == v.self.Id {
		if v.Ready(now) {
			out = append(out, v.delegateReports(now, f, urgent)...)
		} else {
			out = append(out, v.probes(f)...)
		}
	}
	if v.greet || (!urgent && v.beats%helloEvery == 1) {
		out = append(out, v.hellos(f, now)...)
	}
	v.settled()
	return out
}

// heartbeats go to the other members of the data centre, and to addresses in it where
// no member is known.
func (v *View) heartbeats(now time.Time) []OutboundMessage {
	var out []OutboundMessage
	for _, s := range v.All() {
		m := s.Member
		if m.Zone != v.self.Zone || m.Id == v.self.Id || m.State == pb.MemberState_MEMBER_STATE_LEFT {
			continue
		}
		out = append(out, OutboundMessage{Address: m.PeerAddress, Message: v.heartbeat(m.Id)})
	}
	for _, place := range v.unknownPlaces() {
		if place.Zone == v.self.Zone {
			out = append(out, OutboundMessage{Address: place.Address, Message: v.heartbeat("")})
		}
	}
	return out
}

// heartbeat leaves out what the receiver is known to hold.
func (v *View) heartbeat(to string) *pb.Envelope {
	self := v.Self()
	if v.echoed(v.peers[to], v.changed) {
		self = &pb.Member{Seq: self.Seq, AppliedOffset: self.AppliedOffset, Load: self.Load}
	}
	h := &pb.Heartbeat{Self: self, Echo: v.heardSeq(to)}
	return &pb.Envelope{Body: &pb.Envelope_Heartbeat{Heartbeat: h}}
}

// Heartbeat takes in a heartbeat of a member of the same data centre.
func (v *View) HandleHeartbeat(now time.Time, from string, incarnation uint64, h *pb.Heartbeat) {
	v.checkPause(now)
	record := h.GetSelf()
	if from == "" || from == v.self.Id || record == nil {
		return
	}
	old := v.members[from]
	if record.PeerAddress == "" {
		if old == nil || old.Member.Incarnation != incarnation || v.heardSeq(from) == 0 {
			return // the record is not held; the echo makes the sender send it whole
		}
		record = fillIn(old.Member, record)
	}
	if record.Id != from || record.Incarnation != incarnation || record.Zone != v.self.Zone {
		return
	}
	if !v.hear(from, incarnation, record.Seq, h.Echo, record.Zone, now) {
		return
	}
	v.observe(record, now, SuspectTimeout, now)
	if old == nil || recordHash(old.Member) != recordHash(record) || old.Member.AppliedOffset != record.AppliedOffset {
		v.urgent = v.urgent || v.isDelegate(now)
	}
}

func fillIn(known, news *pb.Member) *pb.Member {
	m := proto.Clone(known).(*pb.Member)
	m.Seq, m.AppliedOffset, m.Load = news.Seq, news.AppliedOffset, news.Load
	return m
}

func (v *View) isDelegate(now time.Time) bool {
	d := groupByZone(v.Live(now)).delegate(v.self.Zone)
	return d != nil && d.Id == v.self.Id
}

// unknownPlaces are the addresses where no member is known.
func (v *View) unknownPlaces() []Endpoint {
	known := map[string]bool{v.self.PeerAddress: true}
	for _, s := range v.members {
		known[s.Member.PeerAddress] = true
	}
	var out []Endpoint
	for _, place := range v.places {
		if !known[place.Address] {
			known[place.Address] = true
			out = append(out, place)
		}
	}
	return out
}
