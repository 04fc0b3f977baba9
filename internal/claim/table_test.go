package claim

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestAtMostOneRun(t *testing.T) { testAtMostOneRun(t, false) }

// Guards against a second run at a daemon that can't read the batch with the claim of the first one.
func TestAtMostOneRunBehindUnreadableBatches(t *testing.T) { testAtMostOneRun(t, true) }

func testAtMostOneRun(t *testing.T, unreadable bool) {
	total := map[DecisionKind]int{}
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t, rapid.IntRange(1, 3).Draw(t, "daemons"))
		s.unreadable = unreadable
		for range rapid.IntRange(50, 400).Draw(t, "steps") {
			s.randomStep()
		}
		for kind, n := range s.decisionCounts {
			total[kind] += n
		}
		s.checkRecovery()
	})
	t.Log("decisions:", total)
	for kind := Run; kind <= KeyExpired; kind++ {
		require.Positive(t, total[kind], "no seed led to decision %d", kind)
	}
}

// checkRecovery ends all faults and requires that a request with a new key then runs at each
// daemon.
func (s *simulation) checkRecovery() {
	s.logDown = false
	for _, d := range s.daemons {
		d.paused = false
	}
	s.runFor(testWaitTimeout + 2*time.Second)
	s.requests = map[AttemptID]simRequest{}
	before := s.decisionCounts[Run]
	for _, d := range s.daemons {
		key := Hash(s.newID())
		attempt := AttemptID(s.newID())
		s.requests[attempt] = simRequest{daemon: d, key: key}
		now := s.now.Add(d.clockOffset)
		s.step(d, RequestReceived{Request{
			Attempt: attempt, Key: key, KeyCreatedAt: s.now.Add(2 * testWindow), ClaimDeadline: now.Add(time.Hour), WaitDeadline: now.Add(time.Hour),
		}})
	}
	s.runFor(5 * time.Second)
	if ran := s.decisionCounts[Run] - before; ran != len(s.daemons) {
		s.t.Fatalf("%d of %d new keys ran after the faults", ran, len(s.daemons))
	}
}

// runFor advances the simulation without faults.
func (s *simulation) runFor(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); s.now = s.now.Add(20 * time.Millisecond) {
		for _, d := range s.daemons {
			s.step(d, Tick{})
			s.completeCalls(d)
		}
	}
}

func (s *simulation) completeCalls(d *simDaemon) {
	for len(d.appends) > 0 {
		batch := d.appends[0]
		d.appends = d.appends[1:]
		s.appendToLog(batch)
		s.step(d, Appended{s.firstOffset + int64(len(s.log)) - 1})
	}
	for d.finds > 0 {
		d.finds--
		s.step(d, s.findStart(d))
	}
	for len(d.reads) > 0 {
		offset := d.reads[0]
		d.reads = d.reads[1:]
		if offset < s.firstOffset {
			s.step(d, OffsetExpired{})
			continue
		}
		s.step(d, ReadCompleted{Batches: append([]Batch(nil), s.log[offset-s.firstOffset:]...), AtEnd: true})
	}
}

func newTestRequest(n byte, now time.Time) Request {
	return Request{
		Attempt: AttemptID{n}, Key: Hash{1}, Content: Hash{2}, KeyCreatedAt: now,
		ClaimDeadline: now.Add(testClaimTimeout), WaitDeadline: now.Add(testWaitTimeout),
	}
}

func decisionsIn(actions []Action) []Decision {
	var out []Decision
	for _, a := range actions {
		if s, ok := a.(Respond); ok {
			out = append(out, s.Decision)
		}
	}
	return out
}

// newTestTable returns a table that has read an empty log.
func newTestTable(now time.Time) *Table {
	table := NewTable(Options{Daemon: "d1", Incarnation: 1})
	table.Step(now, Tick{})
	table.Step(now, StartFound{})
	table.Step(now, ReadCompleted{AtEnd: true})
	return table
}

func TestUnansweredAppendIsVerifiedByRead(t *testing.T) {
	now := testStart
	table := newTestTable(now)
	actions := table.Step(now, RequestReceived{newTestRequest(1, now)})
	sent := actions[0].(AppendBatch).Batch

	actions = table.Step(now, AppendFailed{})
	require.Equal(t, []Action{ReadLog{0}}, actions, "no second append before the log is read")
	actions = table.Step(now, ReadCompleted{Batches: []Batch{sent}, AtEnd: true})
	require.Equal(t, []Decision{{Attempt: AttemptID{1}, Kind: Run}}, decisionsIn(actions))
	require.Zero(t, table.Unwritten())
}

