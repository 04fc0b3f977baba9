package dispatch

import (
	"maps"
	"time"
)

// reporterKey identifies a sender of reports: a daemon or another pool of the service.
type reporterKey struct {
	name   string
	isPool bool
}

// reporterState is the state of a reporter at a dispatcher.
type reporterState struct {
	key                reporterKey
	incarnation        uint64
	seq                uint64
	lastReportAt       time.Time
	hasBaseline        bool // a full report of the incarnation was received
	countsFromZero     bool // its service counts from the start of its incarnation
	endedCosts         map[endedCostKey]Cost
	results            map[string]ServerResults
	grants             map[GrantID]*grant // not ended
	unackedGrants      map[string]int     // unacknowledged grants by account
	accountsWithDemand map[string]bool
}

// grant is a grant that a dispatcher issued or adopted and that has not ended.
type grant struct {
	id          GrantID
	origin      Origin
	account     *account
	server      string
	cost        Cost // so far
	charge      Cost // higher of the cost so far and the estimate
	priorCharge Cost // part of the charge that an earlier dispatcher already counted
	sentAt      time.Time
	acked       bool // the reporter has received the grant, or its lease expired
}

func newReporterState(key reporterKey, incarnation uint64) *reporterState {
	return &reporterState{
		key:                key,
		incarnation:        incarnation,
		endedCosts:         map[endedCostKey]Cost{},
		results:            map[string]ServerResults{},
		grants:             map[GrantID]*grant{},
		unackedGrants:      map[string]int{},
		accountsWithDemand: map[string]bool{},
	}
}

// isNewer reports whether the report is newer than the last one applied.
func (s *reporterState) isNewer(r Report) bool {
	if s.incarnation != r.Incarnation {
		return r.Incarnation > s.incarnation
	}
	return r.Seq > s.seq
}

// grantLease returns how long a grant may stay unacknowledged. Another pool relays the grant,
// which takes up to one more lease.
func (s *reporterState) grantLease() time.Duration {
	if s.key.isPool {
		return 2 * GrantLease
	}
	return GrantLease
}

// ackGrant marks a grant as acknowledged, so that it no longer reduces reported demand.
func (s *reporterState) ackGrant(g *grant) {
	if g.acked {
		return
	}
	g.acked = true
	s.unackedGrants[g.account.id]--
}

// applyReport updates the state of the reporter. It returns false if the report is outdated.
func (d *Dispatcher) applyReport(now time.Time, key reporterKey, r Report) bool {
	reporter, ok := d.reporters[key]
	if ok && !reporter.isNewer(r) {
		return false
	}
	if !ok {
		reporter = newReporterState(key, r.Incarnation)
		d.reporters[key] = reporter
	}
	if reporter.incarnation != r.Incarnation {
		d.resetReporter(now, reporter, r)
	}
	if !reporter.hasBaseline {
		d.setBaseline(reporter, r)
		reporter.hasBaseline = !r.Partial
	}
	reporter.seq = r.Seq
	reporter.lastReportAt = now
	d.reconcileRuns(now, reporter, r)
	d.applyEndedCosts(now, reporter, r)
	d.applyResults(now, reporter, r)
	d.applyDemands(now, reporter, r)
	return true
}

// setBaseline records the counters of a new reporter, so that earlier results and costs are
// not counted again.
func (d *Dispatcher) setBaseline(reporter *reporterState, r Report) {
	for _, s := range r.Results {
		if _, ok := reporter.results[s.Server]; !ok {
			reporter.results[s.Server] = s
		}
	}
	if r.DispatcherIncarnation != d.incarnation {
		return
	}
	for _, e := range r.EndedCosts {
		key := endedCostKey{e.Account, e.Pool}
		if _, ok := reporter.endedCosts[key]; !ok {
			reporter.endedCosts[key] = e.Cost
		}
	}
}

// resetReporter starts a new incarnation of a reporter. The service that a pool's new
// dispatcher reports counts from its start.
func (d *Dispatcher) resetReporter(now time.Time, reporter *reporterState, r Report) {
	reporter.incarnation = r.Incarnation
	reporter.countsFromZero = true
	reporter.hasBaseline = false
	clear(reporter.endedCosts)
	clear(reporter.results)
	if reporter.key.isPool {
		d.dropRemoteServices(reporter.key.name)
	} else {
		d.dropGrants(now, reporter)
	}
}

// dropGrants releases the grants of a reporter whose runs are lost. The accounts remain
// charged for them.
func (d *Dispatcher) dropGrants(now time.Time, reporter *reporterState) {
	for _, g := range reporter.grants {
		if g.origin.Pool == "" {
			g.account.endedCost += g.charge - g.priorCharge
		}
		d.releaseGrant(now, reporter, g)
	}
}

// reconcileRuns updates the reporter's grants to match the runs in its report.
func (d *Dispatcher) reconcileRuns(now time.Time, reporter *reporterState, r Report) {
	running := make(map[GrantID]bool, len(r.Runs))
	for _, run := range r.Runs {
		running[run.ID] = true
		g, ok := reporter.grants[run.ID]
		if !ok {
			g = d.adoptRun(now, reporter, run)
		}
		reporter.ackGrant(g)
		g.cost = run.Cost
		d.updateCharge(now, g, max(run.Cost, run.Estimate))
	}
	for _, seq := range r.ReleasedSeqs {
		if g, ok := reporter.grants[GrantID{DispatcherIncarnation: r.DispatcherIncarnation, Seq: seq}]; ok {
			reporter.ackGrant(g)
			d.releaseEndedGrant(now, reporter, g, r)
		}
	}
	if r.Partial {
		return
	}
	for id, g := range reporter.grants {
		if id.DispatcherIncarnation == d.incarnation && r.DispatcherIncarnation == d.incarnation && id.Seq <= r.LastGrantSeq {
			reporter.ackGrant(g)
		}
		if g.acked && !running[id] {
			d.releaseEndedGrant(now, reporter, g, r)
		}
	}
}

