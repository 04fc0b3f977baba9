package claim

import (
	"encoding/binary"
	"fmt"
	"time"

	"pgregory.net/rapid"
)

const (
	testWindow  = 20 * time.Second
	testSkew    = 500 * time.Millisecond
	testClaimBy = 2 * time.Second
	testWaitBy  = 5 * time.Second
	maxAppends  = 8 // of one batch that a delayed network may show
)

var testStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// simDaemon is a Book with the calls that it waits for.
type simDaemon struct {
	book    *Table
	clock   time.Duration // off the true time
	appends []Batch
	reads   []int64
	finds   int
	started []AttemptID // told to run, not ended
	paused  bool
}

type simAsk struct {
	daemon  *simDaemon
	key     Hash
	content Hash
	ran     bool // the key had run when this was asked
}

// fleet is a log and daemons in virtual time.
type fleet struct {
	t       *rapid.T
	now     time.Time
	first   int64 // kept record
	log     []Batch
	landed  []time.Time // of log
	retains bool        // the log keeps records for as long as keys need it
	late    []Batch     // appends that the network still holds
	daemons []*simDaemon
	asks    map[AttemptID]simAsk
	runs    map[Hash]int
	outcome map[Hash]*Outcome
	keys    []Hash
	keyTime map[Hash]time.Time
	next    uint64
	counts  map[DecisionKind]int
	down    bool
}

func newFleet(t *rapid.T, daemons int) *fleet {
	f := &fleet{
		t: t, now: testStart, retains: rapid.Bool().Draw(t, "retains"), asks: map[AttemptID]simAsk{}, runs: map[Hash]int{},
		outcome: map[Hash]*Outcome{}, keyTime: map[Hash]time.Time{}, counts: map[DecisionKind]int{},
	}
	for i := range daemons {
		f.daemons = append(f.daemons, &simDaemon{})
		f.restart(i)
	}
	return f
}

func (f *fleet) restart(i int) {
	f.next++
	f.daemons[i] = &simDaemon{
		book: NewTable(Options{
			Daemon: fmt.Sprint("d", i), Incarnation: f.next, Window: testWindow, MaxClockSkew: testSkew, MaxOpenRequests: 50, MaxBatchRecords: 3,
		}),
		clock: time.Duration(rapid.IntRange(-200, 200).Draw(f.t, "clock")) * time.Millisecond,
	}
}

func (f *fleet) step(d *simDaemon, e Event) {
	for _, a := range d.book.Step(f.now.Add(d.clock), e) {
		switch a := a.(type) {
		case AppendBatch:
			d.appends = append(d.appends, a.Batch)
		case ReadLog:
			d.reads = append(d.reads, a.Offset)
		case FindStart:
			d.finds++
		case Respond:
			f.settled(d, a.Decision)
		}
	}
}

func (f *fleet) settled(d *simDaemon, v Decision) {
	ask, ok := f.asks[v.Attempt]
	if !ok {
		f.t.Fatalf("an ask was settled twice or never made: %+v", v)
	}
	f.counts[v.Kind]++
	switch v.Kind {
	case Run:
		d.started = append(d.started, v.Attempt)
		return
	case Unclaimed:
		if ask.ran {
			f.t.Fatalf("told that nothing ran of a key that ran")
		}
	case Replay:
		if f.outcome[ask.key] == nil || string(v.Outcome.Body) != string(f.outcome[ask.key].Body) {
			f.t.Fatalf("replayed another outcome than that of the run")
		}
	}
	delete(f.asks, v.Attempt)
}

func (f *fleet) id() (h [16]byte) {
	f.next++
	binary.BigEndian.PutUint64(h[8:], f.next)
	return h
}

func (f *fleet) draw(label string, limit int) int { return rapid.IntRange(0, limit).Draw(f.t, label) }

// ask sends a request with a new or an earlier key to a daemon.
func (f *fleet) ask(d *simDaemon) {
	key := Hash(f.id())
	fresh := len(f.keys) == 0 || f.draw("fresh", 2) == 0
	if fresh {
		f.keys = append(f.keys, key)
		f.keyTime[key] = f.now.Add(time.Duration(rapid.IntRange(-200, 200).Draw(f.t, "key clock")) * time.Millisecond)
	} else {
		key = f.keys[f.draw("key", len(f.keys)-1)]
	}
	content := Hash(key)
	if f.draw("other content", 20) == 0 {
		content[0]++
	}
	attempt := AttemptID(f.id())
	f.asks[attempt] = simAsk{daemon: d, key: key, content: content, ran: f.runs[key] > 0}
	now := f.now.Add(d.clock)
	f.step(d, RequestReceived{Request{
		Attempt: attempt, Key: key, Content: content, KeyCreatedAt: f.keyTime[key],
		ClaimDeadline: now.Add(testClaimBy), WaitDeadline: now.Add(testWaitBy),
	}})
}

