package dispatch

import "time"

// upstream is the dispatcher's side towards another pool of the service, where it acts
// as a daemon does.
type remotePool struct {
	receiver      grantReceiver
	relayedGrants map[GrantID]*grant // passed on, by the other pool's id
	endedCosts    map[string]*costCounter
	results       map[string]*resultCounter
	pending       pendingPoolReport
}

// partial collects what the other pool should know before the next whole report.
type pendingPoolReport struct {
	releasedSeqs []uint64
	accounts     map[string]bool
	urgent       bool // the other pool may have a free slot and not know that it is wanted
}

func (p *pendingPoolReport) empty() bool { return len(p.releasedSeqs)+len(p.accounts) == 0 }

func (p *pendingPoolReport) addRelease(account string, id GrantID) {
	p.releasedSeqs = append(p.releasedSeqs, id.Seq)
	p.addBid(account)
}

func (p *pendingPoolReport) addBid(account string) {
	p.addAccount(account)
	p.urgent = true
}

func (p *pendingPoolReport) addAccount(id string) {
	if p.accounts == nil {
		p.accounts = map[string]bool{}
	}
	p.accounts[id] = true
}

func (d *Dispatcher) remotePool(pool string) *remotePool {
	u, ok := d.remotePools[pool]
	if !ok {
		u = &remotePool{
			relayedGrants: map[GrantID]*grant{},
			endedCosts:    map[string]*costCounter{},
			results:       map[string]*resultCounter{},
		}
		d.remotePools[pool] = u
	}
	return u
}

func (u *remotePool) addEndedCost(now time.Time, account string, cost Cost) {
	e, ok := u.endedCosts[account]
	if !ok {
		e = &costCounter{}
		u.endedCosts[account] = e
	}
	e.add(now, cost)
}

func (u *remotePool) releaseGrant(g *grant) {
	delete(u.relayedGrants, g.origin.ID)
	u.pending.addRelease(g.account.id, g.origin.ID)
}

// passResults keeps the results of a server of another pool for that pool.
func (d *Dispatcher) relayResults(now time.Time, id string, failed, succeeded uint64) {
	for _, u := range d.remotePools {
		s, ok := u.results[id]
		if !ok {
			s = &resultCounter{ServerResults: ServerResults{Server: id}}
			u.results[id] = s
		}
		s.Failed += failed
		s.Succeeded += succeeded
		s.changedAt = now
	}
}

// Relay takes in a batch of another pool's dispatcher and passes its grants on. A grant
// for which nothing waits any more ends at once, which the next exchange tells.
func (d *Dispatcher) RelayBatch(now time.Time, pool string, b GrantBatch) []Send {
	u := d.remotePool(pool)
	adopted, ok := u.receiver.acceptBatch(now, b)
	if !ok {
		return nil
	}
	if adopted {
		clear(u.endedCosts)
	}
	batches := map[*reporterState]*GrantBatch{}
	for _, g := range b.Grants {
		if !u.receiver.acceptGrant(g.ID.Seq) {
			continue
		}
		if n, local := d.relayGrant(now, u, b, pool, g); n != nil {
			d.appendGrant(batches, n, local)
		}
	}
	return sortedSends(batches)
}

// pass grants the local request of the account that has waited longest.
func (d *Dispatcher) relayGrant(now time.Time, u *remotePool, b GrantBatch, pool string, g Grant) (*reporterState, Grant) {
	a := d.account(g.Account)
	n := a.longestWaitingReporter(true)
	if n == nil || u.receiver.leaseExpired(now, b.ReportSeq) {
		u.pending.addRelease(g.Account, g.ID)
		return nil, Grant{}
	}
	origin := Origin{Pool: pool, ID: g.ID}
	return n, d.issueGrant(now, n, a, g.Server, a.demands[n].Estimate, origin)
}

// Exchange returns the report to another pool's dispatcher, and false when there is
// nothing to tell.
func (d *Dispatcher) FullReport(now time.Time, pool string) (Report, bool) {
	if !d.tryWarmUp(now) {
		return Report{}, false
	}
	u := d.remotePool(pool)
	r := d.newPoolReport(u)
	for _, a := range d.accounts {
		if demand, ok := d.poolDemand(now, a); ok {
			r.Demands = append(r.Demands, demand)
		}
	}
	for id, e := range u.endedCosts {
		if now.Sub(e.changedAt) < reportRetention {
			r.EndedCosts = append(r.EndedCosts, EndedCost{Account: id, Cost: e.cost})
		}
	}
	for _, s := range u.results {
		if now.Sub(s.changedAt) < reportRetention {
			r.Results = append(r.Results, s.ServerResults)
		}
	}
	for id, g := range u.relayedGrants {
		r.Runs = append(r.Runs, Run{ID: id, Account: g.account.id, Server: g.server, Cost: g.cost, Estimate: g.charge})
	}
	if len(r.Demands)+len(r.EndedCosts)+len(r.Results)+len(r.Runs) == 0 && u.pending.empty() {
		return Report{}, false
	}
	u.pending = pendingPoolReport{}
	r.Seq = u.receiver.nextReportSeq(now)
	r.sort()
	return r, true
}

// Urgent returns the partial report that another pool should have at once, and false when
// there is none.
func (d *Dispatcher) UrgentReport(now time.Time, pool string) (Report, bool) {
	u, ok := d.remotePools[pool]
	if !ok || !u.pending.urgent {
		return Report{}, false
	}
	return d.PartialReport(now, pool)
}

// Changes returns the partial report on what changed since the last report to the pool,
// and false when nothing did.
func (d *Dispatcher) PartialReport(now time.Time, pool string) (Report, bool) {
	u, ok := d.remotePools[pool]
	if !ok || !d.warm || u.pending.empty() {
		return Report{}, false
	}
	r := d.newPoolReport(u)
	r.Partial = true
	r.ReleasedSeqs = u.pending.releasedSeqs
	for id := range u.pending.accounts {
		demand, _ := d.poolDemand(now, d.account(id))
		r.Demands = append(r.Demands, demand)
		if e, ok := u.endedCosts[id]; ok {
			r.EndedCosts = append(r.EndedCosts, EndedCost{Account: id, Cost: e.cost})
		}
	}
	u.pending = pendingPoolReport{}
	r.Seq = u.receiver.nextReportSeq(now)
	r.sort()
	return r, true
}

func (d *Dispatcher) newPoolReport(u *remotePool) Report {
	return Report{
		Incarnation:           d.incarnation,
		FromPool:              d.pool.Name,
		DispatcherIncarnation: u.receiver.dispatcherIncarnation,
		LastGrantSeq:          u.receiver.lastGrantSeq,
	}
}

// exchangeDemand returns what waits for the account at this pool's daemons.
func (d *Dispatcher) poolDemand(now time.Time, a *account) (Demand, bool) {
	demand := Demand{Account: a.id, Served: a.endedCost, Charged: a.runningCharge, Running: a.inFlight}
	for n, local := range a.demands {
		if n.key.pool {
			continue
		}
		demand.Waiting += local.Waiting
		if wait := now.Sub(local.oldestArrival); wait >= demand.OldestWait {
			demand.OldestWait = wait
			demand.Estimate = local.Estimate
		}
	}
	return demand, demand.Waiting > 0 || now.Sub(a.serviceChangedAt) < reportRetention
}
