package entry

import (
	"cmp"
	"slices"
	"time"

	"github.com/filbertrill/filbertrill/internal/member"
	"github.com/filbertrill/filbertrill/internal/peer/pb"
)

// EntriesLifetime is how long callers may keep an answer of /v1/entries.
const EntriesLifetime = 10 * time.Second

// Entry is one address that callers may use.
type Entry struct {
	Address string `json:"address"`
	Zone    string `json:"zone"`
}

// Entries orders the live members for an account: the caller's data centre first, and
// within a data centre by rendezvous hashing, which spreads the accounts.
func Entries(account, zone string, live []*pb.Member) []Entry {
	var members []*pb.Member
	for _, m := range live {
		if m.State == pb.MemberState_MEMBER_STATE_LIVE {
			members = append(members, m)
		}
	}
	slices.SortFunc(members, func(a, b *pb.Member) int {
		if (a.Zone == zone) != (b.Zone == zone) {
			return cmp.Compare(boolRank(a.Zone != zone), boolRank(b.Zone != zone))
		}
		return cmp.Compare(member.Score(account, b.Id), member.Score(account, a.Id))
	})
	entries := make([]Entry, 0, len(members))
	for _, m := range members {
		entries = append(entries, Entry{Address: m.ClientAddress, Zone: m.Zone})
	}
	return entries
}

func boolRank(b bool) int {
	if b {
		return 1
	}
	return 0
}
