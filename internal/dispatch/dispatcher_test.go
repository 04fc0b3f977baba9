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
	b := &harness{T: t, now: start, running: map[string][]RequestID{}, servers: map[RequestID]string{}}
	b.dispatcher = NewDispatcher(start, 7, pool, nil)
	b.queue = NewQueue(QueueOptions{Incarnation: 1})
	return b
}

func singleServerPool(slots int) Pool {
	return Pool{Name: "z1", Servers: []ServerSpec{{ID: "s1", Slots: slots, Schedulable: true}}}
}

func (b *harness) enqueue(account string, n int, cost Cost) {
	for range n {
		b.nextID++
		hint := CostHint{Min: cost, Default: cost, Max: cost}
		b.queue.Enqueue(Request{ID: b.nextID, Account: account, CostHint: hint, Arrived: b.now})
	}
}

// exchangeReports sends a report to the dispatcher, starts the granted requests and reports
// them.
func (b *harness) exchangeReports() {
	b.deliver(b.dispatcher.HandleReport(b.now, "d1", b.queue.FullReport(b.now)))
	b.dispatcher.HandleReport(b.now, "d1", b.queue.FullReport(b.now))
}

func (b *harness) deliver(sends []Send) {
	for _, s := range sends {
		for _, start := range b.queue.HandleBatch(b.now, s.Batch) {
			account := b.queue.runs[start.Request].request.Account
			b.running[account] = append(b.running[account], start.Request)
			b.servers[start.Request] = start.Server
		}
	}
}

// end ends the account's oldest run.
func (b *harness) end(account string, cost Cost, failed bool) {
	b.queue.End(b.now, b.running[account][0], cost, failed)
	b.running[account] = b.running[account][1:]
}

func TestIdlenessEarnsNoCredit(t *testing.T) {
	b := newHarness(t, singleServerPool(1))
	b.enqueue("idle", 1, 10)
	b.exchangeReports()
	b.end("idle", 10, false)
	b.enqueue("busy", 20, 10)
	for range 10 {
		b.exchangeReports()
		b.end("busy", 10, false)
	}
	b.enqueue("idle", 10, 10)
	for range 4 {
		b.exchangeReports()
		for account := range b.running {
			if len(b.running[account]) > 0 {
				b.end(account, 10, false)
			}
		}
	}
	waiting, _ := b.queue.Waiting("idle")
	require.GreaterOrEqual(t, waiting, 7, "of 4 grants the account gets at most its half and one")
}

func TestProgressIsChargedWhileRunning(t *testing.T) {
	b := newHarness(t, singleServerPool(2))
	b.enqueue("long", 2, 10)
	b.enqueue("short", 2, 20)
	b.exchangeReports()
	require.Len(t, b.running["long"], 1)
	b.queue.Progress(b.running["long"][0], 100)
	b.exchangeReports()
	b.end("short", 20, false)
	b.exchangeReports()
	require.Len(t, b.running["short"], 1, "the account whose run exceeded its estimate waits")
}

func TestMaxInFlightIsEnforced(t *testing.T) {
	pool := singleServerPool(4)
	pool.Accounts = map[string]AccountSpec{"a": {Weight: 1, MaxInFlight: 2}}
	b := newHarness(t, pool)
	b.enqueue("a", 4, 10)
	b.exchangeReports()
	require.Len(t, b.running["a"], 2)
}

func TestExternalLoadReducesGrants(t *testing.T) {
	b := newHarness(t, singleServerPool(4))
	b.dispatcher.SetLoad(b.now, "s1", 3)
	b.enqueue("a", 4, 10)
	b.exchangeReports()
	require.Len(t, b.running["a"], 1, "external requests use three slots")
	b.now = b.now.Add(loadTTL + time.Second)
	b.exchangeReports()
	require.Len(t, b.running["a"], 4, "an expired load report does not count")
}

func TestLaggingLoadReportIsNotCountedAsExternalLoad(t *testing.T) {
	b := newHarness(t, singleServerPool(4))
	b.enqueue("a", 8, 10)
	b.exchangeReports()
	for range 4 {
		b.end("a", 10, false)
	}
	b.exchangeReports()
	b.dispatcher.SetLoad(b.now, "s1", 4)
	require.Zero(t, b.dispatcher.servers["s1"].external)
}

func TestFailingServerIsProbedUntilItRecovers(t *testing.T) {
	pool := singleServerPool(2)
	pool.Servers = append(pool.Servers, ServerSpec{ID: "s2", Slots: 2, Schedulable: true})
	b := newHarness(t, pool)
	b.enqueue("a", 4, 10)
	b.exchangeReports()
	for _, id := range b.running["a"] {
		b.queue.End(b.now, id, 0, b.servers[id] == "s1")
	}
	b.running["a"] = nil
	b.enqueue("a", 4, 10)
	b.exchangeReports()
	require.Len(t, b.running["a"], 2)
	for _, id := range b.running["a"] {
		require.Equal(t, "s2", b.servers[id])
	}
	b.now = b.now.Add(minProbeBackoff)
	b.exchangeReports()
	require.Len(t, b.running["a"], 3, "one probe")
	probe := b.running["a"][2]
	require.Equal(t, "s1", b.servers[probe])
	b.queue.End(b.now, probe, 10, false)
	b.enqueue("a", 1, 10)
	b.exchangeReports()
	require.Len(t, b.running["a"], 5, "the server has its full limit again")
}

func TestExpiredGrantIsNotStarted(t *testing.T) {
	b := newHarness(t, singleServerPool(1))
	b.enqueue("a", 1, 10)
	sends := b.dispatcher.HandleReport(b.now, "d1", b.queue.FullReport(b.now))
	b.now = b.now.Add(GrantLease + time.Millisecond)
	b.deliver(sends)
	require.Empty(t, b.running["a"])
	b.exchangeReports()
	require.Len(t, b.running["a"], 1, "the expired grant released its slot")
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
	var d waitEstimator
	for i := range 20 {
		d.recordGrant(start.Add(time.Duration(i)*time.Hour), 0)
	}
	_, known := d.expectedWait(start, 5)
	require.False(t, known)
	for i := range 20 {
		d.recordGrant(start.Add(time.Duration(i)*time.Second), 9)
	}
	wait, known := d.expectedWait(start.Add(19*time.Second), 9)
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
	b := newHarness(t, pool)
	b.enqueue("a", 1, 10)
	b.exchangeReports()
	bid := Report{Incarnation: 1, Seq: 1, FromPool: "z2", Demands: []Demand{{Account: "b", Waiting: 1, Estimate: 10}}}
	require.Empty(t, b.dispatcher.HandleReport(b.now, "d9", bid))
	require.Len(t, b.dispatcher.Tick(b.now.Add(remoteStandbyDelay)), 1)
}
