package dispatchsim

import (
	"fmt"
	"slices"
	"time"

	"github.com/filbertrill/filbertrill/internal/dispatch"
)

func accountID(i int) string { return fmt.Sprintf("a%03d", i) }

// request is a simulated request.
type request struct {
	id      dispatch.RequestID
	account int // index
	daemon  *daemon
	cost    float64
	prefix  uint64 // 0 means none
	arrived time.Time
	started time.Time // at the server
	runs    int       // grants received
}

// workload submits the requests of all accounts and tracks them until they end.
type workload struct {
	fleet    *Fleet
	requests map[dispatch.RequestID]*request
	lastID   dispatch.RequestID
	meter    *meter
}

func newWorkload(f *Fleet) *workload {
	w := &workload{fleet: f, requests: map[dispatch.RequestID]*request{}}
	w.meter = newMeter(f)
	for i, a := range f.opts.Accounts {
		f.after(a.Start, func() { w.startAccount(i, a) })
	}
	return w
}

func (w *workload) startAccount(i int, a Account) {
	if a.Outstanding == 0 {
		w.generateArrivals(i, a)
		return
	}
	for n := range a.Outstanding {
		w.submit(i, a.Daemons[n%len(a.Daemons)])
	}
}

// generateArrivals submits a request now and schedules the next after an exponentially
// distributed interval, while the account is active.
func (w *workload) generateArrivals(i int, a Account) {
	if !w.isActive(a) {
		return
	}
	w.submit(i, a.Daemons[w.fleet.rand.IntN(len(a.Daemons))])
	interval := time.Duration(w.fleet.rand.ExpFloat64() * float64(a.MeanInterval))
	w.fleet.after(interval, func() { w.generateArrivals(i, a) })
}

func (w *workload) isActive(a Account) bool {
	end := a.End
	if end == 0 {
		end = w.fleet.opts.Length
	}
	return w.fleet.now.Sub(w.meter.startTime) < end
}

func (w *workload) submit(account, daemonIndex int) {
	f := w.fleet
	w.lastID++
	f.Result.Submitted++
	d := f.daemons[daemonIndex]
	r := &request{id: w.lastID, account: account, daemon: d, arrived: f.now}
	r.cost = f.opts.Accounts[account].Cost(f.rand)
	if n := f.opts.Accounts[account].SharedPrefixes; n > 0 {
		r.prefix = uint64(account*n + f.rand.IntN(n) + 1)
	}
	w.requests[r.id] = r
	w.meter.addWaiting(r, 1)
	d.queue.Enqueue(dispatch.Request{ID: r.id, Account: accountID(account), CostHint: w.hint(r), PrefixHashes: w.prefixHashes(r), Arrived: f.now})
	f.scheduleReport(d)
}

func (w *workload) prefixHashes(r *request) []uint64 {
	if r.prefix == 0 || w.fleet.opts.NoPrefixAffinity {
		return nil
	}
	return []uint64{r.prefix}
}

// hint returns the exact cost when HintErrorFactor is 1. Otherwise it returns a guess that is
// too high by the factor for even accounts and too low for odd ones.
func (w *workload) hint(r *request) dispatch.CostHint {
	factor := w.fleet.opts.HintErrorFactor
	if r.account%2 == 1 {
		factor = 1 / factor
	}
	if w.fleet.opts.HintErrorFactor == 1 {
		return dispatch.CostHint{Min: r.cost, Default: r.cost, Max: r.cost}
	}
	return dispatch.CostHint{Default: r.cost * factor}
}

func (w *workload) startRequest(d *daemon, s dispatch.Start) {
	r := w.requests[s.Request]
	r.runs++
	server := w.fleet.servers[s.Server]
	link := w.fleet.opts.Local
	if server.zone != d.zone {
		link = w.fleet.opts.Remote
	}
	w.meter.addWaiting(r, -1)
	w.meter.granted(r)
	w.fleet.after(w.fleet.delay(link), func() { server.admit(r) })
}

// updateCosts records the current costs of the running requests in the daemon's queue.
func (w *workload) updateCosts(d *daemon) {
	for _, r := range w.meter.running {
		if r.daemon == d {
			d.queue.Progress(r.id, w.fleet.deliveredCost(r))
		}
	}
}

func (w *workload) endRequest(r *request) {
	delete(w.requests, r.id)
	w.fleet.trace("%s: request %d of %s ends", r.daemon.id, r.id, accountID(r.account))
	r.daemon.queue.End(w.fleet.now, r.id, r.cost, false)
	w.fleet.scheduleReport(r.daemon)
	a := w.fleet.opts.Accounts[r.account]
	if a.Outstanding > 0 && w.isActive(a) {
		w.submit(r.account, r.daemon.index)
	}
}

// deliveredCost returns the cost that a running request has had so far.
func (f *Fleet) deliveredCost(r *request) float64 {
	return min(r.cost, f.now.Sub(r.started).Seconds()*f.opts.CostPerSecond)
}

// engine simulates a Server. It runs at most slots requests at once and queues the rest in
// order of arrival.
type engine struct {
	fleet          *Fleet
	zone           int
	slots          int
	running        int
	waiting        []*request
	cachedPrefixes []uint64 // most recently used last
}

// lookUpPrefix counts whether the request's prefix is cached, and caches it as the most
// recently used.
func (e *engine) lookUpPrefix(r *request) {
	if r.prefix == 0 {
		return
	}
	result := &e.fleet.Result
	result.PrefixLookups++
	if i := slices.Index(e.cachedPrefixes, r.prefix); i >= 0 {
		result.PrefixHits++
		e.cachedPrefixes = slices.Delete(e.cachedPrefixes, i, i+1)
	}
	e.cachedPrefixes = append(e.cachedPrefixes, r.prefix)
	if len(e.cachedPrefixes) > e.fleet.opts.CachedPrefixes {
		e.cachedPrefixes = e.cachedPrefixes[1:]
	}
}

func (e *engine) admit(r *request) {
	total := e.running + len(e.waiting) + 1
	e.fleet.Result.MaxOverSlots = max(e.fleet.Result.MaxOverSlots, total-e.slots)
	if e.running >= e.slots {
		e.waiting = append(e.waiting, r)
		return
	}
	e.run(r)
}

func (e *engine) run(r *request) {
	e.running++
	e.lookUpPrefix(r)
	f := e.fleet
	r.started = f.now
	f.trace("%s: request %d of %s starts", r.daemon.id, r.id, accountID(r.account))
	f.workload.meter.started(r)
	f.after(time.Duration(r.cost/f.opts.CostPerSecond*float64(time.Second)), func() { e.finish(r) })
}

func (e *engine) finish(r *request) {
	f := e.fleet
	e.running--
	if len(e.waiting) > 0 {
		next := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.run(next)
	}
	f.workload.meter.finished(r)
	link := f.opts.Local
	if e.zone != r.daemon.zone {
		link = f.opts.Remote
	}
	f.after(f.delay(link), func() { f.workload.endRequest(r) })
}
