package dispatch

import "time"

// mention is how long an account without demand stays in reports after its last change.
const mention = 10 * time.Second

// RequestID identifies one waiting or running request of a Queue.
type RequestID uint64

// Request is what a Queue knows of a request.
type Request struct {
	ID           RequestID
	Account      string
	Bytes        int64
	CostHint     CostHint
	PrefixHashes []uint64 // hashes of ever longer leading parts of the prompt
	Arrived      time.Time
}

// Start is the action that starts a request on a server under a grant.
type Start struct {
	Request RequestID
	Server  string
}

// Queue holds the waiting and running requests of one daemon for one service, and
// produces the daemon's reports to the dispatcher of its pool.
type Queue struct {
	incarnation uint64
	order       Order
	link        grantLink
	accounts    map[string]*accountQueue // by the key of the order
	waiting     map[string]*waiting      // by account
	runs        map[RequestID]*run
	ended       map[endedKey]*costCounter
	results     map[string]*resultCounter
	estimates   *estimator
	prefixes    prefixMemory
	changes     changes
}

type waiting struct {
	requests int
	bytes    int64
}

type accountQueue struct {
	waiting     []Request
	overtaken   int // times that the first request was passed over for a prefix
	virtualTime float64
	drain       drain
	changed     time.Time
}

type run struct {
	request  Request
	grant    Grant
	cost     Cost
	estimate Cost
}

type endedKey struct{ account, pool string }

type costCounter struct {
	cost    Cost
	changed time.Time
}

type resultCounter struct {
	ServerResults
	changed time.Time
}

// QueueOptions set up a Queue.
type QueueOptions struct {
	Incarnation      uint64 // of the daemon
	Order            Order
	EstimateQuantile float64 // of ended costs that an estimate covers; DefaultQuantile when 0
}

// NewQueue returns an empty queue of a daemon.
func NewQueue(opts QueueOptions) *Queue {
	return &Queue{
		incarnation: opts.Incarnation,
		order:       opts.Order,
		accounts:    map[string]*accountQueue{},
		waiting:     map[string]*waiting{},
		runs:        map[RequestID]*run{},
		ended:       map[endedKey]*costCounter{},
		results:     map[string]*resultCounter{},
		estimates:   newEstimator(opts.EstimateQuantile),
		prefixes:    newPrefixMemory(),
		changes:     newChanges(),
	}
}

// key returns the name under which the account's requests queue. By FIFO all share one queue.
func (q *Queue) key(account string) string {
	if q.order == OrderFIFO {
		return ""
	}
	return account
}

func (q *Queue) account(id string) *accountQueue {
	key := q.key(id)
	a, ok := q.accounts[key]
	if !ok {
		a = &accountQueue{}
		q.accounts[key] = a
	}
	return a
}

// Waiting returns how many requests, and bytes of them, wait for the account.
func (q *Queue) Waiting(account string) (int, int64) {
	w, ok := q.waiting[account]
	if !ok {
		return 0, 0
	}
	return w.requests, w.bytes
}

func (q *Queue) count(r Request, sign int) {
	w, ok := q.waiting[r.Account]
	if !ok {
		w = &waiting{}
		q.waiting[r.Account] = w
	}
	w.requests += sign
	w.bytes += int64(sign) * r.Bytes
	if w.requests == 0 {
		delete(q.waiting, r.Account)
	}
}

// AllWaiting returns the number of waiting requests of all accounts.
func (q *Queue) TotalWaiting() int {
	n := 0
	for _, w := range q.waiting {
		n += w.requests
	}
	return n
}

// Running returns the number of running requests.
func (q *Queue) Running() int { return len(q.runs) }

// Enqueue adds a request at the end of its account's queue.
func (q *Queue) Enqueue(r Request) {
	a := q.account(r.Account)
	a.waiting = append(a.waiting, r)
	a.changed = r.Arrived
	q.count(r, 1)
	q.changes.account(q.key(r.Account))
}

// Requeue returns a request whose run was not started to the front of its account's queue.
func (q *Queue) Requeue(now time.Time, id RequestID) bool {
	r, ok := q.runs[id]
	if !ok {
		return false
	}
	delete(q.runs, id)
	a := q.account(r.request.Account)
	a.waiting = append([]Request{r.request}, a.waiting...)
	a.changed = now
	q.count(r.request, 1)
	q.released(r)
	return true
}

