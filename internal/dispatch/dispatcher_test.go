package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Unix(1000, 0)

// harness connects one dispatcher and the queue of one daemon, without delay.
type harness struct {
	*testing.T
	now        time.Time
	dispatcher *Dispatcher
	queue      *Queue
	nextID     RequestID
	running    map[string][]RequestID // by account
	servers    map[RequestID]string
}

func newHarness(t *testing.T, pool Pool) *harness {
	h := &harness{T: t, now: start, running: map[string][]RequestID{}, servers: map[RequestID]string{}}
	h.dispatcher = NewDispatcher(start, 7, pool, nil)
	h.queue = NewQueue(QueueOptions{Incarnation: 1})
	return h
}

func singleServerPool(slots int) Pool {
	return Pool{Name: "z1", Servers: []ServerSpec{{ID: "s1", Slots: slots, Schedulable: true}}}
}

func (h *harness) enqueue(account string, n int, cost Cost) {
	for range n {
		h.nextID++
		hint := CostHint{Min: cost, Default: cost, Max: cost}
		h.queue.Enqueue(Request{ID: h.nextID, Account: account, CostHint: hint, Arrived: h.now})
	}
}

// exchangeReports sends a report to the dispatcher, starts the granted requests and reports
// them.
func (h *harness) exchangeReports() {
	h.deliver(h.dispatcher.HandleReport(h.now, "d1", h.queue.FullReport(h.now)))
	h.dispatcher.HandleReport(h.now, "d1", h.queue.FullReport(h.now))
}

func (h *harness) deliver(sends []Send) {
	for _, s := range sends {
		for _, start := range h.queue.HandleBatch(h.now, s.Batch) {
			account := h.queue.runs[start.Request].request.Account
			h.running[account] = append(h.running[account], start.Request)
			h.servers[start.Request] = start.Server
		}
	}
}

// end ends the account's oldest run.
func (h *harness) end(account string, cost Cost, failed bool) {
	h.queue.End(h.now, h.running[account][0], cost, failed)
	h.running[account] = h.running[account][1:]
}

func TestIdlenessEarnsNoCredit(t *testing.T) {
	h := newHarness(t, singleServerPool(1))
	h.enqueue("idle", 1, 10)
	h.exchangeReports()
	h.end("idle", 10, false)
	h.enqueue("busy", 20, 10)
	for range 10 {
		h.exchangeReports()
		h.end("busy", 10, false)
	}
	h.enqueue("idle", 10, 10)
	for range 4 {
		h.exchangeReports()
		for account := range h.running {
			if len(h.running[account]) > 0 {
				h.end(account, 10, false)
			}
		}
	}
	waiting, _ := h.queue.Waiting("idle")
	require.GreaterOrEqual(t, waiting, 7, "of 4 grants the account gets at most its half and one")
}

func TestProgressIsChargedWhileRunning(t *testing.T) {
	h := newHarness(t, singleServerPool(2))
	h.enqueue("long", 2, 10)
	h.enqueue("short", 2, 20)
	h.exchangeReports()
	require.Len(t, h.running["long"], 1)
	h.queue.Progress(h.running["long"][0], 100)
	h.exchangeReports()
	h.end("short", 20, false)
	h.exchangeReports()
	require.Len(t, h.running["short"], 1, "the account whose run exceeded its estimate waits")
}

func TestMaxInFlightIsEnforced(t *testing.T) {
	pool := singleServerPool(4)
	pool.Accounts = map[string]AccountSpec{"a": {Weight: 1, MaxInFlight: 2}}
	h := newHarness(t, pool)
	h.enqueue("a", 4, 10)
	h.exchangeReports()
	require.Len(t, h.running["a"], 2)
}

func TestExternalLoadReducesGrants(t *testing.T) {
	h := newHarness(t, singleServerPool(4))
	h.dispatcher.SetLoad(h.now, "s1", 3)
	h.enqueue("a", 4, 10)
	h.exchangeReports()
	require.Len(t, h.running["a"], 1, "external requests use three slots")
	h.now = h.now.Add(loadTTL + time.Second)
	h.exchangeReports()
	require.Len(t, h.running["a"], 4, "an expired load report does not count")
}

func TestLaggingLoadReportIsNotCountedAsExternalLoad(t *testing.T) {
	h := newHarness(t, singleServerPool(4))
	h.enqueue("a", 8, 10)
	h.exchangeReports()
	for range 4 {
		h.end("a", 10, false)
	}
	h.exchangeReports()
	h.dispatcher.SetLoad(h.now, "s1", 4)
	require.Zero(t, h.dispatcher.servers["s1"].external)
}

