package dispatch

import (
	"maps"
	"time"
)

// reporter names a sender of reports: a daemon, or another pool of the service.
type reporterKey struct {
	name string
	pool bool
}

// node is what a dispatcher knows of a reporter.
type reporterState struct {
	key                reporterKey
	incarnation        uint64
	seq                uint64
	lastReportAt       time.Time
	hasBaseline        bool // a whole report of the incarnation has come
	countsFromZero     bool // its service counts from the beginning of its incarnation
	endedCosts         map[endedCostKey]Cost
	results            map[string]ServerResults
	grants             map[GrantID]*grant
	unackedGrants      map[string]int // grants by account that it has not answered
	accountsWithDemand map[string]bool
}

type grant struct {
	id          GrantID
	origin      Origin
	account     *account
	server      string
	cost        Cost // so far
	charge      Cost
	priorCharge Cost // part of the charge that an earlier dispatcher has counted
	sentAt      time.Time
	acked       bool
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

// newer reports whether the report is later than the last one.
func (n *reporterState) isNewer(r Report) bool {
	if n.incarnation != r.Incarnation {
		return r.Incarnation > n.incarnation
	}
	return r.Seq > n.seq
}

// lease returns how long a grant to the node may stay unanswered. Another pool passes it
// on, which takes up to a lease more.
func (n *reporterState) grantLease() time.Duration {
	if n.key.pool {
		return 2 * GrantLease
	}
	return GrantLease
}

func (n *reporterState) ackGrant(g *grant) {
	if g.acked {
		return
	}
	g.acked = true
	n.unackedGrants[g.account.id]--
}

// report takes in the reporter's whole state.
func (d *Dispatcher) applyReport(now time.Time, key reporterKey, r Report) bool {
	n, ok := d.reporters[key]
	if ok && !n.isNewer(r) {
		return false
	}
	if !ok {
		n = newReporterState(key, r.Incarnation)
		d.reporters[key] = n
	}
	if n.incarnation != r.Incarnation {
		d.resetReporter(now, n, r)
	}
	if !n.hasBaseline {
		d.setBaseline(n, r)
		n.hasBaseline = !r.Partial
	}
	n.seq = r.Seq
	n.lastReportAt = now
	d.reconcileRuns(now, n, r)
	d.applyEndedCosts(now, n, r)
	d.applyResults(now, n, r)
	d.applyDemands(now, n, r)
	return true
}

// baseline keeps what happened before the reporter became known from being counted again.
func (d *Dispatcher) setBaseline(n *reporterState, r Report) {
	for _, s := range r.Results {
		if _, ok := n.results[s.Server]; !ok {
			n.results[s.Server] = s
		}
	}
	if r.DispatcherIncarnation != d.incarnation {
		return
	}
	for _, e := range r.EndedCosts {
		key := endedCostKey{e.Account, e.Pool}
		if _, ok := n.endedCosts[key]; !ok {
			n.endedCosts[key] = e.Cost
		}
	}
}

// restart begins a new incarnation of a reporter. The service of a pool's new dispatcher
// counts from its beginning.
func (d *Dispatcher) resetReporter(now time.Time, n *reporterState, r Report) {
	n.incarnation = r.Incarnation
	n.countsFromZero = true
	n.hasBaseline = false
	clear(n.endedCosts)
	clear(n.results)
	if n.key.pool {
		d.dropRemoteServices(n.key.name)
	} else {
		d.dropGrants(now, n)
	}
}

// dropGrants ends the grants of a reporter whose runs are lost. What they were charged stays charged.
func (d *Dispatcher) dropGrants(now time.Time, n *reporterState) {
	for _, g := range n.grants {
		if g.origin.Pool == "" {
			g.account.endedCost += g.charge - g.priorCharge
		}
		d.releaseGrant(now, n, g)
	}
}

// settleRuns brings the grants held in line with what the reporter says it runs.
func (d *Dispatcher) reconcileRuns(now time.Time, n *reporterState, r Report) {
	held := make(map[GrantID]bool, len(r.Runs))
	for _, run := range r.Runs {
		held[run.ID] = true
		g, ok := n.grants[run.ID]
		if !ok {
			g = d.adoptRun(now, n, run)
		}
		n.ackGrant(g)
		g.cost = run.Cost
		d.updateCharge(now, g, max(run.Cost, run.Estimate))
	}
	for _, seq := range r.ReleasedSeqs {
		if g, ok := n.grants[GrantID{DispatcherIncarnation: r.DispatcherIncarnation, Seq: seq}]; ok {
			n.ackGrant(g)
			d.releaseEndedGrant(now, n, g, r)
		}
	}
	if r.Partial {
		return
	}
	for id, g := range n.grants {
		if id.DispatcherIncarnation == d.incarnation && r.DispatcherIncarnation == d.incarnation && id.Seq <= r.LastGrantSeq {
			n.ackGrant(g)
		}
		if g.acked && !held[id] {
			d.releaseEndedGrant(now, n, g, r)
		}
	}
}

// releaseEnded ends a grant whose whole cost the reporter counts as ended.
func (d *Dispatcher) releaseEndedGrant(now time.Time, n *reporterState, g *grant, r Report) {
	if g.origin.Pool == "" && r.DispatcherIncarnation == d.incarnation {
		g.account.endedCost -= g.priorCharge
	}
	d.releaseGrant(now, n, g)
}

// adopt takes over a run that an earlier dispatcher granted, and charged.
func (d *Dispatcher) adoptRun(now time.Time, n *reporterState, run Run) *grant {
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
	d.recordGrant(now, n, g)
	return g
}

func (d *Dispatcher) applyEndedCosts(now time.Time, n *reporterState, r Report) {
	if r.DispatcherIncarnation != d.incarnation {
		return
	}
	for _, e := range r.EndedCosts {
		key := endedCostKey{e.Account, e.Pool}
		added := e.Cost - n.endedCosts[key]
		if added <= 0 {
			continue
		}
		n.endedCosts[key] = e.Cost
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

func (d *Dispatcher) applyResults(now time.Time, n *reporterState, r Report) {
	for _, s := range r.Results {
		old := n.results[s.Server]
		failed, succeeded := s.Failed-old.Failed, s.Succeeded-old.Succeeded
		if failed == 0 && succeeded == 0 {
			continue
		}
		n.results[s.Server] = s
		if own, ok := d.servers[s.Server]; ok {
			d.recordResults(now, own, failed, succeeded)
		} else if !n.key.pool {
			d.relayResults(now, s.Server, failed, succeeded)
		}
	}
}

func (d *Dispatcher) applyDemands(now time.Time, n *reporterState, r Report) {
	mentioned := make(map[string]bool, len(r.Demands))
	for i := range r.Demands {
		demand := r.Demands[i]
		demand.oldestArrival = now.Add(-demand.OldestWait)
		mentioned[demand.Account] = true
		d.setDemand(n, &demand)
	}
	for id := range n.accountsWithDemand {
		if !mentioned[id] && !r.Partial {
			d.dropDemand(n, id)
			delete(n.accountsWithDemand, id)
		}
	}
	maps.Copy(n.accountsWithDemand, mentioned)
}

func (d *Dispatcher) setDemand(n *reporterState, demand *Demand) {
	a := d.account(demand.Account)
	if n.key.pool {
		a.setRemoteService(n.key.name, demand, n.countsFromZero)
	}
	if !d.warm {
		a.hasReportedVirtualTime = a.hasReportedVirtualTime || demand.VirtualTime > 0
		a.raiseVirtualTime(demand.VirtualTime)
	}
	demand.Waiting = max(0, demand.Waiting-n.unackedGrants[demand.Account])
	before := a.waiting
	a.replaceDemand(n, demand)
	if before == 0 && a.waiting > 0 {
		a.raiseVirtualTime(d.systemVirtualTime) // idleness earns no credit
		if !n.key.pool {
			d.newlyWaiting = append(d.newlyWaiting, a)
		}
	}
	d.backlog.update(a)
}

func (d *Dispatcher) dropDemand(n *reporterState, id string) {
	a := d.account(id)
	a.replaceDemand(n, &Demand{Account: id})
	d.backlog.update(a)
}

// forget drops a reporter that is silent.
func (d *Dispatcher) removeReporter(now time.Time, n *reporterState) {
	d.dropGrants(now, n)
	for id := range n.accountsWithDemand {
		d.dropDemand(n, id)
	}
	if n.key.pool {
		d.dropRemoteServices(n.key.name)
	}
	delete(d.reporters, n.key)
}
