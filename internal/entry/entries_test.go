package entry

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/filbertrill/filbertrill/internal/peer/pb"
)

func testMember(i int, zone, region string) *pb.Member {
	return &pb.Member{
		Id: fmt.Sprintf("d%d", i), ClientAddress: fmt.Sprintf("a%d", i), Zone: zone, Region: region,
		State: pb.MemberState_MEMBER_STATE_LIVE,
	}
}

func TestEntriesPreferNearDaemonsAndOmitDraining(t *testing.T) {
	var members []*pb.Member
	for i := range 12 {
		members = append(members, testMember(i, fmt.Sprintf("z%d", i%4), fmt.Sprintf("r%d", i%4/3)))
	}
	members[0].State = pb.MemberState_MEMBER_STATE_DRAINING
	members[4].State = pb.MemberState_MEMBER_STATE_STARTING
	members[8].Load = 10_000
	for account := range 20 {
		c := Caller{Account: fmt.Sprint(account), Zone: "z0", Region: "r0"}
		entries := Entries(c, members)
		require.Len(t, entries, maxEntries)
		require.Equal(t, Entry{Address: "a8", Zone: "z0"}, entries[0], "the caller's data centre comes first, regardless of its load")
		for _, e := range entries[1:7] {
			require.Contains(t, []string{"z1", "z2"}, e.Zone, "the region comes next")
		}
		require.Equal(t, "z3", entries[7].Zone)
	}
}

// meanPeakLoad simulates callers of 16 accounts of uneven size that each use the first entry
// of a response for 10 s. It returns the largest load of a member over the mean load,
// averaged over the seconds of the second half. Reported loads are one second old.
func meanPeakLoad(seed int64, bounded bool) float64 {
	const members, callers, lifetime, seconds = 7, 400, 10, 120
	random := rand.New(rand.NewSource(seed))
	zipf := rand.NewZipf(random, 1.2, 1, 15)
	accounts := make([]string, callers)
	chosen := make([]string, callers)
	for i := range accounts {
		accounts[i] = fmt.Sprintf("account-%d-%d", seed, zipf.Uint64())
	}
	var live []*pb.Member
	for i := range members {
		live = append(live, testMember(i, "z", "r"))
	}
	total, samples := 0.0, 0
	for second := range seconds {
		for i := range accounts {
			if second > 0 && (i+second)%lifetime != 0 {
				continue
			}
			chosen[i] = Entries(Caller{Account: accounts[i], Zone: "z", Region: "r"}, live)[0].Address
		}
		loads := map[string]uint32{}
		for _, address := range chosen {
			loads[address]++
		}
		peak := uint32(0)
		for _, m := range live {
			peak = max(peak, loads[m.ClientAddress])
			if bounded {
				m.Load = loads[m.ClientAddress]
			}
		}
		if second >= seconds/2 {
			total += float64(peak) * members / callers
			samples++
		}
	}
	return total / float64(samples)
}

func TestBoundedLoadSpreadsUnevenAccounts(t *testing.T) {
	var plain, bounded []float64
	for seed := range int64(20) {
		plain = append(plain, meanPeakLoad(seed, false))
		bounded = append(bounded, meanPeakLoad(seed, true))
	}
	slices.Sort(plain)
	slices.Sort(bounded)
	t.Logf("max/mean load, median and worst of 20: hashing alone %.2f %.2f, bounded %.2f %.2f",
		plain[10], plain[19], bounded[10], bounded[19])
	require.Less(t, bounded[19], 2.0, "no daemon has twice its share")
	require.Less(t, bounded[19], plain[10])
}
