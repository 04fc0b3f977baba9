package dispatch

import "time"

// remotePool is the state that a dispatcher keeps for another pool of the service, to whose
// dispatcher it acts like a daemon.
type remotePool struct {
	receiver      grantReceiver
	relayedGrants map[GrantID]*grant        // by the ID of the other pool's grant
	endedCosts    map[string]*costCounter   // by account
	results       map[string]*resultCounter // by server
	pending       pendingPoolReport
}

// pendingPoolReport collects changes for the next partial report to another pool.
type pendingPoolReport struct {
	releasedSeqs []uint64
	accounts     map[string]bool
	urgent       bool // the other pool may have a free slot but not know of the demand
}

func (p *pendingPoolReport) empty() bool { return len(p.releasedSeqs)+len(p.accounts) == 0 }

// addRelease reports a grant as ended and the account's remaining demand, urgently.
func (p *pendingPoolReport) addRelease(account string, id GrantID) {
	p.releasedSeqs = append(p.releasedSeqs, id.Seq)
	p.addBid(account)
}

// addBid reports the account's demand urgently.
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

// remotePool returns the state of another pool, creating it if necessary.
func (d *Dispatcher) remotePool(pool string) *remotePool {
	remote, ok := d.remotePools[pool]
	if !ok {
		remote = &remotePool{
			relayedGrants: map[GrantID]*grant{},
			endedCosts:    map[string]*costCounter{},
			results:       map[string]*resultCounter{},
		}
		d.remotePools[pool] = remote
		for _, a := range d.accounts {
			a.setRemoteWeight(remoteServiceWeight(len(d.remotePools)))
		}
	}
	return remote
}

func (p *remotePool) addEndedCost(now time.Time, account string, cost Cost) {
	e, ok := p.endedCosts[account]
	if !ok {
		e = &costCounter{}
		p.endedCosts[account] = e
	}
	e.add(now, cost)
}

func (p *remotePool) releaseGrant(g *grant) {
	delete(p.relayedGrants, g.origin.ID)
	p.pending.addRelease(g.account.id, g.origin.ID)
}

// relayResults records results of a server that is not in this pool for the reports to the
// other pools.
func (d *Dispatcher) relayResults(now time.Time, id string, failed, succeeded uint64) {
	for _, remote := range d.remotePools {
		s, ok := remote.results[id]
		if !ok {
			s = &resultCounter{ServerResults: ServerResults{Server: id}}
			remote.results[id] = s
		}
		s.Failed += failed
		s.Succeeded += succeeded
		s.changedAt = now
	}
}

// RelayBatch relays the grants of another pool's dispatcher to this pool's daemons and returns
// the resulting batches. Expired grants and grants for which no request waits any more are
// released with the next report to that pool.
func (d *Dispatcher) RelayBatch(now time.Time, pool string, b GrantBatch) []Send {
	remote := d.remotePool(pool)
	newDispatcher, ok := remote.receiver.acceptBatch(now, b)
	if !ok {
		return nil
	}
	if newDispatcher {
		clear(remote.endedCosts)
	}
	batches := map[*reporterState]*GrantBatch{}
	for _, g := range b.Grants {
		if !remote.receiver.acceptGrant(g.ID.Seq) {
			continue
		}
		if reporter, localGrant := d.relayGrant(now, remote, b, pool, g); reporter != nil {
			d.appendGrant(batches, reporter, localGrant)
		}
	}
	return sortedSends(batches)
}

// relayGrant issues a local grant to the daemon whose request of the account has waited
// longest. It returns nil if no request waits or the grant has expired.
func (d *Dispatcher) relayGrant(now time.Time, remote *remotePool, b GrantBatch, pool string, g Grant) (*reporterState, Grant) {
	a := d.account(g.Account)
	reporter := a.longestWaitingReporter(true)
	if reporter == nil || remote.receiver.leaseExpired(now, b.ReportSeq) {
		remote.pending.addRelease(g.Account, g.ID)
		return nil, Grant{}
	}
	origin := Origin{Pool: pool, ID: g.ID}
	return reporter, d.issueGrant(now, reporter, a, g.Server, a.demands[reporter].Estimate, origin)
}

