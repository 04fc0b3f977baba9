package claim

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestAtMostOneRun(t *testing.T) {
	total := map[DecisionKind]int{}
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(t, rapid.IntRange(1, 3).Draw(t, "daemons"))
		for range rapid.IntRange(50, 400).Draw(t, "steps") {
			f.random()
		}
		for answer, n := range f.counts {
			total[answer] += n
		}
		f.heal()
	})
	t.Log("answers:", total)
	for answer := Run; answer <= KeyExpired; answer++ {
		require.Positive(t, total[answer], "no seed led to answer %d", answer)
	}
}

// heal ends all faults. Every open ask has to be settled, and a new key to run.
func (f *fleet) heal() {
	f.down = false
	for _, d := range f.daemons {
		d.paused = false
	}
	f.drain(testWaitBy + 2*time.Second)
	f.asks = map[AttemptID]simAsk{}
	before := f.counts[Run]
	for _, d := range f.daemons {
		key := Hash(f.id())
		attempt := AttemptID(f.id())
		f.asks[attempt] = simAsk{daemon: d, key: key}
		now := f.now.Add(d.clock)
		f.step(d, RequestReceived{Request{
			Attempt: attempt, Key: key, KeyCreatedAt: f.now.Add(2 * testWindow), ClaimDeadline: now.Add(time.Hour), WaitDeadline: now.Add(time.Hour),
		}})
	}
	f.drain(5 * time.Second)
	if ran := f.counts[Run] - before; ran != len(f.daemons) {
		f.t.Fatalf("%d of %d new keys ran after the faults", ran, len(f.daemons))
	}
}

// drain lets time pass without faults.
func (f *fleet) drain(d time.Duration) {
	for until := f.now.Add(d); f.now.Before(until); f.now = f.now.Add(20 * time.Millisecond) {
		for _, d := range f.daemons {
			f.step(d, Tick{})
			f.settleCalls(d)
		}
	}
}

func (f *fleet) settleCalls(d *simDaemon) {
	for len(d.appends) > 0 {
		batch := d.appends[0]
		d.appends = d.appends[1:]
		f.land(batch)
		f.step(d, Appended{f.first + int64(len(f.log)) - 1})
	}
	for d.finds > 0 {
		d.finds--
		f.step(d, f.position(d))
	}
	for len(d.reads) > 0 {
		from := d.reads[0]
		d.reads = d.reads[1:]
		if from < f.first {
			f.step(d, OffsetExpired{})
			continue
		}
		f.step(d, ReadCompleted{Batches: append([]Batch(nil), f.log[from-f.first:]...), AtEnd: true})
	}
}

func testAsk(n byte, now time.Time) Request {
	return Request{
		Attempt: AttemptID{n}, Key: Hash{1}, Content: Hash{2}, KeyCreatedAt: now,
		ClaimDeadline: now.Add(testClaimBy), WaitDeadline: now.Add(testWaitBy),
	}
}

func settledIn(actions []Action) []Decision {
	var out []Decision
	for _, a := range actions {
		if s, ok := a.(Respond); ok {
			out = append(out, s.Decision)
		}
	}
	return out
}

// bookAt returns a book that has read an empty log.
func bookAt(now time.Time) *Table {
	b := NewTable(Options{Daemon: "d1", Incarnation: 1})
	b.Step(now, Tick{})
	b.Step(now, StartFound{})
	b.Step(now, ReadCompleted{AtEnd: true})
	return b
}

func TestAppendWithoutAnswerIsReadBack(t *testing.T) {
	now := testStart
	b := bookAt(now)
	actions := b.Step(now, RequestReceived{testAsk(1, now)})
	sent := actions[0].(AppendBatch).Batch

	actions = b.Step(now, AppendFailed{})
	require.Equal(t, []Action{ReadLog{0}}, actions, "no second append before the log is read")
	actions = b.Step(now, ReadCompleted{Batches: []Batch{sent}, AtEnd: true})
	require.Equal(t, []Decision{{Attempt: AttemptID{1}, Kind: Run}}, settledIn(actions))
	require.Zero(t, b.Unwritten())
}

