package claim

import (
	"encoding/binary"
	"fmt"
	"time"

	"pgregory.net/rapid"
)

const (
	testWindow        = 20 * time.Second
	testSkew          = 500 * time.Millisecond
	testClaimTimeout  = 2 * time.Second
	testWaitTimeout   = 5 * time.Second
	maxDelayedAppends = 8 // appends that the network delays at the same time
)

var testStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// simDaemon is a Table and its calls in flight.
type simDaemon struct {
	table       *Table
	clockOffset time.Duration // offset from the simulated time
	appends     []Batch
	reads       []int64
	finds       int
	running     []AttemptID // allowed to run and not ended
	paused      bool
}

type simRequest struct {
	daemon    *simDaemon
	key       Hash
	content   Hash
	ranBefore bool // the key had run before this request arrived
}

// simulation runs a log and daemons in virtual time.
type simulation struct {
	t              *rapid.T
	now            time.Time
	firstOffset    int64 // offset of log[0]
	log            []Batch
	appendedAt     []time.Time // time of each append to log
	retainsRecords bool        // the log retains records for the deduplication window
	delayedAppends []Batch     // appends that the network has not delivered yet
	daemons        []*simDaemon
	requests       map[AttemptID]simRequest
	runs           map[Hash]int
	outcomes       map[Hash]*Outcome
	keys           []Hash
	keyCreatedAt   map[Hash]time.Time
	nextID         uint64
	decisionCounts map[DecisionKind]int
	logDown        bool
	unreadable     bool // daemons can't decode some batches, each one others
}

func newSimulation(t *rapid.T, daemons int) *simulation {
	s := &simulation{
		t: t, now: testStart, retainsRecords: rapid.Bool().Draw(t, "retains"), requests: map[AttemptID]simRequest{}, runs: map[Hash]int{},
		outcomes: map[Hash]*Outcome{}, keyCreatedAt: map[Hash]time.Time{}, decisionCounts: map[DecisionKind]int{},
	}
	for i := range daemons {
		s.daemons = append(s.daemons, &simDaemon{})
		s.restart(i)
	}
	return s
}

func (s *simulation) restart(i int) {
	s.nextID++
	s.daemons[i] = &simDaemon{
		table: NewTable(Options{
			Daemon: fmt.Sprint("d", i), Incarnation: s.nextID, Window: testWindow, MaxClockSkew: testSkew, MaxOpenRequests: 50, MaxBatchRecords: 3,
		}),
		clockOffset: time.Duration(rapid.IntRange(-200, 200).Draw(s.t, "clock")) * time.Millisecond,
	}
}

func (s *simulation) step(d *simDaemon, e Event) {
	for _, a := range d.table.Step(s.now.Add(d.clockOffset), e) {
		switch a := a.(type) {
		case AppendBatch:
			d.appends = append(d.appends, a.Batch)
		case ReadLog:
			d.reads = append(d.reads, a.Offset)
		case FindStart:
			d.finds++
		case Respond:
			s.handleDecision(d, a.Decision)
		}
	}
}

func (s *simulation) handleDecision(d *simDaemon, decision Decision) {
	req, ok := s.requests[decision.Attempt]
	if !ok {
		s.t.Fatalf("decision without an open request: %+v", decision)
	}
	s.decisionCounts[decision.Kind]++
	switch decision.Kind {
	case Run:
		d.running = append(d.running, decision.Attempt)
		return
	case Unclaimed:
		if req.ranBefore {
			s.t.Fatalf("decision is Unclaimed for a key that has run")
		}
	case Replay:
		if s.outcomes[req.key] == nil || string(decision.Outcome.Body) != string(s.outcomes[req.key].Body) {
			s.t.Fatalf("replayed outcome differs from the outcome of the run")
		}
	}
	delete(s.requests, decision.Attempt)
}

func (s *simulation) newID() (id [16]byte) {
	s.nextID++
	binary.BigEndian.PutUint64(id[8:], s.nextID)
	return id
}

func (s *simulation) draw(label string, n int) int { return rapid.IntRange(0, n).Draw(s.t, label) }

// sendRequest sends a request with a new or a used key to a daemon.
func (s *simulation) sendRequest(d *simDaemon) {
	key := Hash(s.newID())
	newKey := len(s.keys) == 0 || s.draw("new key", 2) == 0
	if newKey {
		s.keys = append(s.keys, key)
		s.keyCreatedAt[key] = s.now.Add(time.Duration(rapid.IntRange(-200, 200).Draw(s.t, "key clock")) * time.Millisecond)
	} else {
		key = s.keys[s.draw("key", len(s.keys)-1)]
	}
	content := Hash(key)
	if s.draw("other content", 20) == 0 {
		content[0]++
	}
	attempt := AttemptID(s.newID())
	s.requests[attempt] = simRequest{daemon: d, key: key, content: content, ranBefore: s.runs[key] > 0}
	now := s.now.Add(d.clockOffset)
	s.step(d, RequestReceived{Request{
		Attempt: attempt, Key: key, Content: content, KeyCreatedAt: s.keyCreatedAt[key],
		ClaimDeadline: now.Add(testClaimTimeout), WaitDeadline: now.Add(testWaitTimeout),
	}})
}