// Remove takes a waiting request out. It reports whether the request was waiting.
func (q *Queue) Remove(account string, id RequestID) bool {
	a := q.account(account)
	for i, r := range a.waiting {
		if r.ID == id {
			q.take(a, i)
			q.changes.account(q.key(account))
			return true
		}
	}
	return false
}

func (q *Queue) take(a *accountQueue, i int) Request {
	r := a.waiting[i]
	a.waiting = append(a.waiting[:i], a.waiting[i+1:]...)
	q.count(r, -1)
	return r
}

// Grants takes in a batch of the pool's dispatcher and returns the requests to start.
// Grants of an older incarnation, repeated and lapsed ones are dropped. A grant without a
// waiting request ends at once, which the next report tells.
func (q *Queue) HandleBatch(now time.Time, b GrantBatch) []Start {
	adopted, ok := q.link.accept(now, b)
	if !ok {
		return nil
	}
	if adopted {
		clear(q.ended)
		q.changes.whole = true
	}
	var starts []Start
	for _, g := range b.Grants {
		if !q.link.take(g.ID.Seq) {
			continue
		}
		start, ok := q.start(now, b, g)
		if !ok {
			q.changes.release(g)
			continue
		}
		starts = append(starts, start)
	}
	return starts
}

func (q *Queue) start(now time.Time, b GrantBatch, g Grant) (Start, bool) {
	a := q.account(g.Account)
	a.virtualTime = max(a.virtualTime, g.VirtualTime)
	a.changed = now
	if len(a.waiting) == 0 || q.link.lapsed(now, b.ReportSeq) {
		return Start{}, false
	}
	i := q.prefixes.choose(a, g.Server)
	r := q.take(a, i)
	a.drain.granted(now, len(a.waiting))
	q.prefixes.ran(r.PrefixHashes, g.Server)
	q.runs[r.ID] = &run{request: r, grant: g, estimate: q.estimates.estimate(r.Account, r.CostHint)}
	q.changes.run(q.key(g.Account), r.ID)
	return Start{Request: r.ID, Server: g.Server}, true
}

// Progress tells the cost of a running request so far.
func (q *Queue) Progress(id RequestID, cost Cost) {
	r, ok := q.runs[id]
	if !ok || cost <= r.cost {
		return
	}
	r.cost = cost
	if cost > r.estimate { // below it the charge does not change
		q.changes.run(q.key(r.request.Account), id)
	}
}

// End ends a running request at its final cost, which is 0 when it was not sent. A failed
// run is one that the server did not answer as it should.
func (q *Queue) End(now time.Time, id RequestID, cost Cost, failed bool) {
	r, ok := q.runs[id]
	if !ok {
		return
	}
	delete(q.runs, id)
	q.released(r)
	q.account(r.request.Account).changed = now
	q.endedOf(r).add(now, cost)
	if failed || cost > 0 {
		q.resultsOf(r.grant.Server).add(now, failed)
		q.changes.servers[r.grant.Server] = true
	}
	if !failed && cost > 0 {
		q.estimates.ended(r.request.Account, r.request.CostHint, cost)
	}
}

func (q *Queue) released(r *run) {
	q.changes.release(r.grant)
	q.changes.account(q.key(r.request.Account))
	q.changes.ended[endedKey{q.key(r.request.Account), r.grant.Origin.Pool}] = true
}

func (q *Queue) endedOf(r *run) *costCounter {
	key := endedKey{q.key(r.request.Account), r.grant.Origin.Pool}
	e, ok := q.ended[key]
	if !ok {
		e = &costCounter{}
		q.ended[key] = e
	}
	return e
}

func (e *costCounter) add(now time.Time, cost Cost) {
	e.cost += cost
	e.changed = now
}

func (q *Queue) resultsOf(server string) *resultCounter {
	s, ok := q.results[server]
	if !ok {
		s = &resultCounter{ServerResults: ServerResults{Server: server}}
		q.results[server] = s
	}
	return s
}

func (s *resultCounter) add(now time.Time, failed bool) {
	s.changed = now
	if failed {
		s.Failed++
		return
	}
	s.Succeeded++
}

// ExpectedWait returns how long a request of the account that arrives now would wait,
// by the measured drain of the account's queue. It reports false before enough is measured.
func (q *Queue) ExpectedWait(now time.Time, account string) (time.Duration, bool) {
	a, ok := q.accounts[q.key(account)]
	if !ok {
		return 0, false
	}
	return a.drain.wait(now, len(a.waiting))
}

// Idle reports whether nothing waits or runs.
func (q *Queue) Idle() bool { return len(q.runs) == 0 && len(q.waiting) == 0 }
