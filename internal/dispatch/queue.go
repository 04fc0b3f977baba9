package dispatch

import (
	"sort"
	"time"
)

// RequestID identifies one waiting or running request of a Queue.
type RequestID uint64

// Request is what a Queue knows of a request.
type Request struct {
	ID       RequestID
	Account  string
	Bytes    int64
	Estimate Cost
	Arrived  time.Time
}

// Start is the action that starts a request on a server under a grant.
type Start struct {
	Request RequestID
	Server  string
	GrantID uint64
}

// Queue holds the waiting and running requests of one daemon for one service, and
// produces the daemon's reports to the dispatcher.
type Queue struct {
	daemonIncarnation uint64
	seq               uint64
	dispatcher        uint64 // incarnation of the newest dispatcher heard
	lastGrant         uint64
	accounts          map[string]*accountQueue
	runs              map[RequestID]*runState
	dirty             bool
}

type accountQueue struct {
	waiting     []Request
	bytes       int64
	ended       Cost
	virtualTime float64
}

type runState struct {
	request    Request
	server     string
	grantID    uint64
	dispatcher uint64
	cost       Cost
}

// NewQueue returns an empty queue of a daemon.
func NewQueue(daemonIncarnation uint64) *Queue {
	return &Queue{
		daemonIncarnation: daemonIncarnation,
		accounts:          map[string]*accountQueue{},
		runs:              map[RequestID]*runState{},
	}
}

func (q *Queue) account(id string) *accountQueue {
	a, ok := q.accounts[id]
	if !ok {
		a = &accountQueue{}
		q.accounts[id] = a
	}
	return a
}

// Waiting returns how many requests, and bytes of them, wait for the account.
func (q *Queue) Waiting(account string) (int, int64) {
	a, ok := q.accounts[account]
	if !ok {
		return 0, 0
	}
	return len(a.waiting), a.bytes
}

// Running returns the number of running requests.
func (q *Queue) Running() int { return len(q.runs) }

// Enqueue adds a request at the end of its account's queue.
func (q *Queue) Enqueue(r Request) {
	a := q.account(r.Account)
	a.waiting = append(a.waiting, r)
	a.bytes += r.Bytes
	q.dirty = true
}

// Remove takes a waiting request out. It reports whether the request was waiting.
func (q *Queue) Remove(account string, id RequestID) bool {
	a := q.account(account)
	for i, r := range a.waiting {
		if r.ID != id {
			continue
		}
		a.waiting = append(a.waiting[:i], a.waiting[i+1:]...)
		a.bytes -= r.Bytes
		q.dirty = true
		return true
	}
	return false
}

// Grants takes in grants of a dispatcher and returns the requests to start. Grants of an
// older incarnation, and repeated ones, are dropped. A grant without a waiting request
// ends at once, which the next report tells.
func (q *Queue) Grants(dispatcher uint64, grants []Grant) []Start {
	if dispatcher < q.dispatcher {
		return nil
	}
	if dispatcher > q.dispatcher {
		q.adoptDispatcher(dispatcher)
	}
	var starts []Start
	for _, g := range grants {
		if g.ID <= q.lastGrant {
			continue
		}
		q.lastGrant = g.ID
		q.dirty = true
		a := q.account(g.Account)
		a.virtualTime = max(a.virtualTime, g.VirtualTime)
		if len(a.waiting) == 0 {
			continue
		}
		r := a.waiting[0]
		a.waiting = a.waiting[1:]
		a.bytes -= r.Bytes
		q.runs[r.ID] = &runState{request: r, server: g.Server, grantID: g.ID, dispatcher: dispatcher}
		starts = append(starts, Start{Request: r.ID, Server: g.Server, GrantID: g.ID})
	}
	return starts
}

// adoptDispatcher starts the counters of a new dispatcher incarnation.
func (q *Queue) adoptDispatcher(incarnation uint64) {
	q.dispatcher = incarnation
	q.lastGrant = 0
	for _, a := range q.accounts {
		a.ended = 0
	}
}

// Progress tells the cost of a running request so far.
func (q *Queue) Progress(id RequestID, cost Cost) {
	if r, ok := q.runs[id]; ok {
		r.cost = max(r.cost, cost)
	}
}

// End ends a running request at its final cost.
func (q *Queue) End(id RequestID, cost Cost) {
	r, ok := q.runs[id]
	if !ok {
		return
	}
	delete(q.runs, id)
	q.dirty = true
	q.account(r.request.Account).ended += cost
}

// Dirty reports whether the state changed since the last report, apart from progress.
func (q *Queue) Dirty() bool { return q.dirty }

// Idle reports whether nothing waits or runs.
func (q *Queue) Idle() bool {
	if len(q.runs) > 0 {
		return false
	}
	for _, a := range q.accounts {
		if len(a.waiting) > 0 {
			return false
		}
	}
	return true
}

// Report returns the whole state for the dispatcher.
func (q *Queue) Report(now time.Time) Report {
	q.seq++
	q.dirty = false
	r := Report{
		DaemonIncarnation:     q.daemonIncarnation,
		Seq:                   q.seq,
		DispatcherIncarnation: q.dispatcher,
		LastGrantID:           q.lastGrant,
	}
	for id, a := range q.accounts {
		r.Demands = append(r.Demands, demandOf(now, id, a))
	}
	for _, run := range q.runs {
		r.Runs = append(r.Runs, q.runOf(run))
	}
	sort.Slice(r.Demands, func(i, j int) bool { return r.Demands[i].Account < r.Demands[j].Account })
	sort.Slice(r.Runs, func(i, j int) bool { return r.Runs[i].GrantID < r.Runs[j].GrantID })
	return r
}

func demandOf(now time.Time, id string, a *accountQueue) Demand {
	d := Demand{Account: id, Waiting: len(a.waiting), Ended: a.ended, VirtualTime: a.virtualTime}
	if len(a.waiting) > 0 {
		d.OldestWait = now.Sub(a.waiting[0].Arrived)
		d.Estimate = a.waiting[0].Estimate
	}
	return d
}

func (q *Queue) runOf(run *runState) Run {
	id := run.grantID
	if run.dispatcher != q.dispatcher {
		id = foreignGrantID(id)
	}
	return Run{
		GrantID:  id,
		Account:  run.request.Account,
		Server:   run.server,
		Cost:     run.cost,
		Estimate: run.request.Estimate,
	}
}
