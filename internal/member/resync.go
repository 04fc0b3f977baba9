package member

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/filbertrill/filbertrill/internal/peer/pb"
)

// How long a daemon waits for an echo of its peers before it takes itself to be alone.
const (
	startupGracePeriod = time.Second
	resyncGracePeriod  = ReportedSuspectTimeout + time.Second
)

// correspondent is a daemon that this one hears directly.
type peerContact struct {
	incarnation uint64
	seq         uint64
	echo        uint64 // highest seq of this daemon that it has heard
	lastSeen    time.Time
	zone        string
}

// hear takes in the head of a direct message. It reports false for one that is not newer.
func (v *View) recordContact(from string, incarnation, seq, echo uint64, zone string, now time.Time) bool {
	contact, ok := v.peers[from]
	if !ok {
		contact = &peerContact{}
		v.peers[from] = contact
	}
	if ok && incarnation < contact.incarnation && now.Sub(contact.lastSeen) <= SuspectTimeout {
		return false
	}
	if ok && incarnation == contact.incarnation && seq <= contact.seq {
		return false
	}
	*contact = peerContact{incarnation: incarnation, seq: seq, echo: echo, lastSeen: now, zone: zone}
	v.checkEchoes()
	return true
}

// heardSeq returns the highest seq heard of a member, or 0.
func (v *View) lastSeqFrom(id string) uint64 {
	if contact, ok := v.peers[id]; ok {
		return contact.seq
	}
	return 0
}

// echoed reports whether a member has echoed a seq of this daemon that is not below least.
func (v *View) hasEchoed(contact *peerContact, minSeq uint64) bool {
	return contact != nil && contact.echo >= minSeq && contact.echo <= v.self.Seq
}

// pauseCheck finds out that the daemon itself did not run, and whether its peers have
// answered it since.
type resyncState struct {
	lastTick         time.Time
	startedAt        time.Time // end of the last pause, or the start
	minEchoSeq       uint64    // first own seq after it
	requiredEchoes   int       // peers whose echo of seq ends the resync
	confirmed        bool
	membersRefreshed bool // no member's last sign of life is from before the pause
	gracePeriod      time.Duration
}

// effective is the time for judging others: silence while this daemon did not run is no
// evidence against them.
func (r *resyncState) detectionTime(now time.Time) time.Time {
	if limit := r.lastTick.Add(SuspectTimeout); now.After(limit) {
		return r.lastTick
	}
	return now
}

// checkPause begins a resync when the last tick was too long ago. Ticks and messages call
// it first: whichever comes first after a pause finds it out.
func (v *View) detectPause(now time.Time) {
	gap := now.Sub(v.resync.lastTick)
	if gap <= SuspectTimeout {
		return
	}
	v.resync = resyncState{
		lastTick:       now,
		startedAt:      now,
		minEchoSeq:     v.self.Seq + 1,
		requiredEchoes: v.echoMajority(now, gap),
		gracePeriod:    resyncGracePeriod,
	}
	for id, s := range v.members {
		shifted := *s
		shifted.LastSeen = s.LastSeen.Add(gap)
		v.members[id] = &shifted
	}
	for _, contact := range v.peers {
		contact.lastSeen = contact.lastSeen.Add(gap)
	}
	for _, stored := range v.reports {
		stored.createdAt = stored.createdAt.Add(gap)
	}
}

// expectedEchoes is a majority of the peers that were live when the pause began: those of
// the own data centre, or the delegates of others where it has no second member.
func (v *View) echoMajority(now time.Time, gap time.Duration) int {
	inZone, total := 0, 0
	for _, contact := range v.peers {
		if now.Sub(contact.lastSeen)-gap > SuspectTimeout {
			continue
		}
		total++
		if contact.zone == v.self.Zone {
			inZone++
		}
	}
	if inZone > 0 {
		return inZone/2 + 1
	}
	return max(1, total/2+1)
}

// confirm ends the resync once enough peers have heard this daemon since.
func (v *View) checkEchoes() {
	if v.resync.confirmed {
		return
	}
	echoes := 0
	for _, contact := range v.peers {
		if v.hasEchoed(contact, v.resync.minEchoSeq) {
			echoes++
		}
	}
	v.resync.confirmed = echoes >= v.resync.requiredEchoes
}

// Ready reports whether the daemon may act on roles that its view gives it. A daemon that
// has just started, or that did not run for longer than SuspectAfter, first has to hear
// every member of its region that it takes for live, and that peers have heard it since, or
// to find in a time of grace that there are none.
func (v *View) Ready(now time.Time) bool {
	if now.Sub(v.resync.lastTick) > SuspectTimeout {
		return false
	}
	if now.Sub(v.resync.startedAt) > v.resync.gracePeriod {
		return true
	}
	return v.resync.confirmed && v.membersRefreshed(now)
}

// settledSince reports whether each member of the region was heard since the pause or is
// suspected by now.
func (v *View) membersRefreshed(now time.Time) bool {
	if v.resync.membersRefreshed {
		return true
	}
	for _, s := range v.members {
		notSeenSince := s.Member.Id != v.self.Id && !s.LastSeen.After(v.resync.startedAt)
		if notSeenSince && s.Member.Region == v.self.Region && !v.Suspected(s, now) {
			return false
		}
	}
	v.resync.membersRefreshed = true
	return true
}

// firstSeq spreads the first seq of incarnations over 40 bits, so that an echo of an
// earlier incarnation is not taken for one of this.
func initialSeq(incarnation uint64) uint64 {
	h := xxhash.New()
	hashUint64(h, incarnation)
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
	hashUint64(h, m.Incarnation)
	hashUint64(h, uint64(m.State))
}

func hashUint64(h *xxhash.Digest, n uint64) {
	var b [8]byte
	for i := range b {
		b[i] = byte(n >> (8 * i))
	}
	_, _ = h.Write(b[:])
}
