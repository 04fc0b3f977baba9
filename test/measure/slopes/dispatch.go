package main

import (
	"fmt"
	"time"

	"github.com/filbertrill/filbertrill/internal/dispatch"
)

// Sizes of a pool at the planned capacity: one model in one zone.
const (
	poolDaemons  = 22
	poolServers  = 4
	poolAccounts = 65 // backlogged at the same time
	poolRuns     = 14 // per daemon
)

// dispatchSeries measures the time in which a dispatcher handles a daemon's report and grants the
// slot that the report frees, and the heap of the dispatcher and queues.
func dispatchSeries() []series {
	return []series{
		{"dispatch.report_runs", "us", "run", []int{4, 14, 50, 200}, func(n int) float64 { return reportTime(poolDaemons, poolAccounts, n) }},
		{"dispatch.report_accounts", "us", "account", []int{16, 65, 200, 650}, func(n int) float64 { return reportTime(poolDaemons, n, poolRuns) }},
		{"dispatch.report_daemons", "us", "daemon", []int{3, 7, 22, 50}, func(n int) float64 { return reportTime(n, poolAccounts, poolRuns) }},
		{"dispatch.heap", "bytes", "daemon", []int{3, 7, 22, 50}, func(n int) float64 {
			return heapGrowth(func() any { return newPool(n, poolAccounts, poolRuns) })
		}},
	}
}

// pool is a dispatcher with the queues of its daemons, in which all accounts are backlogged.
type pool struct {
	now           time.Time
	dispatcher    *dispatch.Dispatcher
	queues        []*dispatch.Queue
	accounts      int
	lastRequestID dispatch.RequestID
	running       [][]dispatch.RequestID
}

func newPool(daemons, accounts, runs int) *pool {
	p := &pool{now: time.Unix(1, 0), accounts: accounts, running: make([][]dispatch.RequestID, daemons)}
	spec := dispatch.Pool{Name: "z01", Accounts: map[string]dispatch.AccountSpec{}}
	for i := range accounts {
		spec.Accounts[accountName(i)] = dispatch.AccountSpec{Weight: 1}
	}
	slots := (daemons*runs + poolServers - 1) / poolServers
	for i := range poolServers {
		spec.Servers = append(spec.Servers, dispatch.ServerSpec{ID: fmt.Sprintf("server-%d", i), Slots: slots, Schedulable: true})
	}
	var names []string
	for i := range daemons {
		names = append(names, daemonName(i))
		p.queues = append(p.queues, dispatch.NewQueue(dispatch.QueueOptions{Incarnation: uint64(i + 1), Order: dispatch.OrderFair}))
	}
	p.dispatcher = dispatch.NewDispatcher(p.now, 1, spec, names)
	for i := range daemons {
		for range runs + 2*accounts {
			p.enqueue(i)
		}
	}
	for range 3 {
		for i := range daemons {
			p.handleReport(i, p.queues[i].FullReport(p.advanceClock()))
		}
	}
	return p
}

func accountName(i int) string { return fmt.Sprintf("account-%04d", i) }

func daemonName(i int) string { return fmt.Sprintf("d%03d", i) }

func (p *pool) enqueue(daemon int) {
	p.lastRequestID++
	p.queues[daemon].Enqueue(dispatch.Request{
		ID: p.lastRequestID, Account: accountName(int(p.lastRequestID) % p.accounts), Arrived: p.now,
		CostHint: dispatch.CostHint{Min: 10, Default: 500, Max: 1000},
	})
}

func (p *pool) advanceClock() time.Time {
	p.now = p.now.Add(time.Millisecond)
	return p.now
}

// handleReport passes a daemon's report to the dispatcher and delivers the resulting grants to the
// queues.
func (p *pool) handleReport(daemon int, r dispatch.Report) {
	for _, sent := range p.dispatcher.HandleReport(p.now, daemonName(daemon), r) {
		var to int
		if _, err := fmt.Sscanf(sent.Reporter, "d%d", &to); err != nil {
			panic(err)
		}
		for _, start := range p.queues[to].HandleBatch(p.now, sent.Batch) {
			p.running[to] = append(p.running[to], start.Request)
		}
	}
}

// replaceOldestRun ends the oldest run of a daemon, enqueues a new request and reports both.
func (p *pool) replaceOldestRun(daemon int) {
	if runs := p.running[daemon]; len(runs) > 0 {
		p.queues[daemon].End(p.now, runs[0], 300, false)
		p.running[daemon] = runs[1:]
	}
	p.enqueue(daemon)
	p.handleReport(daemon, p.queues[daemon].PartialReport(p.advanceClock()))
}

// reportTime returns the microseconds to end a run, enqueue a request, handle the partial report
// of both and grant the freed slot.
func reportTime(daemons, accounts, runs int) float64 {
	p := newPool(daemons, accounts, runs)
	daemon := 0
	return microsecondsPerCall(func() {
		daemon = (daemon + 1) % daemons
		p.replaceOldestRun(daemon)
	})
}
