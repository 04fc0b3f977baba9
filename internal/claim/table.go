package claim

import (
	"slices"
	"time"
)

// Table holds the open requests of one daemon and the state of the keys that it has read from
// the claims topic. It is not safe for concurrent use.
type Table struct {
	opts      Options
	index     *index
	outbox    outbox
	requests  map[AttemptID]*openRequest
	byKey     map[Hash][]AttemptID    // open requests of each key, in the order of arrival
	abandoned map[AttemptID]time.Time // time of abandonment; their claims may be in the log

	findPending   bool // a FindStart is in flight
	readPending   bool // a ReadLog is in flight
	nextReadAt    time.Time
	targetOffset  int64     // highest appended offset, which must be read; -1 if none
	lastReadToEnd time.Time // start of the last read that reached the end of the log
	readStartedAt time.Time
	readOffset    int64
	logDownSince  time.Time // zero while the log responds
	nextSweepAt   time.Time // next removal of old entries from abandoned

	actions []Action
}

type requestState int

const (
	claiming requestState = iota // its claim is to be appended, or appended and not yet read
	waiting                      // another attempt holds the key
	running
)

type openRequest struct {
	Request
	state       requestState
	claimQueued bool // a claim was added to the outbox at least once
	receivedAt  time.Time
}

// NewTable returns a table that has read no records.
func NewTable(opts Options) *Table {
	opts.applyDefaults()
	return &Table{
		opts:         opts,
		index:        newIndex(),
		requests:     map[AttemptID]*openRequest{},
		byKey:        map[Hash][]AttemptID{},
		abandoned:    map[AttemptID]time.Time{},
		targetOffset: -1,
	}
}

// Step handles an event and returns the actions to perform.
func (t *Table) Step(now time.Time, event Event) []Action {
	t.actions = nil
	switch e := event.(type) {
	case StartFound:
		t.findPending = false
		t.logAnswered()
		t.index.reset(e.Offset, e.CompleteSince)
	case RequestReceived:
		t.addRequest(now, e.Request)
	case RequestCanceled:
		t.abandon(now, e.Attempt)
	case RunEnded:
		t.handleRunEnded(now, e)
	case Appended:
		t.handleAppended(now, e.Offset)
	case AppendFailed:
		t.handleAppendFailed(now, e.NotAppended)
	case ReadCompleted:
		t.handleRead(now, e)
	case ReadFailed:
		t.readPending, t.findPending = false, false
		t.logFailed(now)
		t.nextReadAt = now.Add(t.opts.Backoff)
	case OffsetExpired:
		t.readPending = false
		t.index = newIndex()
		t.lastReadToEnd = time.Time{}
	case Tick:
	}
	t.expire(now)
	t.startCalls(now)
	return t.actions
}

func (t *Table) emit(a Action) { t.actions = append(t.actions, a) }

func (t *Table) logFailed(now time.Time) {
	if t.logDownSince.IsZero() {
		t.logDownSince = now
	}
}

func (t *Table) logAnswered() { t.logDownSince = time.Time{} }

// LogDownSince returns the time of the first failed call since the log last responded, or the
// zero time if the last call succeeded.
func (t *Table) LogDownSince() time.Time { return t.logDownSince }

// Size returns the numbers of open requests and of known keys.
func (t *Table) Size() (requests, keys int) { return len(t.requests), len(t.index.keys) }

// Unwritten returns the number of records that are not known to be in the log.
func (t *Table) Unwritten() int { return t.outbox.size() }

func (t *Table) addRequest(now time.Time, req Request) {
	open := &openRequest{Request: req, receivedAt: now, state: waiting}
	t.requests[req.Attempt] = open
	t.byKey[req.Key] = append(t.byKey[req.Key], req.Attempt)
	t.decide(now, open)
	if open.state == waiting {
		t.scheduleRead(now.Add(t.opts.BusyPollInterval))
	}
	if t.requests[req.Attempt] == nil || open.state == running {
		return
	}
	full := len(t.requests) > t.opts.MaxOpenRequests
	if open.state == waiting {
		if full {
			t.abandon(now, req.Attempt)
			t.respond(req.Attempt, OutcomeUnknown, nil)
		}
		return
	}
	down := !t.logDownSince.IsZero() && now.Sub(t.logDownSince) >= req.ClaimDeadline.Sub(now)
	if down || full {
		t.failClaim(now, open)
	}
}

