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

// node is a daemon reduced to what it applied and how fresh it is.
type node struct {
	id      string
	applied int64
	fresh   *configsync.FreshnessTracker
	roster  *configsync.Roster
}

// ping is a call on its way; answer is nil until the peer has answered.
type ping struct {
	from, to int
	sent     time.Time
	answer   []configsync.PeerReport
}

// world is a fleet, its log and the calls under way, in virtual time.
type world struct {
	now      time.Time
	log      int64 // number of records
	nodes    []*node
	pings    []*ping
	accepted map[int64]time.Time // when a majority had first applied an offset
}

func newWorld(size int) *world {
	w := &world{now: epoch, accepted: map[int64]time.Time{}}
	for i := range size {
		w.nodes = append(w.nodes, &node{id: fmt.Sprint("d", i)})
	}
	for _, n := range w.nodes {
		w.restart(n)
	}
	return w
}

func (w *world) restart(n *node) {
	n.applied = -1
	n.fresh = configsync.NewFreshnessTracker(n.id, w.now)
	n.roster = configsync.NewRoster(n.id)
	var view []member.Status
	for _, other := range w.nodes {
		view = append(view, member.Status{Member: &pb.Member{Id: other.id, PeerAddress: other.id}, Heard: w.now})
	}
	n.roster.Update(w.now, view, configsync.InstanceListing{})
}

func (w *world) evaluate(n *node) { n.fresh.Update(w.now, n.applied, n.roster) }

// note records the offsets that a majority has.
func (w *world) note() {
	for offset := range w.log {
		have := 0
		for _, n := range w.nodes {
			if n.applied >= offset {
				have++
			}
		}
		if _, known := w.accepted[offset]; !known && 2*have > len(w.nodes) {
			w.accepted[offset] = w.now
		}
	}
}

// answer is what a daemon says of itself and passes on of others.
func (w *world) answer(p *ping) {
	n := w.nodes[p.to]
	known, _ := n.fresh.AsOf()
	p.answer = []configsync.PeerReport{{
		Member:  n.id,
		SentAt:  p.sent,
		Applied: n.applied,
		Ready:   n.fresh.Ready(),
		Age:     configsync.Age(known, w.now),
	}}
	if !n.fresh.Ready() {
		return
	}
	all := map[string]bool{}
	for _, other := range w.nodes {
		all[other.id] = true
	}
	for _, a := range n.fresh.RelayableReports(w.now, 0, all) {
		a.SentAt = p.sent.Add(-configsync.Age(a.SentAt, w.now))
		a.Relayed = true
		p.answer = append(p.answer, a)
	}
}

// TestNoDaemonMissesAnAcceptedTicket proves what the bound for leaving servers rests on: a
// daemon that takes itself for knowing all until some time has every ticket accepted by
// then, through cut links, late answers, outages of the log and restarts without memory.
func TestNoDaemonMissesAnAcceptedTicket(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.IntRange(1, 5).Draw(t, "daemons"))
		pick := func(name string) int { return rapid.IntRange(0, len(w.nodes)-1).Draw(t, name) }
		t.Repeat(map[string]func(*rapid.T){
			"append": func(*rapid.T) { w.log++ },
			"read": func(*rapid.T) {
				n := w.nodes[pick("reader")]
				started := w.now
				w.now = w.now.Add(time.Millisecond)
				n.applied = max(n.applied, w.log-1)
				n.fresh.RecordLogRead(started)
			},
			"copy": func(*rapid.T) {
				from, to := w.nodes[pick("from")], w.nodes[pick("to")]
				to.applied = max(to.applied, from.applied)
			},
			"ping": func(*rapid.T) {
				from, to := pick("from"), pick("to")
				if from != to {
					w.pings = append(w.pings, &ping{from: from, to: to, sent: w.now})
				}
			},
			"answer": func(t *rapid.T) {
				if len(w.pings) > 0 {
					w.answer(w.pings[rapid.IntRange(0, len(w.pings)-1).Draw(t, "ping")])
				}
			},
			"receive": func(t *rapid.T) {
				if len(w.pings) == 0 {
					return
				}
				i := rapid.IntRange(0, len(w.pings)-1).Draw(t, "ping")
				p := w.pings[i]
				w.pings = append(w.pings[:i:i], w.pings[i+1:]...)
				for _, a := range p.answer {
					w.nodes[p.from].fresh.RecordReport(a)
				}
			},
			"restart": func(*rapid.T) {
				n := w.nodes[pick("daemon")]
				for i := 0; i < len(w.pings); i++ {
					if w.nodes[w.pings[i].from] == n {
						w.pings = append(w.pings[:i:i], w.pings[i+1:]...)
						i--
					}
				}
				w.restart(n)
			},
			"": func(t *rapid.T) {
				w.now = w.now.Add(time.Millisecond)
				w.note()
				for _, n := range w.nodes {
					w.evaluate(n)
					known, source := n.fresh.AsOf()
					for offset, at := range w.accepted {
						if known.After(at) && n.applied < offset {
							t.Fatalf("%s knows all until %v by %s but lacks %d, accepted at %v", n.id, known, source, offset, at)
						}
					}
				}
			},
		})
	})
}

func TestFreshnessSources(t *testing.T) {
	w := newWorld(3)
	n := w.nodes[0]
	at := func(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }
	attest := func(id string, sent int, applied int64, age time.Duration) {
		n.fresh.RecordReport(configsync.PeerReport{Member: id, SentAt: at(sent), Applied: applied, Ready: true, Age: age})
		w.now = at(sent + 10)
		w.evaluate(n)
	}
	requireKnown := func(ms int, source configsync.Source) {
		t.Helper()
		known, by := n.fresh.AsOf()
		require.Equal(t, source, by)
		require.Equal(t, at(ms), known)
	}
	attest("d1", 100, -1, time.Hour)
	require.False(t, n.fresh.Ready(), "the peer knows nothing of the time since the start")
	attest("d1", 200, -1, 50*time.Millisecond)
	requireKnown(200, configsync.SourceMajority)
	attest("d1", 300, -1, time.Hour)
	requireKnown(300, configsync.SourceMajority)
	attest("d2", 400, 5, 0)
	requireKnown(300, configsync.SourceMajority)
	n.applied = 5
	w.evaluate(n)
	requireKnown(400, configsync.SourcePeer)
	n.fresh.RecordLogRead(at(450))
	requireKnown(450, configsync.SourceLog)
	attest("stranger", 500, 5, 0)
	requireKnown(450, configsync.SourceLog)
}

func TestAgeTakesTheLargerClock(t *testing.T) {
	now := time.Now()
	require.GreaterOrEqual(t, configsync.Age(now.Add(-time.Second), now), time.Second)
	// A time without the monotonic reading stands for a clock that stood still.
	require.Equal(t, time.Hour, configsync.Age(now.Round(0).Add(-time.Hour), now.Round(0)))
}