func TestEarlierClaimOfAnotherDaemonWins(t *testing.T) {
	now := testStart
	table := newTestTable(now)
	table.Step(now, RequestReceived{newTestRequest(1, now)})
	other := Batch{Daemon: "d2", CreatedAt: now, Records: []Record{{Kind: KindClaim, Key: Hash{1}, Content: Hash{2}, Attempt: AttemptID{9}}}}
	require.Empty(t, decisionsIn(table.Step(now, Appended{1})))
	own := Batch{Daemon: "d1", Incarnation: 1, CreatedAt: now, Records: []Record{{Kind: KindClaim, Key: Hash{1}, Content: Hash{2}, Attempt: AttemptID{1}}}}
	require.Empty(t, decisionsIn(table.Step(now, ReadCompleted{Batches: []Batch{other, own}, AtEnd: true})))

	now = now.Add(DefaultBusyPollInterval)
	require.Equal(t, []Action{ReadLog{2}}, table.Step(now, Tick{}))
	ended := Batch{Daemon: "d2", CreatedAt: now, Records: []Record{{Kind: KindOutcome, Key: Hash{1}, Attempt: AttemptID{9}, Outcome: &Outcome{Status: 201}}}}
	got := decisionsIn(table.Step(now, ReadCompleted{Batches: []Batch{ended}, AtEnd: true}))
	require.Len(t, got, 1)
	require.Equal(t, Replay, got[0].Kind)
}

func TestKeyReusedWithOtherContent(t *testing.T) {
	now := testStart
	table := newTestTable(now)
	table.Step(now, RequestReceived{newTestRequest(1, now)})
	table.Step(now, Appended{0})
	other := newTestRequest(2, now)
	other.Content = Hash{3}
	got := decisionsIn(table.Step(now, RequestReceived{other}))
	require.Equal(t, []Decision{{Attempt: AttemptID{2}, Kind: KeyReused}}, got)
}

func TestKeyOlderThanLog(t *testing.T) {
	now := testStart
	table := NewTable(Options{Daemon: "d1", Incarnation: 1})
	table.Step(now, Tick{})
	table.Step(now, StartFound{Offset: 7})
	table.Step(now, ReadCompleted{Batches: []Batch{{Daemon: "d2", CreatedAt: now}}, AtEnd: true})
	got := decisionsIn(table.Step(now, RequestReceived{newTestRequest(1, now)}))
	require.Equal(t, []Decision{{Attempt: AttemptID{1}, Kind: KeyExpired}}, got, "the expired records may contain a claim")

	later := now.Add(3 * DefaultMaxClockSkew)
	require.Empty(t, decisionsIn(table.Step(later, RequestReceived{newTestRequest(2, later)})))
}

func TestOpenRequestsAreBounded(t *testing.T) {
	now := testStart
	table := NewTable(Options{Daemon: "d1", Incarnation: 1, MaxOpenRequests: 2})
	table.Step(now, Tick{})
	table.Step(now, StartFound{})
	table.Step(now, ReadCompleted{AtEnd: true})
	table.Step(now, RequestReceived{newTestRequest(1, now)})
	table.Step(now, Appended{0})
	require.Empty(t, decisionsIn(table.Step(now, RequestReceived{newTestRequest(2, now)})), "the request waits for the holder of the key")
	got := decisionsIn(table.Step(now, RequestReceived{newTestRequest(3, now)}))
	require.Equal(t, []Decision{{Attempt: AttemptID{3}, Kind: OutcomeUnknown}}, got)
	other := newTestRequest(4, now)
	other.Key = Hash{9}
	got = decisionsIn(table.Step(now, RequestReceived{other}))
	require.Equal(t, []Decision{{Attempt: AttemptID{4}, Kind: Unavailable}}, got)
	requests, _ := table.Size()
	require.Equal(t, 2, requests)
}

func TestBodyBytesAreBounded(t *testing.T) {
	now := testStart
	table := NewTable(Options{Daemon: "d1", MaxBodyBytes: 100})
	table.Step(now, Tick{})
	table.Step(now, StartFound{})
	var batches []Batch
	for n := range byte(3) {
		key, attempt := Hash{n}, AttemptID{n}
		batches = append(batches, Batch{Daemon: "d2", CreatedAt: now, Records: []Record{
			{Kind: KindClaim, Key: key, Attempt: attempt},
			{Kind: KindOutcome, Key: key, Attempt: attempt, Outcome: &Outcome{Status: 200, Body: make([]byte, 40)}},
		}})
	}
	table.Step(now, ReadCompleted{Batches: batches, AtEnd: true})
	require.EqualValues(t, 80, table.index.bodyBytes)
	req := newTestRequest(9, now)
	req.Key, req.Content = Hash{0}, Hash{}
	got := decisionsIn(table.Step(now, RequestReceived{req}))
	require.Equal(t, OutcomeUnknown, got[0].Kind)
	require.Equal(t, 200, got[0].Outcome.Status)

	table.Step(now.Add(time.Hour), Tick{})
	_, keys := table.Size()
	require.Zero(t, keys)
	require.Zero(t, table.index.bodyBytes)
}
