package entry

import (
	"cmp"
	"slices"
	"time"

	"github.com/filbertrill/filbertrill/internal/member"
	"github.com/filbertrill/filbertrill/internal/peer/pb"
)

// DefaultLifetime is how long callers may cache a response of /v1/entries.
const DefaultLifetime = 10 * time.Second

// Limits of a response of /v1/entries.
const (
	// maxEntries is the maximum number of addresses.
	maxEntries = 8
	// maxLoadFactor times the mean load of the daemons at the same distance, plus
	// loadSlack, is the load limit. Daemons above it come after the others at that distance.
	maxLoadFactor = 1.25
	// loadSlack, in requests, keeps small differences from mattering when loads are low.
	loadSlack = 2
)

// Entry is the client address of a daemon and its data centre.
type Entry struct {
	Address string `json:"address"`
	Zone    string `json:"zone"`
}

// Caller holds the properties of a caller that determine the order of its entries.
type Caller struct {
	Account string
	Zone    string
	Region  string
}

// Entries returns up to 8 of the live members in the order in which a caller should try them:
// those of its data centre, then those of its region, then others. Members at the same
// distance are ordered by rendezvous hashing of the account, but those above the load limit
// come last. As in consistent hashing with bounded loads (Mirrokni, Thorup and Zadimoghaddam
// 2018), this spreads a large account over several daemons. Members in other states than
// live are omitted.
func Entries(c Caller, live []*pb.Member) []Entry {
	byDistance := map[int][]*pb.Member{}
	for _, m := range live {
		if m.State == pb.MemberState_MEMBER_STATE_LIVE {
			byDistance[c.distance(m)] = append(byDistance[c.distance(m)], m)
		}
	}
	entries := []Entry{}
	for distance := range otherRegionDistance + 1 {
		for _, m := range c.sortByPreference(byDistance[distance]) {
			if len(entries) < maxEntries {
				entries = append(entries, Entry{Address: m.ClientAddress, Zone: m.Zone})
			}
		}
	}
	return entries
}

// otherRegionDistance is the distance to a member of another region, the largest one.
const otherRegionDistance = 2

// distance returns 0 for a member of the same data centre, 1 for the same region, and
// otherRegionDistance for others.
func (c Caller) distance(m *pb.Member) int {
	switch {
	case m.Zone == c.Zone:
		return 0
	case m.Region == c.Region:
		return 1
	}
	return otherRegionDistance
}

// sortByPreference returns the members ordered by load limit and rendezvous score.
func (c Caller) sortByPreference(members []*pb.Member) []*pb.Member {
	limit := loadLimit(members)
	sorted := slices.Clone(members)
	slices.SortFunc(sorted, func(a, b *pb.Member) int {
		overA, overB := float64(a.Load) > limit, float64(b.Load) > limit
		if overA != overB {
			return cmp.Compare(overLimitRank(overA), overLimitRank(overB))
		}
		return cmp.Compare(member.Score(c.Account, b.Id), member.Score(c.Account, a.Id))
	})
	return sorted
}

func overLimitRank(overLimit bool) int {
	if overLimit {
		return 1
	}
	return 0
}

// loadLimit returns the load above which a member comes after the others, in requests.
func loadLimit(members []*pb.Member) float64 {
	if len(members) == 0 {
		return 0
	}
	total := 0.0
	for _, m := range members {
		total += float64(m.Load)
	}
	return maxLoadFactor*total/float64(len(members)) + loadSlack
}
