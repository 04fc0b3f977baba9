package exchange

import (
	"math"
	"slices"
	"strings"

	"github.com/filbertrill/filbertrill/internal/exchange/pb"
)

// MergeViews merges the views of the daemons of one zone, with the delegate's view first. Loads and
// account usage are added up, and the newest configuration version wins. Digest and age of the list
// of servers are the delegate's: peers pull the list from the delegate and would treat servers that
// it lacks as removed.
func MergeViews(views []*pb.View) *pb.View {
	out := &pb.View{ConfigAgeMs: math.MaxUint32, ServerDigest: views[0].ServerDigest, ServerAgeMs: views[0].ServerAgeMs}
	servers := make(map[uint64]*pb.ServerLoad)
	accounts := make(map[uint64]*pb.AccountUse)
	withdrawn := make(map[string]*pb.Withdrawal)
	models := make(map[uint64]*pb.EngineModel)
	suspects := make(map[suspectKey]*pb.Suspect)
	limits := make(map[uint64]*pb.ServerLimit)
	demands := make(map[uint64]*pb.ServiceDemand)
	refused := make(map[uint64]*pb.RefusedServer)
	placed := make(map[placementKey]bool)
	for _, v := range views {
		out.Daemons += v.Daemons
		out.StoreEra = max(out.StoreEra, v.StoreEra)
		if at := v.StoreReturnAgeMs; at != nil && (out.StoreReturnAgeMs == nil || *at < *out.StoreReturnAgeMs) {
			out.StoreReturnAgeMs = at
		}
		if newerEvacuations(v.Evacuations, out.Evacuations) {
			out.Evacuations = v.Evacuations
		}
		for _, r := range v.Refused {
			if known, ok := refused[r.Process]; !ok || r.AgeMs < known.AgeMs {
				refused[r.Process] = r
			}
		}
		for _, l := range v.Limits {
			if known, ok := limits[l.Server]; !ok || l.AgeMs < known.AgeMs {
				limits[l.Server] = l
			}
		}
		for _, d := range v.Demands {
			getOrInsert(demands, d.Service, &pb.ServiceDemand{Service: d.Service}).PerSecond += d.PerSecond
		}
		for _, s := range v.Suspects {
			mergeSuspect(getOrInsert(suspects, suspectKey{s.Kind, s.Id}, &pb.Suspect{Kind: s.Kind, Id: s.Id}), s)
		}
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
			sum.Unmet |= usage.Unmet
			sum.Quarters = append(sum.Quarters, make([]uint64, max(0, len(usage.Quarters)-len(sum.Quarters)))...)
			for i, admitted := range usage.Quarters {
				sum.Quarters[i] += admitted
			}
		}
		for _, w := range v.Withdrawn {
			if old, ok := withdrawn[w.Server]; !ok || old.Born < w.Born || (old.Born == w.Born && old.Sequence < w.Sequence) {
				withdrawn[w.Server] = w
			}
		}
		for _, m := range v.Models {
			mergeModel(getOrInsert(models, m.Service, &pb.EngineModel{Service: m.Service}), m)
		}
		for _, p := range v.Placements { // many requests of a zone share a prefix
			if key := (placementKey{p.Server, p.Part}); !placed[key] && len(out.Placements) < maxMergedPlacements {
				placed[key] = true
				out.Placements = append(out.Placements, p)
			}
		}
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
	for _, l := range limits {
		out.Limits = append(out.Limits, l)
	}
	for _, d := range demands {
		out.Demands = append(out.Demands, d)
	}
	for _, r := range refused {
		if len(out.Refused) == maxMergedRefused {
			break // daemons repeat them, and the order of the map differs each time
		}
		out.Refused = append(out.Refused, r)
	}
	for _, s := range suspects {
		if len(out.Suspects) == maxMergedSuspects {
			break // daemons repeat their evidence, and the order of the map differs each time
		}
		out.Suspects = append(out.Suspects, s)
	}
	return out
}

// maxMergedPlacements bounds the placements in a summary to some 12 KB. Those left out are missing in other zones.
const maxMergedPlacements = 512

// maxMergedRefused bounds the servers in a summary that refused connections to some 6 KB.
const maxMergedRefused = 256

// maxMergedSuspects bounds the evidence in a summary, so that it fits into a datagram with 32 ends for each.
const maxMergedSuspects = 64

type suspectKey struct {
	kind uint32
	id   uint64
}

// newerEvacuations reports whether a is of a later position than b. Either may be nil.
func newerEvacuations(a, b *pb.Evacuations) bool {
	if a == nil || b == nil {
		return a != nil
	}
	return a.Era > b.Era || (a.Era == b.Era && a.Offset > b.Offset)
}

// mergeSuspect adds the evidence of s. Of ages, the latest event counts.
func mergeSuspect(sum, s *pb.Suspect) {
	for _, e := range s.Ends {
		i := slices.IndexFunc(sum.Ends, func(known *pb.ServerEnd) bool { return known.Server == e.Server })
		if i < 0 {
			// Copied, because the message of the peer is kept.
			sum.Ends = append(sum.Ends, &pb.ServerEnd{Server: e.Server, AgeMs: e.AgeMs, Begun: e.Begun, Disproved: e.Disproved})
			continue
		}
		sum.Ends[i].Begun = sum.Ends[i].Begun || e.Begun
		sum.Ends[i].Disproved = sum.Ends[i].Disproved || e.Disproved
	}
	sum.SoundAgeMs = lowerAge(sum.SoundAgeMs, s.SoundAgeMs)
	sum.LiftedAgeMs = lowerAge(sum.LiftedAgeMs, s.LiftedAgeMs)
	if s.Trials > sum.Trials {
		sum.Trials, sum.TrialAgeMs = s.Trials, s.TrialAgeMs
	}
}

// lowerAge returns the lower of two ages, of which 0 stands for never.
func lowerAge(a, b uint32) uint32 {
	if a == 0 || (b != 0 && b < a) {
		return b
	}
	return a
}

// mergeModel updates mean to the average of mean and m, weighted by their observations.
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

// getOrInsert returns the value of the key. If there is none, it inserts and returns the initial
// value.
func getOrInsert[K comparable, V any](m map[K]V, key K, initial V) V {
	if old, ok := m[key]; ok {
		return old
	}
	m[key] = initial
	return initial
}

// ZoneRank returns the rank of the daemon self among the daemons of its zone, by ID and without
// draining ones. peers are the other live daemons. The daemon with rank 0 is the zone's delegate. Each daemon computes the
// rank from the members that it knows, so that a zone may briefly have two delegates. Receiving
// summaries from both is harmless.
func ZoneRank(self *pb.Member, peers []*pb.Member) int {
	rank := 0
	for _, m := range peers {
		if m.Zone == self.Zone && m.Id < self.Id && !m.Draining {
			rank++
		}
	}
	return rank
}

// sortMembers sorts the members by ID.
func sortMembers(members []*pb.Member) {
	slices.SortFunc(members, func(a, b *pb.Member) int { return strings.Compare(a.Id, b.Id) })
}
