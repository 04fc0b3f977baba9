package exchange

import (
	"math"
	"slices"
	"strings"

	"github.com/filbertrill/filbertrill/internal/exchange/pb"
)

// Merge sums the views of the daemons of one zone, the delegate's first. Loads and uses add up;
// of the configuration the newest counts. What is said of the list of servers is what the
// delegate itself knows: others pull the list from it, and would take what it lacks for gone.
func MergeViews(views []*pb.View) *pb.View {
	out := &pb.View{ConfigAgeMs: math.MaxUint32, ServerDigest: views[0].ServerDigest, ServerAgeMs: views[0].ServerAgeMs}
	servers := make(map[uint64]*pb.ServerLoad)
	accounts := make(map[uint64]*pb.AccountUse)
	withdrawn := make(map[string]*pb.Withdrawal)
	models := make(map[uint64]*pb.EngineModel)
	for _, v := range views {
		for _, l := range v.Servers {
			sum := getOrInsert(servers, l.Server, &pb.ServerLoad{Server: l.Server})
			sum.Running += l.Running
			sum.PendingTokens += l.PendingTokens
			sum.MemoryTokens += l.MemoryTokens
		}
		for _, usage := range v.Accounts {
			sum := getOrInsert(accounts, usage.Account, &pb.AccountUse{Account: usage.Account})
			sum.Asked += usage.Asked
			sum.Admitted += usage.Admitted
			sum.Lately += usage.Lately
		}
		for _, w := range v.Withdrawn {
			if old, ok := withdrawn[w.Server]; !ok || old.Born < w.Born || (old.Born == w.Born && old.Sequence < w.Sequence) {
				withdrawn[w.Server] = w
			}
		}
		for _, m := range v.Models {
			mergeModel(getOrInsert(models, m.Service, &pb.EngineModel{Service: m.Service}), m)
		}
		out.Placements = append(out.Placements, v.Placements...)
		if v.ConfigVersion > out.ConfigVersion {
			out.ConfigVersion, out.ConfigAgeMs = v.ConfigVersion, v.ConfigAgeMs
		} else if v.ConfigVersion == out.ConfigVersion {
			out.ConfigAgeMs = min(out.ConfigAgeMs, v.ConfigAgeMs)
		}
	}
	for _, l := range servers {
		out.Servers = append(out.Servers, l)
	}
	for _, usage := range accounts {
		out.Accounts = append(out.Accounts, usage)
	}
	for _, w := range withdrawn {
		out.Withdrawn = append(out.Withdrawn, w)
	}
	for _, m := range models {
		out.Models = append(out.Models, m)
	}
	return out
}

// mergeModel turns mean into the mean of itself and m, weighed by their observations.
func mergeModel(mean, m *pb.EngineModel) {
	total := mean.Observations + m.Observations
	if total <= 0 {
		return
	}
	share := m.Observations / total
	mean.Base += share * (m.Base - mean.Base)
	mean.PerToken += share * (m.PerToken - mean.PerToken)
	mean.PerRunning += share * (m.PerRunning - mean.PerRunning)
	mean.Observations = total
}

func getOrInsert[K comparable, V any](m map[K]V, key K, initial V) V {
	if old, ok := m[key]; ok {
		return old
	}
	m[key] = initial
	return initial
}

// Rank returns the place of the daemon with the id among the daemons of its zone: the
// first one is the zone's delegate. Each daemon works it out from the members that it
// hears, so that two may hold it for a moment; what delegates send is harmless twice.
func ZoneRank(id string, zonePeers []*pb.Member) int {
	rank := 0
	for _, m := range zonePeers {
		if m.Id < id && !m.Draining {
			rank++
		}
	}
	return rank
}

func sortMembers(members []*pb.Member) {
	slices.SortFunc(members, func(a, b *pb.Member) int { return strings.Compare(a.Id, b.Id) })
}
