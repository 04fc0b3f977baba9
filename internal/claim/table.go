package claim

import (
	"slices"
	"time"
)

// Book holds the open asks of one daemon and what it has read of the claims topic.
// It is not safe for concurrent use.
type Table struct {
	opts  Options
	index *index
	out   outbox
	asks  map[AttemptID]*openAsk
	byKey map[Hash][]AttemptID    // open asks
	lost  map[AttemptID]time.Time // given up, by when, while their claim may be in the log

	finding     bool // FindFirst has no answer yet
	reading     bool
	nextRead    time.Time
	target      int64     // offset that has to be read soon
	endRead     time.Time // start of the last read that reached the log's end
	readStarted time.Time
	readFrom    int64
	downSince   time.Time // zero while the log answers
	nextSweep   time.Time // of lost

	actions []Action
}

type askState int

const (
	claiming askState = iota // its claim is to be appended or to be read
	waiting                  // another attempt holds the key
	running
)

type openAsk struct {
	Request
	state   askState
	claimed bool // a claim of it was to be appended at some time
	arrived time.Time
}

// NewBook returns a book that has read nothing.
func NewTable(opts Options) *Table {
	opts.applyDefaults()
	return &Table{
		opts:   opts,
		index:  newIndex(),
		asks:   map[AttemptID]*openAsk{},
		byKey:  map[Hash][]AttemptID{},
		lost:   map[AttemptID]time.Time{},
		target: -1,
	}
}

// Step takes in an event and returns what has to be done.
func (b *Table) Step(now time.Time, event Event) []Action {
	b.actions = nil
	switch e := event.(type) {
	case StartFound:
		b.finding = false
		b.logAnswered()
		b.index.position(e.Offset, e.CompleteSince)
	case RequestReceived:
		b.ask(now, e.Request)
	case RequestCanceled:
		b.giveUp(now, e.Attempt)
	case RunEnded:
		b.ended(now, e)
	case Appended:
		b.appended(now, e.Offset)
	case AppendFailed:
		b.appendFailed(now, e.NotAppended)
	case ReadCompleted:
		b.read(now, e)
	case ReadFailed:
		b.reading, b.finding = false, false
		b.logFailed(now)
		b.nextRead = now.Add(b.opts.Backoff)
	case OffsetExpired:
		b.reading = false
		b.index = newIndex()
		b.endRead = time.Time{}
	case Tick:
	}
	b.expire(now)
	b.nextCalls(now)
	return b.actions
}

func (b *Table) do(a Action) { b.actions = append(b.actions, a) }

func (b *Table) logFailed(now time.Time) {
	if b.downSince.IsZero() {
		b.downSince = now
	}
}

func (b *Table) logAnswered() { b.downSince = time.Time{} }

// Down returns since when the log has not answered; zero while it does.
func (b *Table) LogDownSince() time.Time { return b.downSince }

// Size returns the open asks and the keys that are remembered.
func (b *Table) Size() (asks, keys int) { return len(b.asks), len(b.index.entries) }

// Unwritten returns the number of records that are not known to be in the log.
func (b *Table) Unwritten() int { return b.out.size() }

func (b *Table) ask(now time.Time, a Request) {
	open := &openAsk{Request: a, arrived: now, state: waiting}
	b.asks[a.Attempt] = open
	b.byKey[a.Key] = append(b.byKey[a.Key], a.Attempt)
	b.decide(now, open)
	if open.state == waiting {
		b.readBefore(now.Add(b.opts.BusyPollInterval))
	}
	if b.asks[a.Attempt] == nil || open.state == running {
		return
	}
	full := len(b.asks) > b.opts.MaxOpenRequests
	if open.state == waiting {
		if full {
			b.giveUp(now, a.Attempt)
			b.settle(a.Attempt, OutcomeUnknown, nil)
		}
		return
	}
	down := !b.downSince.IsZero() && now.Sub(b.downSince) >= a.ClaimDeadline.Sub(now)
	if down || full {
		b.refuse(now, open)
	}
}