// end ends a run of the daemon. The server counts a run unless it could not be reached.
func (f *fleet) end(d *simDaemon) {
	if len(d.started) == 0 {
		return
	}
	attempt := d.started[0]
	d.started = d.started[1:]
	ask := f.asks[attempt]
	delete(f.asks, attempt)
	how := f.draw("end", 3)
	if how == 0 {
		f.step(d, RunEnded{Attempt: attempt})
		return
	}
	f.runs[ask.key]++
	if f.runs[ask.key] > 1 {
		f.t.Fatalf("a key ran twice")
	}
	outcome := &Outcome{}
	if how > 1 {
		outcome = &Outcome{Status: 201, Body: append([]byte(nil), attempt[:]...)}
		f.outcome[ask.key] = outcome
	}
	f.step(d, RunEnded{Attempt: attempt, Outcome: outcome})
}

func (f *fleet) appendCall(d *simDaemon) {
	if len(d.appends) == 0 {
		return
	}
	batch := d.appends[0]
	d.appends = d.appends[1:]
	fate := f.draw("append", 9)
	if f.down {
		fate = 3
	}
	if !f.retains && f.now.Add(d.clock).Sub(batch.CreatedAt) > testSkew {
		fate = 0 // a log that forgets early is tested without late appends
	}
	switch {
	case fate == 0: // lost on the way, or arriving later
		f.delay(batch)
		f.step(d, AppendFailed{})
	case fate == 1: // the answer is lost
		f.land(batch)
		f.step(d, AppendFailed{})
	case fate == 2: // repeated by the network
		f.land(batch)
		f.delay(batch)
		f.step(d, Appended{f.first + int64(len(f.log)) - 1})
	case fate == 3:
		f.step(d, AppendFailed{NotAppended: true})
	default:
		f.land(batch)
		f.step(d, Appended{f.first + int64(len(f.log)) - 1})
	}
}

func (f *fleet) readCall(d *simDaemon) {
	fails := f.down || f.draw("read", 9) == 0
	if d.finds > 0 {
		d.finds--
		if fails {
			f.step(d, ReadFailed{})
			return
		}
		f.step(d, f.position(d))
		return
	}
	if len(d.reads) == 0 {
		return
	}
	from := d.reads[0]
	d.reads = d.reads[1:]
	if fails {
		f.step(d, ReadFailed{})
		return
	}
	if from < f.first {
		f.step(d, OffsetExpired{})
		return
	}
	rest := f.log[from-f.first:]
	n := min(len(rest), f.draw("limit", 4)+1)
	f.step(d, ReadCompleted{Batches: append([]Batch(nil), rest[:n]...), AtEnd: n == len(rest)})
}

func (f *fleet) land(b Batch) {
	f.log = append(f.log, b)
	f.landed = append(f.landed, f.now)
}

// delay keeps an append in the network. A log that forgets early is tested without.
func (f *fleet) delay(b Batch) {
	if f.retains && len(f.late) < maxAppends && f.draw("late", 1) == 0 {
		f.late = append(f.late, b)
	}
}

// position tells a daemon where to begin, as the shell finds it.
func (f *fleet) position(d *simDaemon) StartFound {
	p := StartFound{Offset: f.first}
	cutoff := f.now.Add(d.clock - testWindow - 6*testSkew)
	if len(f.log) > 0 && f.log[0].CreatedAt.Before(cutoff) {
		p.CompleteSince = cutoff
	}
	return p
}

// cut forgets the oldest records of the log.
func (f *fleet) cut() {
	n := f.draw("cut", len(f.log))
	kept := f.now.Add(-testWindow - 4*testSkew)
	for f.retains && n > 0 && !f.landed[n-1].Before(kept) {
		n--
	}
	f.log, f.landed = f.log[n:], f.landed[n:]
	f.first += int64(n)
}

// random takes one step of the daemons, the log or the network.
func (f *fleet) random() {
	i := f.draw("daemon", len(f.daemons)-1)
	d := f.daemons[i]
	what := f.draw("step", 39)
	if d.paused && what < 30 {
		what = 32
	}
	switch {
	case what < 5:
		f.ask(d)
	case what < 12:
		f.appendCall(d)
	case what < 20:
		f.readCall(d)
	case what < 24:
		f.end(d)
	case what < 28:
		f.step(d, Tick{})
	case what == 28:
		f.restart(i)
	case what == 29:
		d.paused = true
	case what < 32:
		d.paused = false
	case what < 36:
		f.now = f.now.Add(time.Duration(f.draw("ms", 300)) * time.Millisecond)
	case what == 36:
		f.now = f.now.Add(time.Duration(f.draw("s", 6)) * time.Second)
	case what == 37 && len(f.late) > 0:
		f.land(f.late[0])
		f.late = f.late[1:]
	case what == 38:
		f.down = f.draw("down", 9) == 0
	case what == 39 && f.draw("forget", 2) == 0:
		f.cut()
	}
}
