package exchange

import (
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/filbertrill/filbertrill/internal/telemetry"
)

const zonedFleetSize = 16

// startZonedFleet starts a fleet of two zones that is larger than a mesh, and waits until all daemons know each other. The
// first one is the seed of all others and the delegate of z1. crossZone counts the datagrams that other daemons than the two
// delegates send to the other zone.
func startZonedFleet(t *testing.T) (nodes []*node, crossZone *atomic.Int64) {
	t.Helper()
	crossZone = &atomic.Int64{}
	for i := range zonedFleetSize {
		n := newNode(t, fmt.Sprintf("z%d-%d", 1+i%2, i/2), fmt.Sprintf("z%d", 1+i%2))
		if i > 0 {
			n.AddAddress(nodes[0].member.ControlAddress, "")
		}
		if i/2 > 0 {
			n.options.OnZoneTraffic = func(from, to string, kind telemetry.TrafficKind, _ int64) {
				if kind == telemetry.TrafficStates && from != to {
					crossZone.Add(1)
				}
			}
		}
		nodes = append(nodes, n)
	}
	for _, n := range nodes {
		n.start(t)
	}
	requireAllKnown(t, nodes)
	return nodes, crossZone
}

// requireAllKnown waits until each daemon receives the states of all its zone peers.
func requireAllKnown(t *testing.T, nodes []*node) {
	t.Helper()
	require.Eventually(t, func() bool {
		for _, n := range nodes {
			for _, other := range nodes {
				if other != n && other.member.Zone == n.member.Zone && n.demandFrom(other.member.Id) != 10 {
					return false
				}
			}
			if len(n.Members()) != len(nodes)-1 {
				return false
			}
		}
		return true
	}, 30*time.Second, 20*time.Millisecond)
}

// Two daemons of different zones answered each other's lists of members for good: 100 of 121 MB between data centres in 26 s of
// a fleet of 66.
func TestMemberListsAreNotAnswered(t *testing.T) {
	_, crossZone := startZonedFleet(t)
	time.Sleep(3 * memberListInterval) // for the last questions of the start
	before := crossZone.Load()
	time.Sleep(3 * memberListInterval)
	assert.Zero(t, crossZone.Load()-before)
}

// A daemon that only knows one of another zone finds its own zone through it, also long after the start of the fleet.
func TestLateDaemonFindsItsZoneThroughAnother(t *testing.T) {
	nodes, _ := startZonedFleet(t)
	time.Sleep(3 * memberListInterval)
	late := newNode(t, "z2-late", "z2")
	late.AddAddress(nodes[2].member.ControlAddress, "")
	late.start(t)
	requireAllKnown(t, append(nodes, late))
}

// The halves of a zone that have lost each other, for longer than addresses are kept, find each other through another zone.
func TestHalvesOfZoneFindEachOther(t *testing.T) {
	nodes, _ := startZonedFleet(t)
	half := func(n *node) bool { return n.member.Id >= "z2-4" }
	for _, n := range nodes {
		n.mu.Lock()
		clear(n.views)
		n.mu.Unlock()
		if n.member.Zone == "z2" {
			for _, other := range nodes {
				if other.member.Zone == "z2" && half(other) != half(n) {
					n.Exchange.mu.Lock()
					delete(n.addresses, other.member.ControlAddress)
					delete(n.peers, other.member.Id)
					n.fleet = fleetCache{}
					n.Exchange.mu.Unlock()
				}
			}
		}
	}
	requireAllKnown(t, nodes)
}