// decide settles an ask by what the log tells of its key, as far as it can be settled.
func (b *Table) decide(now time.Time, a *openAsk) {
	if a.state == running {
		return
	}
	if b.missed(now, a) {
		b.giveUp(now, a.Attempt)
		b.settle(a.Attempt, KeyExpired, nil)
		return
	}
	e := b.index.entries[a.Key]
	switch {
	case e == nil || !e.held:
		if a.state != claiming {
			a.state = claiming
			a.claimed = true
			b.out.add(Record{Kind: KindClaim, Key: a.Key, Attempt: a.Attempt, Content: a.Content})
		}
	case e.holder == a.Attempt:
		a.state = running
		b.settle(a.Attempt, Run, nil)
	case e.content != a.Content:
		b.giveUp(now, a.Attempt)
		b.settle(a.Attempt, KeyReused, nil)
	case e.outcome == nil:
		a.state = waiting
		b.out.drop(KindClaim, a.Attempt)
	case e.outcome.known():
		b.giveUp(now, a.Attempt)
		b.settle(a.Attempt, Replay, e.outcome)
	default:
		b.giveUp(now, a.Attempt)
		b.settle(a.Attempt, OutcomeUnknown, e.outcome)
	}
}

// missed reports whether a claim of the ask's key may be forgotten, by the log or the index.
func (b *Table) missed(now time.Time, a *openAsk) bool {
	if a.KeyCreatedAt.Add(b.opts.Window).Before(now) {
		return true
	}
	if !b.index.positioned || b.index.covered.IsZero() {
		return false
	}
	return a.KeyCreatedAt.Add(-2 * b.opts.MaxClockSkew).Before(b.index.covered)
}

func (b *Table) settle(a AttemptID, answer DecisionKind, o *Outcome) {
	b.do(Respond{Decision{Attempt: a, Kind: answer, Outcome: o}})
}

// refuse gives up an ask whose claim is not settled.
func (b *Table) refuse(now time.Time, a *openAsk) {
	answer := Unavailable
	if b.endRead.After(a.arrived) && b.free(a.Key) && !b.missed(now, a) {
		answer = Unclaimed
	}
	b.giveUp(now, a.Attempt)
	b.settle(a.Attempt, answer, nil)
}

func (b *Table) free(key Hash) bool {
	e := b.index.entries[key]
	return e == nil || !e.held
}

// giveUp forgets an ask that does not run. Its claim is released if it is in the log.
func (b *Table) giveUp(now time.Time, attempt AttemptID) {
	a, ok := b.asks[attempt]
	if !ok || a.state == running {
		return
	}
	b.forget(a)
	if a.claimed && !b.out.cancel(attempt) {
		b.lost[attempt] = now
	}
}

func (b *Table) forget(a *openAsk) {
	delete(b.asks, a.Attempt)
	rest := slices.DeleteFunc(b.byKey[a.Key], func(other AttemptID) bool { return other == a.Attempt })
	if len(rest) == 0 {
		delete(b.byKey, a.Key)
		return
	}
	b.byKey[a.Key] = rest
}

// ended records the end of a run.
func (b *Table) ended(now time.Time, e RunEnded) {
	a, ok := b.asks[e.Attempt]
	if !ok || a.state != running {
		return
	}
	b.forget(a)
	if e.Outcome == nil {
		b.out.add(Record{Kind: KindRelease, Key: a.Key, Attempt: a.Attempt})
		return
	}
	b.out.add(Record{Kind: KindOutcome, Key: a.Key, Attempt: a.Attempt, Outcome: e.Outcome})
	if held := b.index.entries[a.Key]; held != nil {
		b.index.end(held, a.Attempt, e.Outcome)
		b.decideKey(now, a.Key)
	}
}

func (b *Table) decideKey(now time.Time, key Hash) {
	for _, attempt := range slices.Clone(b.byKey[key]) {
		if a, ok := b.asks[attempt]; ok {
			b.decide(now, a)
		}
	}
}