// decide responds to a request if the state of its key allows a decision. Otherwise it adds a
// claim to the outbox or lets the request wait for the holder of the key.
func (t *Table) decide(now time.Time, req *openRequest) {
	if req.state == running {
		return
	}
	if t.claimMayBeMissing(now, req) {
		t.abandon(now, req.Attempt)
		t.respond(req.Attempt, KeyExpired, nil)
		return
	}
	state := t.index.keys[req.Key]
	switch {
	case state == nil || !state.held:
		if req.state != claiming {
			req.state = claiming
			req.claimQueued = true
			t.outbox.add(Record{Kind: KindClaim, Key: req.Key, Attempt: req.Attempt, Content: req.Content})
		}
	case state.holder == req.Attempt:
		req.state = running
		t.respond(req.Attempt, Run, nil)
	case state.content != req.Content:
		t.abandon(now, req.Attempt)
		t.respond(req.Attempt, KeyReused, nil)
	case state.outcome == nil:
		req.state = waiting
		t.outbox.remove(KindClaim, req.Attempt)
	case state.outcome.replayable():
		t.abandon(now, req.Attempt)
		t.respond(req.Attempt, Replay, state.outcome)
	default:
		t.abandon(now, req.Attempt)
		t.respond(req.Attempt, OutcomeUnknown, state.outcome)
	}
}

// claimMayBeMissing reports whether an earlier claim of the request's key may have expired from
// the log or the index, or may be in a batch that can't be read. One that was read before that batch is the earliest.
func (t *Table) claimMayBeMissing(now time.Time, req *openRequest) bool {
	if req.KeyCreatedAt.Add(t.opts.Window).Before(now) {
		return true
	}
	since := t.index.completeSince
	if state := t.index.keys[req.Key]; state != nil && state.held {
		since = state.heldSince
	}
	if !t.index.completeSinceKnown || since.IsZero() {
		return false
	}
	return req.KeyCreatedAt.Add(-2 * t.opts.MaxClockSkew).Before(since)
}

func (t *Table) respond(attempt AttemptID, kind DecisionKind, outcome *Outcome) {
	t.emit(Respond{Decision{Attempt: attempt, Kind: kind, Outcome: outcome}})
}

// failClaim ends a request whose claim has not been decided. The decision is Unclaimed only if a
// read that started after the request arrived reached the end of the log and found no claim.
func (t *Table) failClaim(now time.Time, req *openRequest) {
	kind := Unavailable
	if t.lastReadToEnd.After(req.receivedAt) && t.unclaimed(req.Key) && !t.claimMayBeMissing(now, req) {
		kind = Unclaimed
	}
	t.abandon(now, req.Attempt)
	t.respond(req.Attempt, kind, nil)
}

func (t *Table) unclaimed(key Hash) bool {
	state := t.index.keys[key]
	return state == nil || !state.held
}

// abandon removes a request that is not running. If its claim may be in the log, the claim is
// released once it is read.
func (t *Table) abandon(now time.Time, attempt AttemptID) {
	req, ok := t.requests[attempt]
	if !ok || req.state == running {
		return
	}
	t.remove(req)
	if req.claimQueued && !t.outbox.cancelClaim(attempt) {
		t.abandoned[attempt] = now
	}
}

func (t *Table) remove(req *openRequest) {
	delete(t.requests, req.Attempt)
	rest := slices.DeleteFunc(t.byKey[req.Key], func(other AttemptID) bool { return other == req.Attempt })
	if len(rest) == 0 {
		delete(t.byKey, req.Key)
		return
	}
	t.byKey[req.Key] = rest
}

// handleRunEnded adds the outcome of a run, or its release, to the outbox.
func (t *Table) handleRunEnded(now time.Time, e RunEnded) {
	req, ok := t.requests[e.Attempt]
	if !ok || req.state != running {
		return
	}
	t.remove(req)
	if e.Outcome == nil {
		t.outbox.add(Record{Kind: KindRelease, Key: req.Key, Attempt: req.Attempt})
		return
	}
	t.outbox.add(Record{Kind: KindOutcome, Key: req.Key, Attempt: req.Attempt, Outcome: e.Outcome})
	if state := t.index.keys[req.Key]; state != nil {
		t.index.recordOutcome(state, req.Attempt, e.Outcome)
		t.decideKey(now, req.Key)
	}
}

func (t *Table) decideKey(now time.Time, key Hash) {
	for _, attempt := range slices.Clone(t.byKey[key]) {
		if req, ok := t.requests[attempt]; ok {
			t.decide(now, req)
		}
	}
}
