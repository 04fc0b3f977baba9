// Package members holds sessions on the members of a fleet, entries and planned stops.
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

const poll = 50 * time.Millisecond

// shortStop lets planned stops take seconds.
var shortStop = []string{"--entries-lifetime", "1s", "--drain-margin", "1s"}

// memberView is the part of filbertrillctl's output that the sessions look at.
type memberView struct {
	ID            string `json:"id"`
	State         string `json:"state"`
	Incarnation   uint64 `json:"incarnation"`
	AppliedOffset int64  `json:"appliedOffset"`
	Suspected     bool   `json:"suspected"`
	Reason        string `json:"reason"`
}

// view returns what daemon i tells of the members, or nil when it does not answer.
func view(f *cluster.Fleet, i int) map[string]memberView {
	one := (&cluster.Cluster{Daemons: f.Daemons[i : i+1]}).With(f.Cluster)
	out, err := one.Ctl("members", "--output", "json")
	if err != nil {
		return nil
	}
	var list []memberView
	if json.Unmarshal([]byte(out), &list) != nil {
		return nil
	}
	members := map[string]memberView{}
	for _, m := range list {
		members[m.ID] = m
	}
	return members
}

// live returns the ids that daemon i takes for live.
func live(f *cluster.Fleet, i int) []string {
	var ids []string
	for id, m := range view(f, i) {
		if !m.Suspected && m.State == "live" {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// awaitLive waits until each of the daemons takes exactly the given ones for live.
func awaitLive(t *testing.T, f *cluster.Fleet, daemons []int, want ...string) {
	t.Helper()
	for _, i := range daemons {
		require.Eventually(t, func() bool { return slices.Equal(want, live(f, i)) }, cluster.Patience, poll,
			"daemon %d: want %v", i+1, want)
	}
}

func startFleet(t *testing.T, opts cluster.Options) *cluster.Fleet {
	t.Helper()
	opts.DaemonArgs = append(opts.DaemonArgs, shortStop...)
	f := cluster.StartFleet(t, opts)
	f.AddEngine("z1", 8)
	f.SubmitNext()
	return f
}

func TestMembersFindEachFailure(t *testing.T) {
	t.Parallel()
	network, err := cluster.NewNetwork(3)
	require.NoError(t, err)
	defer network.Close()
	f := startFleet(t, cluster.Options{Network: network})
	all := []int{0, 1, 2}
	awaitLive(t, f, all, "d1", "d2", "d3")

	f.Daemons[2].Freeze()
	awaitLive(t, f, []int{0, 1}, "d1", "d2")
	f.Daemons[2].Thaw()
	awaitLive(t, f, all, "d1", "d2", "d3")

	require.NoError(t, network.Part(0))
	awaitLive(t, f, []int{0}, "d1")
	awaitLive(t, f, []int{1, 2}, "d2", "d3")
	require.NoError(t, network.Heal())
	awaitLive(t, f, all, "d1", "d2", "d3")

	require.NoError(t, network.Silence(1))
	awaitLive(t, f, []int{0, 2}, "d1", "d3")
	require.NoError(t, network.Heal())
	awaitLive(t, f, all, "d1", "d2", "d3")

	f.Daemons[1].Kill()
	awaitLive(t, f, []int{0, 2}, "d1", "d3")
	before := view(f, 0)["d2"].Incarnation
	_, err = f.StartDaemon(1)
	require.NoError(t, err)
	awaitLive(t, f, all, "d1", "d2", "d3")
	require.Greater(t, view(f, 0)["d2"].Incarnation, before)
}

// A ticket's offset is seen of every member without a majority having to wait for beats.
func TestAppliedOffsetsOfAllMembers(t *testing.T) {
	t.Parallel()
	f := startFleet(t, cluster.Options{Daemons: 5})
	for range 3 {
		f.SubmitNext()
		want := view(f, 0)["d1"].AppliedOffset
		for i := range f.Daemons {
			require.Eventually(t, func() bool {
				for _, m := range view(f, i) {
					if m.AppliedOffset < want {
						return false
					}
				}
				return true
			}, cluster.Patience, poll)
		}
	}
}

// A link that goes silent alone, while new connections work, costs no member its place.
func TestSilentConnectionsAreReplaced(t *testing.T) {
	t.Parallel()
	logs := &buffer{}
	network, err := cluster.NewNetwork(3)
	require.NoError(t, err)
	defer network.Close()
	f := startFleet(t, cluster.Options{Network: network, Logs: logs})
	awaitLive(t, f, []int{0, 1, 2}, "d1", "d2", "d3")
	require.NoError(t, network.Silence(2))
	require.Eventually(t, func() bool { return strings.Count(logs.String(), "Replaced a silent link") >= 4 },
		cluster.Patience, poll)
	require.NoError(t, network.Heal())
	awaitLive(t, f, []int{0, 1, 2}, "d1", "d2", "d3")
}
