package configsync

import (
	"time"

	"github.com/filbertrill/filbertrill/internal/member"
	"github.com/filbertrill/filbertrill/internal/peer/pb"
)

// stateRecordKey is the key that the task of state records belongs to.
const stateRecordKey = "state-record"

// OwnsStateRecords reports whether the member appends the state records.
func OwnsStateRecords(self string, live []*pb.Member) bool {
	owner := member.Owner(stateRecordKey, live)
	return owner != nil && owner.Id == self
}

// Intervals are the times between two reads of the log.
type PollIntervals struct {
	Delegate time.Duration
	Others   time.Duration
}

// Poll returns the time until the next read of the log. A daemon whose knowledge is older
// than half the limit reads as often as a delegate: its delegate may be cut off.
func (i PollIntervals) Next(isDelegate bool, age, staleAfter time.Duration) time.Duration {
	if isDelegate || age > staleAfter/2 {
		return i.Delegate
	}
	return i.Others
}

// PushTargets returns the members that a daemon tells of new records. Those from the log
// go to the delegate of every zone; a delegate passes all on to the members of its zone.
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

// ProbeTargets returns the members to ask at once, given the age of the daemon's knowledge:
// none while it is fresh, then the delegate of the own zone, then that of every zone.
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