func TestFailingServerIsProbedUntilItRecovers(t *testing.T) {
	pool := singleServerPool(2)
	pool.Servers = append(pool.Servers, ServerSpec{ID: "s2", Slots: 2, Schedulable: true})
	h := newHarness(t, pool)
	h.enqueue("a", 4, 10)
	h.exchangeReports()
	for _, id := range h.running["a"] {
		h.queue.End(h.now, id, 0, h.servers[id] == "s1")
	}
	h.running["a"] = nil
	h.enqueue("a", 4, 10)
	h.exchangeReports()
	require.Len(t, h.running["a"], 2)
	for _, id := range h.running["a"] {
		require.Equal(t, "s2", h.servers[id])
	}
	h.now = h.now.Add(minProbeBackoff)
	h.exchangeReports()
	require.Len(t, h.running["a"], 3, "one probe")
	probe := h.running["a"][2]
	require.Equal(t, "s1", h.servers[probe])
	h.queue.End(h.now, probe, 10, false)
	h.enqueue("a", 1, 10)
	h.exchangeReports()
	require.Len(t, h.running["a"], 5, "the server has its full limit again")
}

func TestExpiredGrantIsNotStarted(t *testing.T) {
	h := newHarness(t, singleServerPool(1))
	h.enqueue("a", 1, 10)
	sends := h.dispatcher.HandleReport(h.now, "d1", h.queue.FullReport(h.now))
	h.now = h.now.Add(GrantLease + time.Millisecond)
	h.deliver(sends)
	require.Empty(t, h.running["a"])
	h.exchangeReports()
	require.Len(t, h.running["a"], 1, "the expired grant released its slot")
}

func TestNewDispatcherWaitsForExpectedDaemons(t *testing.T) {
	d := NewDispatcher(start, 1, singleServerPool(1), []string{"d1", "d2"})
	require.Len(t, d.Announce(), 2)
	q := NewQueue(QueueOptions{Incarnation: 1})
	q.Enqueue(Request{ID: 1, Account: "a", Arrived: start})
	require.Empty(t, d.HandleReport(start, "d1", q.FullReport(start)))
	other := NewQueue(QueueOptions{Incarnation: 1})
	require.Len(t, d.HandleReport(start, "d2", other.FullReport(start)), 1)
	require.Len(t, NewDispatcher(start, 1, singleServerPool(1), []string{"d1", "d2"}).Tick(start.Add(WarmUpTimeout)), 0)
}

func TestPrefixReorderingIsBounded(t *testing.T) {
	q := NewQueue(QueueOptions{Incarnation: 1})
	q.prefixIndex.recordRun([]uint64{1}, "s1")
	a := q.accountQueue("a")
	q.Enqueue(Request{ID: 100, Account: "a", PrefixHashes: []uint64{2}, Arrived: start})
	for i := range RequestID(10) {
		q.Enqueue(Request{ID: i, Account: "a", PrefixHashes: []uint64{1}, Arrived: start})
	}
	for range PrefixReorderWindow {
		require.NotZero(t, q.prefixIndex.chooseRequest(a, "s1"))
	}
	require.Zero(t, q.prefixIndex.chooseRequest(a, "s1"), "the first request is not skipped again")
}

func TestWaitEstimateIgnoresIdleTime(t *testing.T) {
	var estimator waitEstimator
	for i := range 20 {
		estimator.recordGrant(start.Add(time.Duration(i)*time.Hour), 0)
	}
	_, known := estimator.expectedWait(start, 5)
	require.False(t, known)
	for i := range 20 {
		estimator.recordGrant(start.Add(time.Duration(i)*time.Second), 9)
	}
	wait, known := estimator.expectedWait(start.Add(19*time.Second), 9)
	require.True(t, known)
	require.InDelta(t, 10, wait.Seconds(), 0.1)
}

func TestCostEstimateStaysWithinHint(t *testing.T) {
	e := newCostEstimator(0)
	hint := CostHint{Min: 10, Default: 500, Max: 200}
	require.Equal(t, 200.0, e.estimate("a", hint))
	e.recordCost("a", hint, 40)
	require.Equal(t, 40.0, e.estimate("a", hint))
	require.Equal(t, 40.0, e.estimate("other", hint), "the costs of all accounts are used for an account without its own")
	e.recordCost("a", hint, 5)
	require.Equal(t, 10.0+30.0, e.estimate("a", hint))
}

func TestNewRemoteRequestGetsNoStandbyGrant(t *testing.T) {
	pool := singleServerPool(1)
	pool.RemoteStandby = 1
	h := newHarness(t, pool)
	h.enqueue("a", 1, 10)
	h.exchangeReports()
	bid := Report{Incarnation: 1, Seq: 1, FromPool: "z2", Demands: []Demand{{Account: "b", Waiting: 1, Estimate: 10}}}
	require.Empty(t, h.dispatcher.HandleReport(h.now, "d9", bid))
	require.Len(t, h.dispatcher.Tick(h.now.Add(remoteStandbyDelay)), 1)
}
