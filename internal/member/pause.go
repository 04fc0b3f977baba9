package member

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/filbertrill/filbertrill/internal/peer/pb"
)

// How long a daemon waits for an echo of its peers before it takes itself to be alone.
const (
	startGrace  = time.Second
	resyncGrace = ReportedSuspectTimeout + time.Second
)

// correspondent is a daemon that this one hears directly.
type correspondent struct {
	incarnation uint64
	seq         uint64
	echo        uint64 // highest seq of this daemon that it has heard
	heard       time.Time
	zone        string
}

// hear takes in the head of a direct message. It reports false for one that is not newer.
func (v *View) hear(from string, incarnation, seq, echo uint64, zone string, now time.Time) bool {
	p, ok := v.peers[from]
	if !ok {
		p = &correspondent{}
		v.peers[from] = p
	}
	if ok && incarnation < p.incarnation && now.Sub(p.heard) <= SuspectTimeout {
		return false
	}
	if ok && incarnation == p.incarnation && seq <= p.seq {
		return false
	}
	*p = correspondent{incarnation: incarnation, seq: seq, echo: echo, heard: now, zone: zone}
	v.confirm()
	return true
}

// heardSeq returns the highest seq heard of a member, or 0.
func (v *View) heardSeq(id string) uint64 {
	if p, ok := v.peers[id]; ok {
		return p.seq
	}
	return 0
}

// echoed reports whether a member has echoed a seq of this daemon that is not below least.
func (v *View) echoed(p *correspondent, least uint64) bool {
	return p != nil && p.echo >= least && p.echo <= v.self.Seq
}

// pauseCheck finds out that the daemon itself did not run, and whether its peers have
// answered it since.
type pauseCheck struct {
	lastTick  time.Time
	since     time.Time // end of the last pause, or the start
	seq       uint64    // first own seq after it
	expected  int       // peers whose echo of seq ends the resync
	confirmed bool
	settled   bool // no member's last sign of life is from before the pause
	grace     time.Duration
}

// effective is the time for judging others: silence while this daemon did not run is no
// evidence against them.
func (p *pauseCheck) effective(now time.Time) time.Time {
	if limit := p.lastTick.Add(SuspectTimeout); now.After(limit) {
		return p.lastTick
	}
	return now
}

// checkPause begins a resync when the last tick was too long ago. Ticks and messages call
// it first: whichever comes first after a pause finds it out.
func (v *View) checkPause(now time.Time) {
	gap := now.Sub(v.pause.lastTick)
	if gap <= SuspectTimeout {
		return
	}
	v.pause = pauseCheck{
		lastTick: now,
		since:    now,
		seq:      v.self.Seq + 1,
		expected: v.expectedEchoes(now, gap),
		grace:    resyncGrace,
	}
	for id, s := range v.members {
		shifted := *s
		shifted.LastSeen = s.LastSeen.Add(gap)
		v.members[id] = &shifted
	}
	for _, p := range v.peers {
		p.heard = p.heard.Add(gap)
	}
	for _, h := range v.reports {
		h.heard = h.heard.Add(gap)
	}
}

// expectedEchoes is a majority of the peers that were live when the pause began: those of
// the own data centre, or the delegates of others where it has no second member.
func (v *View) expectedEchoes(now time.Time, gap time.Duration) int {
	near, all := 0, 0
	for _, p := range v.peers {
		if now.Sub(p.heard)-gap > SuspectTimeout {
			continue
		}
		all++
		if p.zone == v.self.Zone {
			near++
		}
	}
	if near > 0 {
		return near/2 + 1
	}
	return max(1, all/2+1)
}

// confirm ends the resync once enough peers have heard this daemon since.
func (v *View) confirm() {
	if v.pause.confirmed {
		return
	}
	n := 0
	for _, p := range v.peers {
		if v.echoed(p, v.pause.seq) {
			n++
		}
	}
	v.pause.confirmed = n >= v.pause.expected
}

// Ready reports whether the daemon may act on roles that its view gives it. A daemon that
// has just started, or that did not run for longer than SuspectAfter, first has to hear
// every member of its region that it takes for live, and that peers have heard it since, or
// to find in a time of grace that there are none.
func (v *View) Ready(now time.Time) bool {
	if now.Sub(v.pause.lastTick) > SuspectTimeout {
		return false
	}
	if now.Sub(v.pause.since) > v.pause.grace {
		return true
	}
	return v.pause.confirmed && v.settledSince(now)
}

// settledSince reports whether each member of the region was heard since the pause or is
// suspected by now.
func (v *View) settledSince(now time.Time) bool {
	if v.pause.settled {
		return true
	}
	for _, s := range v.members {
		old := s.Member.Id != v.self.Id && !s.LastSeen.After(v.pause.since)
		if old && s.Member.Region == v.self.Region && !v.Suspected(s, now) {
			return false
		}
	}
	v.pause.settled = true
	return true
}

// firstSeq spreads the first seq of incarnations over 40 bits, so that an echo of an
// earlier incarnation is not taken for one of this.
func firstSeq(incarnation uint64) uint64 {
	h := xxhash.New()
	hashNumber(h, incarnation)
	return h.Sum64() >> 24
}

// recordHash is over what other daemons need to know of a member but for its seq, load,
// applied offset and configuration digest.
func recordHash(m *pb.Member) uint64 {
	h := xxhash.New()
	hashRecord(h, m)
	return h.Sum64()
}

func hashRecord(h *xxhash.Digest, m *pb.Member) {
	for _, field := range []string{m.Id, m.PeerAddress, m.ClientAddress, m.Zone, m.Region} {
		_, _ = h.WriteString(field)
		_, _ = h.Write([]byte{0})
	}
	hashNumber(h, m.Incarnation)
	hashNumber(h, uint64(m.State))
}

func hashNumber(h *xxhash.Digest, n uint64) {
	var b [8]byte
	for i := range b {
		b[i] = byte(n >> (8 * i))
	}
	_, _ = h.Write(b[:])
}
