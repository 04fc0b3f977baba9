package entry

import (
	"cmp"
	"slices"
	"time"

	"github.com/filbertrill/filbertrill/internal/member"
	"github.com/filbertrill/filbertrill/internal/peer/pb"
)

// DefaultLifetime is how long callers may keep an answer of /v1/entries.
const DefaultLifetime = 10 * time.Second

// Limits of an answer.
const (
	// maxEntries is the number of addresses in an answer.
	maxEntries = 8
	// loadFactor times the mean load of a data centre's daemons is the load beyond which
	// a daemon is moved behind the others of its data centre.
	maxLoadFactor = 1.25
	// loadSlack is a number of requests that no daemon is moved back for.
	loadSlack = 2
)

// Entry is one address that callers may use.
type Entry struct {
	Address string `json:"address"`
	Zone    string `json:"zone"`
}

// Caller is what the order of entries depends on besides the members.
type Caller struct {
	Account string
	Zone    string
	Region  string
}

// Entries orders the live members for a caller: those of its data centre, then those of
// its region, then others. Among equals the order is by rendezvous hashing, which spreads
// the accounts, but a daemon with more than its share of the load comes last: consistent
// hashing with bounded loads (Mirrokni, Thorup and Zadimoghaddam 2018), so that a large
// account spreads over several daemons.
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

// farAway is the distance to a member of another region.
const otherRegionDistance = 2

func (c Caller) distance(m *pb.Member) int {
	switch {
	case m.Zone == c.Zone:
		return 0
	case m.Region == c.Region:
		return 1
	}
	return otherRegionDistance
}

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