// FullReport returns a full report for another pool's dispatcher. It returns false if there is
// nothing to report or this dispatcher is not warm yet.
func (d *Dispatcher) FullReport(now time.Time, pool string) (Report, bool) {
	if !d.tryWarmUp(now) {
		return Report{}, false
	}
	remote := d.remotePool(pool)
	r := d.newPoolReport(remote)
	for _, a := range d.accounts {
		if demand, ok := d.poolDemand(now, a); ok {
			r.Demands = append(r.Demands, demand)
		}
	}
	for id, e := range remote.endedCosts {
		if now.Sub(e.changedAt) < reportRetention {
			r.EndedCosts = append(r.EndedCosts, EndedCost{Account: id, Cost: e.cost})
		}
	}
	for _, s := range remote.results {
		if now.Sub(s.changedAt) < reportRetention {
			r.Results = append(r.Results, s.ServerResults)
		}
	}
	for id, g := range remote.relayedGrants {
		r.Runs = append(r.Runs, Run{ID: id, Account: g.account.id, Server: g.server, Cost: g.cost, Estimate: g.charge})
	}
	if len(r.Demands)+len(r.EndedCosts)+len(r.Results)+len(r.Runs) == 0 && remote.pending.empty() {
		return Report{}, false
	}
	remote.pending = pendingPoolReport{}
	r.Seq = remote.receiver.nextReportSeq(now)
	r.sort()
	return r, true
}

// UrgentReport returns a partial report if a change is pending that the other pool should
// receive at once: a released grant or a new bid. Otherwise it returns false.
func (d *Dispatcher) UrgentReport(now time.Time, pool string) (Report, bool) {
	remote, ok := d.remotePools[pool]
	if !ok || !remote.pending.urgent {
		return Report{}, false
	}
	return d.PartialReport(now, pool)
}

// PartialReport returns the changes since the last report to the pool. It returns false if
// there are none.
func (d *Dispatcher) PartialReport(now time.Time, pool string) (Report, bool) {
	remote, ok := d.remotePools[pool]
	if !ok || !d.warm || remote.pending.empty() {
		return Report{}, false
	}
	r := d.newPoolReport(remote)
	r.Partial = true
	r.ReleasedSeqs = remote.pending.releasedSeqs
	for id := range remote.pending.accounts {
		demand, _ := d.poolDemand(now, d.account(id))
		r.Demands = append(r.Demands, demand)
		if e, ok := remote.endedCosts[id]; ok {
			r.EndedCosts = append(r.EndedCosts, EndedCost{Account: id, Cost: e.cost})
		}
	}
	remote.pending = pendingPoolReport{}
	r.Seq = remote.receiver.nextReportSeq(now)
	r.sort()
	return r, true
}

// newPoolReport returns a report without content. The caller sets Seq when it is to be sent.
func (d *Dispatcher) newPoolReport(remote *remotePool) Report {
	return Report{
		Incarnation:           d.incarnation,
		FromPool:              d.pool.Name,
		DispatcherIncarnation: remote.receiver.dispatcherIncarnation,
		LastGrantSeq:          remote.receiver.lastGrantSeq,
	}
}

// poolDemand returns the account's demand at this pool's daemons and its service in this pool.
// It returns false if a full report may omit the account.
func (d *Dispatcher) poolDemand(now time.Time, a *account) (Demand, bool) {
	demand := Demand{Account: a.id, Served: a.endedCost, Charged: a.runningCharge, Running: a.inFlight}
	for reporter, localDemand := range a.demands {
		if reporter.key.isPool {
			continue
		}
		demand.Waiting += localDemand.Waiting
		if wait := now.Sub(localDemand.oldestArrival); wait >= demand.OldestWait {
			demand.OldestWait = wait
			demand.Estimate = localDemand.Estimate
		}
	}
	return demand, demand.Waiting > 0 || now.Sub(a.serviceChangedAt) < reportRetention
}
