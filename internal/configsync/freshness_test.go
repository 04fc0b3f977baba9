package configsync_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/filbertrill/filbertrill/internal/configsync"
	"github.com/filbertrill/filbertrill/internal/member"
	"github.com/filbertrill/filbertrill/internal/peer/pb"
)

var epoch = time.Unix(1_000_000, 0)

// node is a simulated daemon: the offset it has applied, its freshness and its roster.
type node struct {
	id        string
	applied   int64
	freshness *configsync.FreshnessTracker
	roster    *configsync.Roster
}

// ping is a ping in flight; reports is nil until the peer has answered.
type ping struct {
	from, to int
	sentAt   time.Time
	reports  []configsync.PeerReport
}

// simulation is a fleet, its log and the pings in flight, in virtual time.
type simulation struct {
	now       time.Time
	logLength int64 // number of records
	nodes     []*node
	pings     []*ping
	accepted  map[int64]time.Time // when a majority had first applied the offset
}

func newSimulation(size int) *simulation {
	s := &simulation{now: epoch, accepted: map[int64]time.Time{}}
	for i := range size {
		s.nodes = append(s.nodes, &node{id: fmt.Sprint("d", i)})
	}
	for _, n := range s.nodes {
		s.restart(n)
	}
	return s
}

func (s *simulation) restart(n *node) {
	n.applied = -1
	n.freshness = configsync.NewFreshnessTracker(n.id, s.now)
	n.roster = configsync.NewRoster(n.id)
	var view []member.Status
	for _, other := range s.nodes {
		view = append(view, member.Status{Member: &pb.Member{Id: other.id, PeerAddress: other.id}, LastSeen: s.now})
	}
	n.roster.Update(s.now, view, configsync.InstanceListing{})
}

func (s *simulation) updateFreshness(n *node) { n.freshness.Update(s.now, n.applied, n.roster) }

// recordAccepted records the offsets that a majority has applied by now.
func (s *simulation) recordAccepted() {
	for offset := range s.logLength {
		count := 0
		for _, n := range s.nodes {
			if n.applied >= offset {
				count++
			}
		}
		if _, known := s.accepted[offset]; !known && 2*count > len(s.nodes) {
			s.accepted[offset] = s.now
		}
	}
}

// answer fills in the peer's report on itself and the reports that it relays.
func (s *simulation) answer(p *ping) {
	n := s.nodes[p.to]
	asOf, _ := n.freshness.AsOf()
	p.reports = []configsync.PeerReport{{
		Member:  n.id,
		SentAt:  p.sentAt,
		Applied: n.applied,
		Ready:   n.freshness.Ready(),
		Age:     configsync.Age(asOf, s.now),
	}}
	if !n.freshness.Ready() {
		return
	}
	members := map[string]bool{}
	for _, other := range s.nodes {
		members[other.id] = true
	}
	for _, report := range n.freshness.RelayableReports(s.now, 0, members) {
		report.SentAt = p.sentAt.Add(-configsync.Age(report.SentAt, s.now))
		report.Relayed = true
		p.reports = append(p.reports, report)
	}
}

// TestFreshDaemonHasEveryAcceptedTicket checks that a daemon has every ticket accepted before
// its AsOf time, in spite of broken links, late answers, log outages and restarts that lose
// all state. The bound on new work for leaving servers depends on it.
func TestFreshDaemonHasEveryAcceptedTicket(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(rapid.IntRange(1, 5).Draw(t, "daemons"))
		pick := func(name string) int { return rapid.IntRange(0, len(s.nodes)-1).Draw(t, name) }
		t.Repeat(map[string]func(*rapid.T){
			"append": func(*rapid.T) { s.logLength++ },
			"read": func(*rapid.T) {
				n := s.nodes[pick("reader")]
				started := s.now
				s.now = s.now.Add(time.Millisecond)
				n.applied = max(n.applied, s.logLength-1)
				n.freshness.RecordLogRead(started)
			},
			"copy": func(*rapid.T) {
				from, to := s.nodes[pick("from")], s.nodes[pick("to")]
				to.applied = max(to.applied, from.applied)
			},
			"ping": func(*rapid.T) {
				from, to := pick("from"), pick("to")
				if from != to {
					s.pings = append(s.pings, &ping{from: from, to: to, sentAt: s.now})
				}
			},
			"answer": func(t *rapid.T) {
				if len(s.pings) > 0 {
					s.answer(s.pings[rapid.IntRange(0, len(s.pings)-1).Draw(t, "ping")])
				}
			},
			"receive": func(t *rapid.T) {
				if len(s.pings) == 0 {
					return
				}
				i := rapid.IntRange(0, len(s.pings)-1).Draw(t, "ping")
				p := s.pings[i]
				s.pings = append(s.pings[:i:i], s.pings[i+1:]...)
				for _, report := range p.reports {
					s.nodes[p.from].freshness.RecordReport(report)
				}
			},
			"restart": func(*rapid.T) {
				n := s.nodes[pick("daemon")]
				for i := 0; i < len(s.pings); i++ {
					if s.nodes[s.pings[i].from] == n {
						s.pings = append(s.pings[:i:i], s.pings[i+1:]...)
						i--
					}
				}
				s.restart(n)
			},
			"": func(t *rapid.T) {
				s.now = s.now.Add(time.Millisecond)
				s.recordAccepted()
				for _, n := range s.nodes {
					s.updateFreshness(n)
					asOf, source := n.freshness.AsOf()
					for offset, at := range s.accepted {
						if asOf.After(at) && n.applied < offset {
							t.Fatalf("%s is up to date as of %v by %s but lacks offset %d, accepted at %v", n.id, asOf, source, offset, at)
						}
					}
				}
			},
		})
	})
}

func TestFreshnessSources(t *testing.T) {
	s := newSimulation(3)
	n := s.nodes[0]
	at := func(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }
	report := func(id string, sent int, applied int64, age time.Duration) {
		n.freshness.RecordReport(configsync.PeerReport{Member: id, SentAt: at(sent), Applied: applied, Ready: true, Age: age})
		s.now = at(sent + 10)
		s.updateFreshness(n)
	}
	requireAsOf := func(ms int, source configsync.Source) {
		t.Helper()
		asOf, by := n.freshness.AsOf()
		require.Equal(t, source, by)
		require.Equal(t, at(ms), asOf)
	}
	report("d1", 100, -1, time.Hour)
	require.False(t, n.freshness.Ready(), "the peer is up to date only as of a time before the daemon started")
	report("d1", 200, -1, 50*time.Millisecond)
	requireAsOf(200, configsync.SourceMajority)
	report("d1", 300, -1, time.Hour)
	requireAsOf(300, configsync.SourceMajority)
	report("d2", 400, 5, 0)
	requireAsOf(300, configsync.SourceMajority)
	n.applied = 5
	s.updateFreshness(n)
	requireAsOf(400, configsync.SourcePeer)
	n.freshness.RecordLogRead(at(450))
	requireAsOf(450, configsync.SourceLog)
	report("stranger", 500, 5, 0)
	requireAsOf(450, configsync.SourceLog)
}

func TestAgeUsesTheLargerOfMonotonicAndWallClock(t *testing.T) {
	now := time.Now()
	require.GreaterOrEqual(t, configsync.Age(now.Add(-time.Second), now), time.Second)
	// Times without a monotonic reading stand for a monotonic clock that stood still.
	require.Equal(t, time.Hour, configsync.Age(now.Round(0).Add(-time.Hour), now.Round(0)))
}
