package claim

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestAtMostOneRun(t *testing.T) {
	total := map[Answer]int{}
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
	for answer := Run; answer <= Forgotten; answer++ {
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
	f.asks = map[Attempt]simAsk{}
	before := f.counts[Run]
	for _, d := range f.daemons {
		key := Hash(f.id())
		attempt := Attempt(f.id())
		f.asks[attempt] = simAsk{daemon: d, key: key}
		now := f.now.Add(d.clock)
		f.step(d, Asked{Ask{
			Attempt: attempt, Key: key, KeyTime: f.now.Add(2 * testWindow), ClaimBy: now.Add(time.Hour), WaitBy: now.Add(time.Hour),
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
			f.step(d, Forgot{})
			continue
		}
		f.step(d, Read{Batches: append([]Batch(nil), f.log[from-f.first:]...), AtEnd: true})
	}
}

func testAsk(n byte, now time.Time) Ask {
	return Ask{
		Attempt: Attempt{n}, Key: Hash{1}, Content: Hash{2}, KeyTime: now,
		ClaimBy: now.Add(testClaimBy), WaitBy: now.Add(testWaitBy),
	}
}

func settledIn(actions []Action) []Verdict {
	var out []Verdict
	for _, a := range actions {
		if s, ok := a.(Settle); ok {
			out = append(out, s.Verdict)
		}
	}
	return out
}

// bookAt returns a book that has read an empty log.
func bookAt(now time.Time) *Book {
	b := NewBook(Options{Daemon: "d1", Incarnation: 1})
	b.Step(now, Tick{})
	b.Step(now, Positioned{})
	b.Step(now, Read{AtEnd: true})
	return b
}

func TestAppendWithoutAnswerIsReadBack(t *testing.T) {
	now := testStart
	b := bookAt(now)
	actions := b.Step(now, Asked{testAsk(1, now)})
	sent := actions[0].(AppendBatch).Batch

	actions = b.Step(now, AppendFailed{})
	require.Equal(t, []Action{ReadLog{0}}, actions, "no second append before the log is read")
	actions = b.Step(now, Read{Batches: []Batch{sent}, AtEnd: true})
	require.Equal(t, []Verdict{{Attempt: Attempt{1}, Answer: Run}}, settledIn(actions))
	require.Zero(t, b.Unwritten())
}

func TestClaimOfAnotherDaemonComesFirst(t *testing.T) {
	now := testStart
	b := bookAt(now)
	b.Step(now, Asked{testAsk(1, now)})
	other := Batch{Daemon: "d2", At: now, Records: []Record{{Kind: KindClaim, Key: Hash{1}, Content: Hash{2}, Attempt: Attempt{9}}}}
	require.Empty(t, settledIn(b.Step(now, Appended{1})))
	own := Batch{Daemon: "d1", Incarnation: 1, At: now, Records: []Record{{Kind: KindClaim, Key: Hash{1}, Content: Hash{2}, Attempt: Attempt{1}}}}
	require.Empty(t, settledIn(b.Step(now, Read{Batches: []Batch{other, own}, AtEnd: true})))

	now = now.Add(DefaultPollBusy)
	require.Equal(t, []Action{ReadLog{2}}, b.Step(now, Tick{}))
	ended := Batch{Daemon: "d2", At: now, Records: []Record{{Kind: KindOutcome, Key: Hash{1}, Attempt: Attempt{9}, Outcome: &Outcome{Status: 201}}}}
	got := settledIn(b.Step(now, Read{Batches: []Batch{ended}, AtEnd: true}))
	require.Len(t, got, 1)
	require.Equal(t, Replay, got[0].Answer)
}

func TestOtherContentUnderTheSameKey(t *testing.T) {
	now := testStart
	b := bookAt(now)
	b.Step(now, Asked{testAsk(1, now)})
	b.Step(now, Appended{0})
	other := testAsk(2, now)
	other.Content = Hash{3}
	got := settledIn(b.Step(now, Asked{other}))
	require.Equal(t, []Verdict{{Attempt: Attempt{2}, Answer: Reused}}, got)
}

func TestKeyOlderThanTheLog(t *testing.T) {
	now := testStart
	b := NewBook(Options{Daemon: "d1", Incarnation: 1})
	b.Step(now, Tick{})
	b.Step(now, Positioned{First: 7})
	b.Step(now, Read{Batches: []Batch{{Daemon: "d2", At: now}}, AtEnd: true})
	got := settledIn(b.Step(now, Asked{testAsk(1, now)}))
	require.Equal(t, []Verdict{{Attempt: Attempt{1}, Answer: Forgotten}}, got, "a claim may be among the forgotten records")

	later := now.Add(3 * DefaultSkew)
	require.Empty(t, settledIn(b.Step(later, Asked{testAsk(2, later)})))
}

func TestOpenAsksAreBounded(t *testing.T) {
	now := testStart
	b := NewBook(Options{Daemon: "d1", Incarnation: 1, MaxAsks: 2})
	b.Step(now, Tick{})
	b.Step(now, Positioned{})
	b.Step(now, Read{AtEnd: true})
	b.Step(now, Asked{testAsk(1, now)})
	b.Step(now, Appended{0})
	require.Empty(t, settledIn(b.Step(now, Asked{testAsk(2, now)})), "it waits for the holder")
	got := settledIn(b.Step(now, Asked{testAsk(3, now)}))
	require.Equal(t, []Verdict{{Attempt: Attempt{3}, Answer: Unknown}}, got)
	other := testAsk(4, now)
	other.Key = Hash{9}
	got = settledIn(b.Step(now, Asked{other}))
	require.Equal(t, []Verdict{{Attempt: Attempt{4}, Answer: Unavailable}}, got)
	asks, _ := b.Size()
	require.Equal(t, 2, asks)
}

func TestBodiesAreBounded(t *testing.T) {
	now := testStart
	b := NewBook(Options{Daemon: "d1", MaxBodies: 100})
	b.Step(now, Tick{})
	b.Step(now, Positioned{})
	var batches []Batch
	for n := range byte(3) {
		key, attempt := Hash{n}, Attempt{n}
		batches = append(batches, Batch{Daemon: "d2", At: now, Records: []Record{
			{Kind: KindClaim, Key: key, Attempt: attempt},
			{Kind: KindOutcome, Key: key, Attempt: attempt, Outcome: &Outcome{Status: 200, Body: make([]byte, 40)}},
		}})
	}
	b.Step(now, Read{Batches: batches, AtEnd: true})
	require.EqualValues(t, 80, b.index.bodies)
	ask := testAsk(9, now)
	ask.Key, ask.Content = Hash{0}, Hash{}
	got := settledIn(b.Step(now, Asked{ask}))
	require.Equal(t, Unknown, got[0].Answer)
	require.Equal(t, 200, got[0].Outcome.Status)

	b.Step(now.Add(time.Hour), Tick{})
	_, keys := b.Size()
	require.Zero(t, keys)
	require.Zero(t, b.index.bodies)
}