// releaseEndedGrant releases a grant whose total cost is part of the reported ended costs.
// The part that an earlier dispatcher counted is deducted.
func (d *Dispatcher) releaseEndedGrant(now time.Time, reporter *reporterState, g *grant, r Report) {
	if g.origin.Pool == "" && r.DispatcherIncarnation == d.incarnation {
		g.account.endedCost -= g.priorCharge
	}
	d.releaseGrant(now, reporter, g)
}

// adoptRun records a run that an earlier dispatcher granted and charged.
func (d *Dispatcher) adoptRun(now time.Time, reporter *reporterState, run Run) *grant {
	charge := max(run.Cost, run.Estimate)
	g := &grant{
		id:          run.ID,
		origin:      run.Origin,
		account:     d.account(run.Account),
		server:      run.Server,
		charge:      charge,
		priorCharge: charge,
		acked:       true,
	}
	d.recordGrant(now, reporter, g)
	return g
}

// applyEndedCosts adds the increase of the reported ended costs to the accounts, or to the
// pool that the servers belong to.
func (d *Dispatcher) applyEndedCosts(now time.Time, reporter *reporterState, r Report) {
	if r.DispatcherIncarnation != d.incarnation {
		return
	}
	for _, e := range r.EndedCosts {
		key := endedCostKey{e.Account, e.Pool}
		added := e.Cost - reporter.endedCosts[key]
		if added <= 0 {
			continue
		}
		reporter.endedCosts[key] = e.Cost
		if e.Pool != "" {
			d.remotePool(e.Pool).addEndedCost(now, e.Account, added)
			continue
		}
		a := d.account(e.Account)
		a.endedCost += added
		d.endedCost += added
		d.serviceChanged(now, a)
	}
}

// applyResults records new results of servers of this pool, and relays a daemon's results of
// other servers to the other pools.
func (d *Dispatcher) applyResults(now time.Time, reporter *reporterState, r Report) {
	for _, s := range r.Results {
		old := reporter.results[s.Server]
		failed, succeeded := s.Failed-old.Failed, s.Succeeded-old.Succeeded
		if failed == 0 && succeeded == 0 {
			continue
		}
		reporter.results[s.Server] = s
		if own, ok := d.servers[s.Server]; ok {
			d.recordResults(now, own, failed, succeeded)
		} else if !reporter.key.isPool {
			d.relayResults(now, s.Server, failed, succeeded)
		}
	}
}

// applyDemands replaces the demands of the accounts in the report. A full report removes
// those of all other accounts.
func (d *Dispatcher) applyDemands(now time.Time, reporter *reporterState, r Report) {
	reported := make(map[string]bool, len(r.Demands))
	for i := range r.Demands {
		demand := r.Demands[i]
		demand.oldestArrival = now.Add(-demand.OldestWait)
		reported[demand.Account] = true
		d.setDemand(reporter, &demand)
	}
	for id := range reporter.accountsWithDemand {
		if !reported[id] && !r.Partial {
			d.dropDemand(reporter, id)
			delete(reporter.accountsWithDemand, id)
		}
	}
	maps.Copy(reporter.accountsWithDemand, reported)
}

// setDemand replaces the reporter's demand of one account. Requests for which the reporter
// has not yet acknowledged a grant are deducted.
func (d *Dispatcher) setDemand(reporter *reporterState, demand *Demand) {
	a := d.account(demand.Account)
	if reporter.key.isPool {
		a.setRemoteService(reporter.key.name, demand, reporter.countsFromZero)
	}
	if !d.warm {
		a.hasReportedVirtualTime = a.hasReportedVirtualTime || demand.VirtualTime > 0
		a.raiseVirtualTime(demand.VirtualTime)
	}
	demand.Waiting = max(0, demand.Waiting-reporter.unackedGrants[demand.Account])
	waitingBefore := a.waiting
	a.replaceDemand(reporter, demand)
	if waitingBefore == 0 && a.waiting > 0 {
		a.raiseVirtualTime(d.systemVirtualTime) // an idle account earns no credit
		if !reporter.key.isPool {
			d.newlyWaiting = append(d.newlyWaiting, a)
		}
	}
	d.backlog.update(a)
}

func (d *Dispatcher) dropDemand(reporter *reporterState, id string) {
	a := d.account(id)
	a.replaceDemand(reporter, &Demand{Account: id})
	d.backlog.update(a)
}

// removeReporter removes a reporter that has stopped sending reports.
func (d *Dispatcher) removeReporter(now time.Time, reporter *reporterState) {
	d.dropGrants(now, reporter)
	for id := range reporter.accountsWithDemand {
		d.dropDemand(reporter, id)
	}
	if reporter.key.isPool {
		d.dropRemoteServices(reporter.key.name)
	}
	delete(d.reporters, reporter.key)
}
