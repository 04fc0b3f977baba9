package member

import (
	"github.com/cespare/xxhash/v2"

	"github.com/filbertrill/filbertrill/internal/peer/pb"
)

// Owner returns the member that owns a key, by rendezvous hashing (Thaler and
// Ravishankar 1998), or nil if there are no members. Draining members own keys only if
// every member is draining.
func Owner(key string, members []*pb.Member) *pb.Member {
	var best *pb.Member
	var bestScore uint64
	bestDraining := true
	for _, m := range members {
		draining := m.State == pb.MemberState_MEMBER_STATE_DRAINING
		score := Score(key, m.Id)
		better := best == nil || (bestDraining && !draining)
		if !better && draining == bestDraining {
			better = score > bestScore
		}
		if better {
			best, bestScore, bestDraining = m, score, draining
		}
	}
	return best
}

// Score returns the rendezvous weight of a member for a key; the highest owns the key.
func Score(key, memberID string) uint64 {
	return xxhash.Sum64String(key + "\x00" + memberID)
}

// topology groups the live members by data centre and region.
type topology struct {
	zones   map[string][]*pb.Member // by data centre
	regions map[string][]string     // data centres by region
}

func groupByZone(live []*pb.Member) topology {
	topo := topology{zones: map[string][]*pb.Member{}, regions: map[string][]string{}}
	for _, m := range live {
		if len(topo.zones[m.Zone]) == 0 {
			topo.regions[m.Region] = append(topo.regions[m.Region], m.Zone)
		}
		topo.zones[m.Zone] = append(topo.zones[m.Zone], m)
	}
	return topo
}

// delegate returns the member that reports for a data centre, or nil.
func (topo topology) delegate(zone string) *pb.Member {
	return Owner("delegate/"+zone, topo.zones[zone])
}

// Delegate returns the member that reports for a data centre, or nil if no member of it is
// among the live ones.
func Delegate(zone string, live []*pb.Member) *pb.Member {
	return groupByZone(live).delegate(zone)
}

// regionDelegate returns the data centre delegate that reports for a region, or nil.
func (topo topology) regionDelegate(region string) *pb.Member {
	var delegates []*pb.Member
	for _, zone := range topo.regions[region] {
		delegates = append(delegates, topo.delegate(zone))
	}
	return Owner("region/"+region, delegates)
}
