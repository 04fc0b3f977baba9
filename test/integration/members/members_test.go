// Package members contains integration tests of membership, entries, orders to servers and
// planned stops.
package members

import (
	"encoding/json"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/filbertrill/filbertrill/test/cluster"
)

func TestMain(m *testing.M) { os.Exit(cluster.Main(m)) }

const pollInterval = 50 * time.Millisecond

// shortDrainArgs shorten planned stops to a few seconds.
var shortDrainArgs = []string{"--entries-lifetime", "1s", "--drain-margin", "1s"}

// memberStatus is the part of the output of "filbertrillctl members" that the tests check.
type memberStatus struct {
	ID            string `json:"id"`
	State         string `json:"state"`
	Incarnation   uint64 `json:"incarnation"`
	AppliedOffset int64  `json:"appliedOffset"`
	Suspected     bool   `json:"suspected"`
	Reason        string `json:"reason"`
}

// memberStatuses returns the members by id as daemon i reports them, or nil if it does not
// answer.
func memberStatuses(f *cluster.Fleet, i int) map[string]memberStatus {
	single := (&cluster.Cluster{Daemons: f.Daemons[i : i+1]}).UseBinDirOf(f.Cluster)
	out, err := single.Ctl("members", "--output", "json")
	if err != nil {
		return nil
	}
	var list []memberStatus
	if json.Unmarshal([]byte(out), &list) != nil {
		return nil
	}
	members := map[string]memberStatus{}
	for _, m := range list {
		members[m.ID] = m
	}
	return members
}

// liveMembers returns the sorted ids of the members that daemon i reports as live.
func liveMembers(f *cluster.Fleet, i int) []string {
	var ids []string
	for id, m := range memberStatuses(f, i) {
		if !m.Suspected && m.State == "live" {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// waitForLive waits until each of the daemons reports exactly the wanted ids as live.
func waitForLive(t *testing.T, f *cluster.Fleet, daemons []int, want ...string) {
	t.Helper()
	for _, i := range daemons {
		require.Eventually(t, func() bool { return slices.Equal(want, liveMembers(f, i)) }, cluster.WaitTimeout, pollInterval,
			"daemon %d: want %v", i+1, want)
	}
}

// startFleet starts a fleet with one engine in z1 and submits its first tickets.
func startFleet(t *testing.T, opts cluster.Options) *cluster.Fleet {
	t.Helper()
	opts.DaemonArgs = append(opts.DaemonArgs, shortDrainArgs...)
	f := cluster.StartFleet(t, opts)
	f.AddEngine("z1", 8)
	f.SubmitNext()
	return f
}

func TestEachFailureIsDetected(t *testing.T) {
	t.Parallel()
	network, err := cluster.NewNetwork(3)
	require.NoError(t, err)
	defer network.Close()
	f := startFleet(t, cluster.Options{Network: network})
	all := []int{0, 1, 2}
	waitForLive(t, f, all, "d1", "d2", "d3")

	f.Daemons[2].Pause()
	waitForLive(t, f, []int{0, 1}, "d1", "d2")
	f.Daemons[2].Resume()
	waitForLive(t, f, all, "d1", "d2", "d3")

	require.NoError(t, network.Partition(0))
	waitForLive(t, f, []int{0}, "d1")
	waitForLive(t, f, []int{1, 2}, "d2", "d3")
	require.NoError(t, network.Heal())
	waitForLive(t, f, all, "d1", "d2", "d3")

	require.NoError(t, network.Blackhole(1))
	waitForLive(t, f, []int{0, 2}, "d1", "d3")
	require.NoError(t, network.Heal())
	waitForLive(t, f, all, "d1", "d2", "d3")

	f.Daemons[1].Kill()
	waitForLive(t, f, []int{0, 2}, "d1", "d3")
	before := memberStatuses(f, 0)["d2"].Incarnation
	_, err = f.StartDaemon(1)
	require.NoError(t, err)
	waitForLive(t, f, all, "d1", "d2", "d3")
	require.Greater(t, memberStatuses(f, 0)["d2"].Incarnation, before)
}

// TestAppliedOffsetReachesAllMembers checks that every daemon soon sees that all members have applied a
// ticket: a new offset is sent at once, not with the next heartbeat.
func TestAppliedOffsetReachesAllMembers(t *testing.T) {
	t.Parallel()
	f := startFleet(t, cluster.Options{Daemons: 5})
	for range 3 {
		f.SubmitNext()
		want := memberStatuses(f, 0)["d1"].AppliedOffset
		for i := range f.Daemons {
			require.Eventually(t, func() bool {
				for _, m := range memberStatuses(f, i) {
					if m.AppliedOffset < want {
						return false
					}
				}
				return true
			}, cluster.WaitTimeout, pollInterval)
		}
	}
}

// TestSilentConnectionsAreReplaced drops all data on open connections without closing them. Daemons must
// replace them with new ones, and all members must be live after the fault ends.
func TestSilentConnectionsAreReplaced(t *testing.T) {
	t.Parallel()
	logs := &syncBuffer{}
	network, err := cluster.NewNetwork(3)
	require.NoError(t, err)
	defer network.Close()
	f := startFleet(t, cluster.Options{Network: network, LogOutput: logs})
	waitForLive(t, f, []int{0, 1, 2}, "d1", "d2", "d3")
	require.NoError(t, network.Blackhole(2))
	require.Eventually(t, func() bool { return strings.Count(logs.String(), "Replaced a silent link") >= 4 },
		cluster.WaitTimeout, pollInterval)
	require.NoError(t, network.Heal())
	waitForLive(t, f, []int{0, 1, 2}, "d1", "d2", "d3")
}