func TestClaimOfAnotherDaemonComesFirst(t *testing.T) {
	now := testStart
	b := bookAt(now)
	b.Step(now, RequestReceived{testAsk(1, now)})
	other := Batch{Daemon: "d2", CreatedAt: now, Records: []Record{{Kind: KindClaim, Key: Hash{1}, Content: Hash{2}, Attempt: AttemptID{9}}}}
	require.Empty(t, settledIn(b.Step(now, Appended{1})))
	own := Batch{Daemon: "d1", Incarnation: 1, CreatedAt: now, Records: []Record{{Kind: KindClaim, Key: Hash{1}, Content: Hash{2}, Attempt: AttemptID{1}}}}
	require.Empty(t, settledIn(b.Step(now, ReadCompleted{Batches: []Batch{other, own}, AtEnd: true})))

	now = now.Add(DefaultBusyPollInterval)
	require.Equal(t, []Action{ReadLog{2}}, b.Step(now, Tick{}))
	ended := Batch{Daemon: "d2", CreatedAt: now, Records: []Record{{Kind: KindOutcome, Key: Hash{1}, Attempt: AttemptID{9}, Outcome: &Outcome{Status: 201}}}}
	got := settledIn(b.Step(now, ReadCompleted{Batches: []Batch{ended}, AtEnd: true}))
	require.Len(t, got, 1)
	require.Equal(t, Replay, got[0].Kind)
}

func TestOtherContentUnderTheSameKey(t *testing.T) {
	now := testStart
	b := bookAt(now)
	b.Step(now, RequestReceived{testAsk(1, now)})
	b.Step(now, Appended{0})
	other := testAsk(2, now)
	other.Content = Hash{3}
	got := settledIn(b.Step(now, RequestReceived{other}))
	require.Equal(t, []Decision{{Attempt: AttemptID{2}, Kind: KeyReused}}, got)
}

func TestKeyOlderThanTheLog(t *testing.T) {
	now := testStart
	b := NewTable(Options{Daemon: "d1", Incarnation: 1})
	b.Step(now, Tick{})
	b.Step(now, StartFound{Offset: 7})
	b.Step(now, ReadCompleted{Batches: []Batch{{Daemon: "d2", CreatedAt: now}}, AtEnd: true})
	got := settledIn(b.Step(now, RequestReceived{testAsk(1, now)}))
	require.Equal(t, []Decision{{Attempt: AttemptID{1}, Kind: KeyExpired}}, got, "a claim may be among the forgotten records")

	later := now.Add(3 * DefaultMaxClockSkew)
	require.Empty(t, settledIn(b.Step(later, RequestReceived{testAsk(2, later)})))
}

func TestOpenAsksAreBounded(t *testing.T) {
	now := testStart
	b := NewTable(Options{Daemon: "d1", Incarnation: 1, MaxOpenRequests: 2})
	b.Step(now, Tick{})
	b.Step(now, StartFound{})
	b.Step(now, ReadCompleted{AtEnd: true})
	b.Step(now, RequestReceived{testAsk(1, now)})
	b.Step(now, Appended{0})
	require.Empty(t, settledIn(b.Step(now, RequestReceived{testAsk(2, now)})), "it waits for the holder")
	got := settledIn(b.Step(now, RequestReceived{testAsk(3, now)}))
	require.Equal(t, []Decision{{Attempt: AttemptID{3}, Kind: OutcomeUnknown}}, got)
	other := testAsk(4, now)
	other.Key = Hash{9}
	got = settledIn(b.Step(now, RequestReceived{other}))
	require.Equal(t, []Decision{{Attempt: AttemptID{4}, Kind: Unavailable}}, got)
	asks, _ := b.Size()
	require.Equal(t, 2, asks)
}

func TestBodiesAreBounded(t *testing.T) {
	now := testStart
	b := NewTable(Options{Daemon: "d1", MaxBodyBytes: 100})
	b.Step(now, Tick{})
	b.Step(now, StartFound{})
	var batches []Batch
	for n := range byte(3) {
		key, attempt := Hash{n}, AttemptID{n}
		batches = append(batches, Batch{Daemon: "d2", CreatedAt: now, Records: []Record{
			{Kind: KindClaim, Key: key, Attempt: attempt},
			{Kind: KindOutcome, Key: key, Attempt: attempt, Outcome: &Outcome{Status: 200, Body: make([]byte, 40)}},
		}})
	}
	b.Step(now, ReadCompleted{Batches: batches, AtEnd: true})
	require.EqualValues(t, 80, b.index.bodyBytes)
	ask := testAsk(9, now)
	ask.Key, ask.Content = Hash{0}, Hash{}
	got := settledIn(b.Step(now, RequestReceived{ask}))
	require.Equal(t, OutcomeUnknown, got[0].Kind)
	require.Equal(t, 200, got[0].Outcome.Status)

	b.Step(now.Add(time.Hour), Tick{})
	_, keys := b.Size()
	require.Zero(t, keys)
	require.Zero(t, b.index.bodyBytes)
}
