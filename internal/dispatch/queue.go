package dispatch

import "time"

// mention is how long an account without demand stays in reports after its last change.
const reportRetention = 10 * time.Second

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
	incarnation   uint64
	order         Order
	receiver      grantReceiver
	accountQueues map[string]*accountQueue // by the key of the order
	waitingTotals map[string]*waitingTotal // by account
	runs          map[RequestID]*run
	endedCosts    map[endedCostKey]*costCounter
	results       map[string]*resultCounter
	costEstimator *costEstimator
	prefixIndex   prefixIndex
	pending       pendingReport
}

type waitingTotal struct {
	requests int
	bytes    int64
}

type accountQueue struct {
	waiting       []Request
	headSkips     int // times that the first request was passed over for a prefix
	virtualTime   float64
	waitEstimator waitEstimator
	changedAt     time.Time
}

type run struct {
	request  Request
	grant    Grant
	cost     Cost
	estimate Cost
}

type endedCostKey struct{ account, pool string }

type costCounter struct {
	cost      Cost
	changedAt time.Time
}

type resultCounter struct {
	ServerResults
	changedAt time.Time
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
		incarnation:   opts.Incarnation,
		order:         opts.Order,
		accountQueues: map[string]*accountQueue{},
		waitingTotals: map[string]*waitingTotal{},
		runs:          map[RequestID]*run{},
		endedCosts:    map[endedCostKey]*costCounter{},
		results:       map[string]*resultCounter{},
		costEstimator: newCostEstimator(opts.EstimateQuantile),
		prefixIndex:   newPrefixIndex(),
		pending:       newPendingReport(),
	}
}

// key returns the name under which the account's requests queue. By FIFO all share one queue.
func (q *Queue) queueKey(account string) string {
	if q.order == OrderFIFO {
		return ""
	}
	return account
}

func (q *Queue) accountQueue(id string) *accountQueue {
	key := q.queueKey(id)
	a, ok := q.accountQueues[key]
	if !ok {
		a = &accountQueue{}
		q.accountQueues[key] = a
	}
	return a
}

// Waiting returns how many requests, and bytes of them, wait for the account.
func (q *Queue) Waiting(account string) (int, int64) {
	w, ok := q.waitingTotals[account]
	if !ok {
		return 0, 0
	}
	return w.requests, w.bytes
}

func (q *Queue) addWaiting(r Request, delta int) {
	w, ok := q.waitingTotals[r.Account]
	if !ok {
		w = &waitingTotal{}
		q.waitingTotals[r.Account] = w
	}
	w.requests += delta
	w.bytes += int64(delta) * r.Bytes
	if w.requests == 0 {
		delete(q.waitingTotals, r.Account)
	}
}

// AllWaiting returns the number of waiting requests of all accounts.
func (q *Queue) TotalWaiting() int {
	n := 0
	for _, w := range q.waitingTotals {
		n += w.requests
	}
	return n
}

// Running returns the number of running requests.
func (q *Queue) Running() int { return len(q.runs) }

// Enqueue adds a request at the end of its account's queue.
func (q *Queue) Enqueue(r Request) {
	a := q.accountQueue(r.Account)
	a.waiting = append(a.waiting, r)
	a.changedAt = r.Arrived
	q.addWaiting(r, 1)
	q.pending.addAccount(q.queueKey(r.Account))
}

// Requeue returns a request whose run was not started to the front of its account's queue.
func (q *Queue) Requeue(now time.Time, id RequestID) bool {
	r, ok := q.runs[id]
	if !ok {
		return false
	}
	delete(q.runs, id)
	a := q.accountQueue(r.request.Account)
	a.waiting = append([]Request{r.request}, a.waiting...)
	a.changedAt = now
	q.addWaiting(r.request, 1)
	q.recordRelease(r)
	return true
}

// Remove takes a waiting request out. It reports whether the request was waiting.
func (q *Queue) Remove(account string, id RequestID) bool {
	a := q.accountQueue(account)
	for i, r := range a.waiting {
		if r.ID == id {
			q.dequeue(a, i)
			q.pending.addAccount(q.queueKey(account))
			return true
		}
	}
	return false
}