// endRun ends the oldest run of the daemon. It counts as a run unless the server was not reached.
func (s *simulation) endRun(d *simDaemon) {
	if len(d.running) == 0 {
		return
	}
	attempt := d.running[0]
	d.running = d.running[1:]
	req := s.requests[attempt]
	delete(s.requests, attempt)
	ending := s.draw("end", 3)
	if ending == 0 {
		s.step(d, RunEnded{Attempt: attempt})
		return
	}
	s.runs[req.key]++
	if s.runs[req.key] > 1 {
		s.t.Fatalf("a key ran twice")
	}
	outcome := &Outcome{}
	if ending > 1 {
		outcome = &Outcome{Status: 201, Body: append([]byte(nil), attempt[:]...)}
		s.outcomes[req.key] = outcome
	}
	s.step(d, RunEnded{Attempt: attempt, Outcome: outcome})
}

func (s *simulation) completeAppend(d *simDaemon) {
	if len(d.appends) == 0 {
		return
	}
	batch := d.appends[0]
	d.appends = d.appends[1:]
	result := s.draw("append", 9)
	if s.logDown {
		result = 3
	}
	if !s.retainsRecords && s.now.Add(d.clockOffset).Sub(batch.CreatedAt) > testSkew {
		result = 0 // a log with short retention is tested without late appends
	}
	switch {
	case result == 0: // lost, or delivered later
		s.delayAppend(batch)
		s.step(d, AppendFailed{})
	case result == 1: // the response is lost
		s.appendToLog(batch)
		s.step(d, AppendFailed{})
	case result == 2: // duplicated by the network
		s.appendToLog(batch)
		s.delayAppend(batch)
		s.step(d, Appended{s.firstOffset + int64(len(s.log)) - 1})
	case result == 3:
		s.step(d, AppendFailed{NotAppended: true})
	default:
		s.appendToLog(batch)
		s.step(d, Appended{s.firstOffset + int64(len(s.log)) - 1})
	}
}

func (s *simulation) completeRead(d *simDaemon) {
	fails := s.logDown || s.draw("read", 9) == 0
	if d.finds > 0 {
		d.finds--
		if fails {
			s.step(d, ReadFailed{})
			return
		}
		s.step(d, s.findStart(d))
		return
	}
	if len(d.reads) == 0 {
		return
	}
	offset := d.reads[0]
	d.reads = d.reads[1:]
	if fails {
		s.step(d, ReadFailed{})
		return
	}
	if offset < s.firstOffset {
		s.step(d, OffsetExpired{})
		return
	}
	rest := s.log[offset-s.firstOffset:]
	n := min(len(rest), s.draw("limit", 4)+1)
	batches := append([]Batch(nil), rest[:n]...)
	for i := range batches {
		if s.unreadable && s.draw("unreadable", 29) == 0 {
			batches[i] = s.unreadableBatch(batches[i])
		}
	}
	s.step(d, ReadCompleted{Batches: batches, AtEnd: n == len(rest)})
}

// unreadableBatch returns the result of decoding a batch that is invalid as a whole or in part.
func (s *simulation) unreadableBatch(b Batch) Batch {
	if s.draw("in part", 1) == 0 {
		return Batch{CreatedAt: b.CreatedAt, Unreadable: true}
	}
	return Batch{Unreadable: true}
}

func (s *simulation) appendToLog(b Batch) {
	s.log = append(s.log, b)
	s.appendedAt = append(s.appendedAt, s.now)
}

// delayAppend may hold an append in the network. A log with short retention is tested without
// delayed appends.
func (s *simulation) delayAppend(b Batch) {
	if s.retainsRecords && len(s.delayedAppends) < maxDelayedAppends && s.draw("delayed", 1) == 0 {
		s.delayedAppends = append(s.delayedAppends, b)
	}
}

// findStart returns the result of a FindStart of the daemon.
func (s *simulation) findStart(d *simDaemon) StartFound {
	start := StartFound{Offset: s.firstOffset}
	cutoff := s.now.Add(d.clockOffset - testWindow - 6*testSkew)
	if len(s.log) > 0 && s.log[0].CreatedAt.Before(cutoff) {
		start.CompleteSince = cutoff
	}
	return start
}

// expireRecords removes a random number of the oldest records of the log.
func (s *simulation) expireRecords() {
	n := s.draw("expired", len(s.log))
	retainedSince := s.now.Add(-testWindow - 4*testSkew)
	for s.retainsRecords && n > 0 && !s.appendedAt[n-1].Before(retainedSince) {
		n--
	}
	s.log, s.appendedAt = s.log[n:], s.appendedAt[n:]
	s.firstOffset += int64(n)
}

// randomStep performs a random step of a daemon, the log or the network.
func (s *simulation) randomStep() {
	i := s.draw("daemon", len(s.daemons)-1)
	d := s.daemons[i]
	action := s.draw("step", 39)
	if d.paused && action < 30 {
		action = 32
	}
	switch {
	case action < 5:
		s.sendRequest(d)
	case action < 12:
		s.completeAppend(d)
	case action < 20:
		s.completeRead(d)
	case action < 24:
		s.endRun(d)
	case action < 28:
		s.step(d, Tick{})
	case action == 28:
		s.restart(i)
	case action == 29:
		d.paused = true
	case action < 32:
		d.paused = false
	case action < 36:
		s.now = s.now.Add(time.Duration(s.draw("ms", 300)) * time.Millisecond)
	case action == 36:
		s.now = s.now.Add(time.Duration(s.draw("s", 6)) * time.Second)
	case action == 37 && len(s.delayedAppends) > 0:
		s.appendToLog(s.delayedAppends[0])
		s.delayedAppends = s.delayedAppends[1:]
	case action == 38:
		s.logDown = s.draw("down", 9) == 0
	case action == 39 && s.draw("expire", 2) == 0:
		s.expireRecords()
	}
}
