package member

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/filbertrill/filbertrill/internal/peer/pb"
)

// Grace periods, after the start and after a pause, at whose end a daemon becomes ready
// although not enough peers have echoed it: it may be the only one.
const (
	startupGracePeriod = time.Second
	resyncGracePeriod  = ReportedSuspectTimeout + time.Second
)

// peerContact is the state of a daemon that sends messages to this one directly.
type peerContact struct {
	incarnation uint64
	seq         uint64 // highest received from it
	echo        uint64 // highest seq of this daemon that it has acknowledged
	lastSeen    time.Time
	zone        string
}

// recordContact records the header of a message received directly from a peer. It reports
// false if the message is not newer than the last one.
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

// lastSeqFrom returns the highest seq received directly from a member, or 0.
func (v *View) lastSeqFrom(id string) uint64 {
	if contact, ok := v.peers[id]; ok {
		return contact.seq
	}
	return 0
}

// hasEchoed reports whether a peer has acknowledged a seq of this daemon of at least minSeq.
func (v *View) hasEchoed(contact *peerContact, minSeq uint64) bool {
	return contact != nil && contact.echo >= minSeq && contact.echo <= v.self.Seq
}

// resyncState detects that the daemon was paused (its process did not run) and tracks
// whether its peers have answered since the pause or since the start.
type resyncState struct {
	lastTick         time.Time
	startedAt        time.Time // end of the last pause, or the daemon's start
	minEchoSeq       uint64    // first own seq after startedAt
	requiredEchoes   int       // number of peers that have to echo minEchoSeq or later
	confirmed        bool      // requiredEchoes is reached
	membersRefreshed bool      // no live member of the region was last seen before startedAt
	gracePeriod      time.Duration
}

// detectionTime returns the time against which the silence of members is measured. After a
// pause it is the last tick, since silence while this daemon did not run is no evidence of a
// failure.
func (r *resyncState) detectionTime(now time.Time) time.Time {
	if limit := r.lastTick.Add(SuspectTimeout); now.After(limit) {
		return r.lastTick
	}
	return now
}

// detectPause starts a resync if the last tick is more than SuspectTimeout ago, and moves
// all recorded times forward by the length of the pause. Ticks and message handlers call it
// before anything else, since either may come first after a pause.
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

// echoMajority returns a majority of the peers that were live when the pause began, at
// least 1. It counts the peers of the own data centre or, if there are none, the delegates
// of other data centres.
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

// checkEchoes sets confirmed once enough peers have echoed a message sent since the pause.
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

// Ready reports whether the daemon may act on the roles that its view assigns to it. It is
// false if the last tick is more than SuspectTimeout ago. After a start or such a pause, the
// daemon becomes ready once enough peers have echoed it and every live member of its region
// has been seen since, or when the grace period ends.
func (v *View) Ready(now time.Time) bool {
	if now.Sub(v.resync.lastTick) > SuspectTimeout {
		return false
	}
	if now.Sub(v.resync.startedAt) > v.resync.gracePeriod {
		return true
	}
	return v.resync.confirmed && v.membersRefreshed(now)
}

// membersRefreshed reports whether each member of the region either has been seen since the
// pause or is suspected.
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

// initialSeq returns the first seq of an incarnation. It is hashed to 40 bits so that an echo
// of an earlier incarnation's seq is not mistaken for one of this incarnation.
func initialSeq(incarnation uint64) uint64 {
	h := xxhash.New()
	hashUint64(h, incarnation)
	return h.Sum64() >> 24
}

// recordHash hashes the fields of a record that seldom change: all except seq, load,
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