func (q *Queue) dequeue(a *accountQueue, i int) Request {
	r := a.waiting[i]
	a.waiting = append(a.waiting[:i], a.waiting[i+1:]...)
	q.addWaiting(r, -1)
	return r
}

// Grants takes in a batch of the pool's dispatcher and returns the requests to start.
// Grants of an older incarnation, repeated and lapsed ones are dropped. A grant without a
// waiting request ends at once, which the next report tells.
func (q *Queue) HandleBatch(now time.Time, b GrantBatch) []Start {
	newDispatcher, ok := q.receiver.acceptBatch(now, b)
	if !ok {
		return nil
	}
	if newDispatcher {
		clear(q.endedCosts)
		q.pending.fullRequired = true
	}
	var starts []Start
	for _, g := range b.Grants {
		if !q.receiver.acceptGrant(g.ID.Seq) {
			continue
		}
		start, ok := q.startRun(now, b, g)
		if !ok {
			q.pending.addRelease(g)
			continue
		}
		starts = append(starts, start)
	}
	return starts
}

func (q *Queue) startRun(now time.Time, b GrantBatch, g Grant) (Start, bool) {
	a := q.accountQueue(g.Account)
	a.virtualTime = max(a.virtualTime, g.VirtualTime)
	a.changedAt = now
	if len(a.waiting) == 0 || q.receiver.leaseExpired(now, b.ReportSeq) {
		return Start{}, false
	}
	i := q.prefixIndex.chooseRequest(a, g.Server)
	r := q.dequeue(a, i)
	a.waitEstimator.recordGrant(now, len(a.waiting))
	q.prefixIndex.recordRun(r.PrefixHashes, g.Server)
	q.runs[r.ID] = &run{request: r, grant: g, estimate: q.costEstimator.estimate(r.Account, r.CostHint)}
	q.pending.addRun(q.queueKey(g.Account), r.ID)
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
		q.pending.addRun(q.queueKey(r.request.Account), id)
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
	q.recordRelease(r)
	q.accountQueue(r.request.Account).changedAt = now
	q.endedCostCounter(r).add(now, cost)
	if failed || cost > 0 {
		q.serverResultCounter(r.grant.Server).add(now, failed)
		q.pending.servers[r.grant.Server] = true
	}
	if !failed && cost > 0 {
		q.costEstimator.recordCost(r.request.Account, r.request.CostHint, cost)
	}
}

func (q *Queue) recordRelease(r *run) {
	q.pending.addRelease(r.grant)
	q.pending.addAccount(q.queueKey(r.request.Account))
	q.pending.endedCosts[endedCostKey{q.queueKey(r.request.Account), r.grant.Origin.Pool}] = true
}

func (q *Queue) endedCostCounter(r *run) *costCounter {
	key := endedCostKey{q.queueKey(r.request.Account), r.grant.Origin.Pool}
	e, ok := q.endedCosts[key]
	if !ok {
		e = &costCounter{}
		q.endedCosts[key] = e
	}
	return e
}

func (c *costCounter) add(now time.Time, cost Cost) {
	c.cost += cost
	c.changedAt = now
}

func (q *Queue) serverResultCounter(server string) *resultCounter {
	s, ok := q.results[server]
	if !ok {
		s = &resultCounter{ServerResults: ServerResults{Server: server}}
		q.results[server] = s
	}
	return s
}

func (c *resultCounter) add(now time.Time, failed bool) {
	c.changedAt = now
	if failed {
		c.Failed++
		return
	}
	c.Succeeded++
}

// ExpectedWait returns how long a request of the account that arrives now would wait,
// by the measured drain of the account's queue. It reports false before enough is measured.
func (q *Queue) ExpectedWait(now time.Time, account string) (time.Duration, bool) {
	a, ok := q.accountQueues[q.queueKey(account)]
	if !ok {
		return 0, false
	}
	return a.waitEstimator.expectedWait(now, len(a.waiting))
}

// Idle reports whether nothing waits or runs.
func (q *Queue) Idle() bool { return len(q.runs) == 0 && len(q.waitingTotals) == 0 }
