package exchange

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/filbertrill/filbertrill/internal/exchange/pb"
)

func (x *Exchange) receive(ctx context.Context) {
	buffer := make([]byte, 64<<10)
	for {
		n, _, err := x.conn.ReadFromUDP(buffer)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			x.options.Logger.Warn("Datagram not read.", "error", err)
			continue
		}
		d := &pb.Datagram{}
		if err := proto.Unmarshal(buffer[:n], d); err != nil {
			x.options.Logger.Warn("Datagram not understood.", "bytes", n, "error", err)
			continue
		}
		now := time.Now()
		if s := d.State; s != nil && s.Member != nil && s.View != nil {
			x.handleState(s, now)
		}
		if z := d.Zone; z != nil && z.Delegate != nil && z.View != nil {
			x.handleZone(z, true, now)
		}
	}
}

// takeState takes a state that is newer than the one known.
func (x *Exchange) handleState(s *pb.State, now time.Time) {
	self := x.options.Self()
	if s.Member.Id == self.Id {
		return
	}
	if !x.acceptState(s, now) {
		return
	}
	x.mu.Lock()
	inScope := x.isMesh() || s.Member.Zone == self.Zone
	x.mu.Unlock()
	if inScope {
		x.options.OnView(s.Member.Id, s.Member, s.View)
	}
	for _, z := range s.Zones {
		if z.Delegate != nil && z.View != nil {
			x.handleZone(z, false, now)
		}
	}
}

func (x *Exchange) acceptState(s *pb.State, now time.Time) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, m := range s.Members {
		x.addAddress(m.ControlAddress, m.Zone)
	}
	if a := x.addAddress(s.Member.ControlAddress, s.Member.Zone); a != nil {
		a.lastSeen = now
	}
	p, ok := x.peers[s.Member.Id]
	if !ok {
		p = &peer{}
		x.peers[s.Member.Id] = p
	}
	if old := p.state; old != nil && !newer(s.Incarnation, s.Sequence, old.Incarnation, old.Sequence) {
		// A daemon that started again behind a clock that was set back has a lower incarnation.
		if p.live || s.Incarnation == old.Incarnation {
			return false
		}
	}
	if !p.live {
		x.options.Logger.Info("Peer heard.", "peer", s.Member.Id, "incarnation", s.Incarnation)
	}
	p.state, p.lastSeen, p.live = s, now, true
	return true
}

// takeZone takes the sum of another zone, from its delegate or passed on by our own.
func (x *Exchange) handleZone(z *pb.Zone, fromDelegate bool, now time.Time) {
	if !x.acceptZone(z, fromDelegate, now) {
		return
	}
	x.options.OnView("zone "+z.Zone, z.Delegate, z.View)
}

func (x *Exchange) acceptZone(z *pb.Zone, fromDelegate bool, now time.Time) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if z.Zone == x.options.Self().Zone {
		return false
	}
	a := x.addAddress(z.Delegate.ControlAddress, z.Zone)
	if fromDelegate && a != nil {
		a.lastSeen = now
	}
	old, ok := x.zones[z.Zone]
	if ok && old.Delegate.Id == z.Delegate.Id && !newer(z.Incarnation, z.Sequence, old.Incarnation, old.Sequence) {
		return false
	}
	if !ok {
		x.options.Logger.Info("Zone heard.", "zone", z.Zone, "delegate", z.Delegate.Id, "members", len(z.Members))
	}
	x.zones[z.Zone] = &zone{z, now}
	// Daemons send to addresses of other zones only while they have no delegate there.
	for _, m := range z.Members {
		if known, ok := x.addresses[m.ControlAddress]; ok {
			known.lastSeen = now
		}
	}
	return !x.isMesh()
}

// newer reports whether a state replaces another one of the same daemon.
func newer(incarnation, sequence, oldIncarnation, oldSequence uint64) bool {
	return incarnation > oldIncarnation || (incarnation == oldIncarnation && sequence > oldSequence)
}
