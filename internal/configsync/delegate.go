package configsync

import (
	"time"

	"github.com/filbertrill/filbertrill/internal/member"
	"github.com/filbertrill/filbertrill/internal/peer/pb"
)

// stateRecordKey is the key whose owner appends the state records.
const stateRecordKey = "state-record"

// OwnsStateRecords reports whether the member with id self appends the state records: the
// live member that owns stateRecordKey does.
func OwnsStateRecords(self string, live []*pb.Member) bool {
	owner := member.Owner(stateRecordKey, live)
	return owner != nil && owner.Id == self
}

// PollIntervals are the intervals between two reads of the log.
type PollIntervals struct {
	Delegate time.Duration // by the delegate of a zone
	Others   time.Duration // by all other daemons
}

// Next returns the time until the next read of the log. A daemon whose configuration is
// older than half of staleAfter reads as often as a delegate, because its own delegate may
// be unreachable.
func (i PollIntervals) Next(isDelegate bool, age, staleAfter time.Duration) time.Duration {
	if isDelegate || age > staleAfter/2 {
		return i.Delegate
	}
	return i.Others
}

// PushTargets returns the members to which a daemon sends new records. It sends records
// that it read or appended itself to the delegate of every zone; a delegate sends all
// records, also those from peers, to the members of its zone.
func PushTargets(self *pb.Member, live []*pb.Member, fromPeer bool) []*pb.Member {
	delegates := map[string]string{}
	for _, m := range live {
		if _, ok := delegates[m.Zone]; !ok {
			delegates[m.Zone] = member.Delegate(m.Zone, live).Id
		}
	}
	isDelegate := delegates[self.Zone] == self.Id
	var targets []*pb.Member
	for _, m := range live {
		toDelegate := !fromPeer && delegates[m.Zone] == m.Id
		toZone := isDelegate && m.Zone == self.Zone
		if m.Id != self.Id && (toDelegate || toZone) {
			targets = append(targets, m)
		}
	}
	return targets
}

// ProbeTargets returns the members to ping, given the age of the daemon's configuration:
// none up to a quarter of staleAfter, then the delegate of its own zone, and above half of
// staleAfter the delegate of every zone (and, from a delegate, all members of its zone).
func ProbeTargets(self *pb.Member, live []*pb.Member, age, staleAfter time.Duration) []*pb.Member {
	if age > staleAfter/2 {
		return PushTargets(self, live, false)
	}
	delegate := member.Delegate(self.Zone, live)
	if age <= staleAfter/4 || delegate == nil || delegate.Id == self.Id {
		return nil
	}
	return []*pb.Member{delegate}
}
