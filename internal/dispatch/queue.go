package dispatch

import "time"

// reportRetention is how long an account without waiting requests, a cost or a server result
// stays in full reports after its last change.
const reportRetention = 10 * time.Second

// RequestID identifies one waiting or running request of a Queue.
type RequestID uint64

// Request describes a request to a Queue.
type Request struct {
	ID           RequestID
	Account      string
	Bytes        int64 // size of the body
	CostHint     CostHint
	PrefixHashes []uint64 // of prefixes of the prompt, shortest first
	Arrived      time.Time
}

// Start is the action of starting a granted request on a server.
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
	accountQueues map[string]*accountQueue // by queueKey
	waitingTotals map[string]*waitingTotal // by account
	runs          map[RequestID]*run
	endedCosts    map[endedCostKey]*costCounter
	results       map[string]*resultCounter
	costEstimator *costEstimator
	prefixIndex   prefixIndex
	pending       pendingReport
}

// waitingTotal counts the waiting requests of an account.
type waitingTotal struct {
	requests int
	bytes    int64
}

// accountQueue holds the waiting requests of one account, or of all accounts with OrderFIFO.
type accountQueue struct {
	waiting       []Request
	headSkips     int     // times the first request was skipped in favour of a cached prefix
	virtualTime   float64 // highest value received with a grant
	waitEstimator waitEstimator
	changedAt     time.Time
}

// run is a request that was started under a grant.
type run struct {
	request  Request
	grant    Grant
	cost     Cost
	estimate Cost
}

// endedCostKey identifies an ended cost: by account, and the pool of the servers, which is
// empty for the pool that receives the report.
type endedCostKey struct{ account, pool string }

// costCounter is a cumulative cost.
type costCounter struct {
	cost      Cost
	changedAt time.Time
}

// resultCounter counts the results of one server.
type resultCounter struct {
	ServerResults
	changedAt time.Time
}

// QueueOptions configures a Queue.
type QueueOptions struct {
	Incarnation      uint64 // of the daemon
	Order            Order
	EstimateQuantile float64 // quantile of past costs used as the estimate; DefaultEstimateQuantile if 0
}

// NewQueue returns an empty queue.
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

// queueKey returns the key of the account's queue. With OrderFIFO all accounts share one.
func (q *Queue) queueKey(account string) string {
	if q.order == OrderFIFO {
		return ""
	}
	return account
}

// accountQueue returns the account's queue, creating it if necessary.
func (q *Queue) accountQueue(id string) *accountQueue {
	key := q.queueKey(id)
	a, ok := q.accountQueues[key]
	if !ok {
		a = &accountQueue{}
		q.accountQueues[key] = a
	}
	return a
}

// Waiting returns the number of waiting requests of the account and their total size in bytes.
func (q *Queue) Waiting(account string) (int, int64) {
	w, ok := q.waitingTotals[account]
	if !ok {
		return 0, 0
	}
	return w.requests, w.bytes
}

// addWaiting adds delta requests of r's size to the waiting total of its account.
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

// TotalWaiting returns the number of waiting requests of all accounts.
func (q *Queue) TotalWaiting() int {
	n := 0
	for _, w := range q.waitingTotals {
		n += w.requests
	}
	return n
}

// Running returns the number of running requests.
func (q *Queue) Running() int { return len(q.runs) }

// Enqueue appends a request to its account's queue.
func (q *Queue) Enqueue(r Request) {
	a := q.accountQueue(r.Account)
	a.waiting = append(a.waiting, r)
	a.changedAt = r.Arrived
	q.addWaiting(r, 1)
	q.pending.addAccount(q.queueKey(r.Account))
}

// Requeue moves a granted request that was not sent back to the front of its account's queue
// and releases the grant. It returns false if the request has no grant.
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

// Remove removes a waiting request. It returns false if the request was not waiting.
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

// dequeue removes and returns the waiting request at index i.
func (q *Queue) dequeue(a *accountQueue, i int) Request {
	r := a.waiting[i]
	a.waiting = append(a.waiting[:i], a.waiting[i+1:]...)
	q.addWaiting(r, -1)
	return r
}

// HandleBatch applies a batch of the pool's dispatcher and returns the requests to start.
// Batches of older incarnations and duplicate grants are ignored. Expired grants and grants
// without a waiting request are released with the next report.
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

// startRun starts a waiting request under the grant. It returns false if no request waits or
// the grant has expired.
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

// Progress records the cost so far of a running request.
func (q *Queue) Progress(id RequestID, cost Cost) {
	r, ok := q.runs[id]
	if !ok || cost <= r.cost {
		return
	}
	r.cost = cost
	if cost > r.estimate { // up to the estimate the charge does not change
		q.pending.addRun(q.queueKey(r.request.Account), id)
	}
}

// End ends a running request with its final cost, which is 0 if the request was not sent.
// A run has failed if the server did not answer it correctly.
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

// recordRelease marks the end of a run for the next report.
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

// ExpectedWait returns the expected wait of a request of the account that arrives now, based
// on the rate of grants to the account's queue. It returns false if the queue is empty or
// too few grants have been measured.
func (q *Queue) ExpectedWait(now time.Time, account string) (time.Duration, bool) {
	a, ok := q.accountQueues[q.queueKey(account)]
	if !ok {
		return 0, false
	}
	return a.waitEstimator.expectedWait(now, len(a.waiting))
}

// Idle reports whether no request is waiting or running.
func (q *Queue) Idle() bool { return len(q.runs) == 0 && len(q.waitingTotals) == 0 }
