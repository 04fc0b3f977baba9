package dispatch

import "time"

// upstream is the dispatcher's side towards another pool of the service, where it acts
// as a daemon does.
type upstream struct {
	link    grantLink
	held    map[GrantID]*grant // passed on, by the other pool's id
	ended   map[string]*costCounter
	results map[string]*resultCounter
	partial partial
}

// partial collects what the other pool should know before the next whole report.
type partial struct {
	released []uint64
	accounts map[string]bool
	urgent   bool // the other pool may have a free slot and not know that it is wanted
}

func (p *partial) empty() bool { return len(p.released)+len(p.accounts) == 0 }

func (p *partial) release(account string, id GrantID) {
	p.released = append(p.released, id.Seq)
	p.bid(account)
}

func (p *partial) bid(account string) {
	p.account(account)
	p.urgent = true
}

func (p *partial) account(id string) {
	if p.accounts == nil {
		p.accounts = map[string]bool{}
	}
	p.accounts[id] = true
}

func (d *Dispatcher) upstream(pool string) *upstream {
	u, ok := d.upstreams[pool]
	if !ok {
		u = &upstream{
			held:    map[GrantID]*grant{},
			ended:   map[string]*costCounter{},
			results: map[string]*resultCounter{},
		}
		d.upstreams[pool] = u
	}
	return u
}

func (u *upstream) endedRun(now time.Time, account string, cost Cost) {
	e, ok := u.ended[account]
	if !ok {
		e = &costCounter{}
		u.ended[account] = e
	}
	e.add(now, cost)
}

func (u *upstream) release(g *grant) {
	delete(u.held, g.origin.ID)
	u.partial.release(g.account.id, g.origin.ID)
}

// passResults keeps the results of a server of another pool for that pool.
func (d *Dispatcher) passResults(now time.Time, id string, failed, succeeded uint64) {
	for _, u := range d.upstreams {
		s, ok := u.results[id]
		if !ok {
			s = &resultCounter{ServerResults: ServerResults{Server: id}}
			u.results[id] = s
		}
		s.Failed += failed
		s.Succeeded += succeeded
		s.changed = now
	}
}

// Relay takes in a batch of another pool's dispatcher and passes its grants on. A grant
// for which nothing waits any more ends at once, which the next exchange tells.
func (d *Dispatcher) RelayBatch(now time.Time, pool string, b GrantBatch) []Send {
	u := d.upstream(pool)
	adopted, ok := u.link.accept(now, b)
	if !ok {
		return nil
	}
	if adopted {
		clear(u.ended)
	}
	batches := map[*node]*GrantBatch{}
	for _, g := range b.Grants {
		if !u.link.take(g.ID.Seq) {
			continue
		}
		if n, local := d.pass(now, u, b, pool, g); n != nil {
			d.addGrant(batches, n, local)
		}
	}
	return sends(batches)
}

// pass grants the local request of the account that has waited longest.
func (d *Dispatcher) pass(now time.Time, u *upstream, b GrantBatch, pool string, g Grant) (*node, Grant) {
	a := d.account(g.Account)
	n := a.source(true)
	if n == nil || u.link.lapsed(now, b.ReportSeq) {
		u.partial.release(g.Account, g.ID)
		return nil, Grant{}
	}
	origin := Origin{Pool: pool, ID: g.ID}
	return n, d.grant(now, n, a, g.Server, a.demands[n].Estimate, origin)
}

// Exchange returns the report to another pool's dispatcher, and false when there is
// nothing to tell.
func (d *Dispatcher) FullReport(now time.Time, pool string) (Report, bool) {
	if !d.heated(now) {
		return Report{}, false
	}
	u := d.upstream(pool)
	r := d.reportTo(u)
	for _, a := range d.accounts {
		if demand, ok := d.exchangeDemand(now, a); ok {
			r.Demands = append(r.Demands, demand)
		}
	}
	for id, e := range u.ended {
		if now.Sub(e.changed) < mention {
			r.EndedCosts = append(r.EndedCosts, EndedCost{Account: id, Cost: e.cost})
		}
	}
	for _, s := range u.results {
		if now.Sub(s.changed) < mention {
			r.Results = append(r.Results, s.ServerResults)
		}
	}
	for id, g := range u.held {
		r.Runs = append(r.Runs, Run{ID: id, Account: g.account.id, Server: g.server, Cost: g.cost, Estimate: g.charge})
	}
	if len(r.Demands)+len(r.EndedCosts)+len(r.Results)+len(r.Runs) == 0 && u.partial.empty() {
		return Report{}, false
	}
	u.partial = partial{}
	r.Seq = u.link.sent(now)
	r.sort()
	return r, true
}

// Urgent returns the partial report that another pool should have at once, and false when
// there is none.
func (d *Dispatcher) UrgentReport(now time.Time, pool string) (Report, bool) {
	u, ok := d.upstreams[pool]
	if !ok || !u.partial.urgent {
		return Report{}, false
	}
	return d.PartialReport(now, pool)
}

// Changes returns the partial report on what changed since the last report to the pool,
// and false when nothing did.
func (d *Dispatcher) PartialReport(now time.Time, pool string) (Report, bool) {
	u, ok := d.upstreams[pool]
	if !ok || !d.warm || u.partial.empty() {
		return Report{}, false
	}
	r := d.reportTo(u)
	r.Partial = true
	r.ReleasedSeqs = u.partial.released
	for id := range u.partial.accounts {
		demand, _ := d.exchangeDemand(now, d.account(id))
		r.Demands = append(r.Demands, demand)
		if e, ok := u.ended[id]; ok {
			r.EndedCosts = append(r.EndedCosts, EndedCost{Account: id, Cost: e.cost})
		}
	}
	u.partial = partial{}
	r.Seq = u.link.sent(now)
	r.sort()
	return r, true
}

func (d *Dispatcher) reportTo(u *upstream) Report {
	return Report{
		Incarnation:           d.incarnation,
		FromPool:              d.pool.Name,
		DispatcherIncarnation: u.link.dispatcher,
		LastGrantSeq:          u.link.lastGrant,
	}
}

// exchangeDemand returns what waits for the account at this pool's daemons.
func (d *Dispatcher) exchangeDemand(now time.Time, a *account) (Demand, bool) {
	demand := Demand{Account: a.id, Served: a.settled, Charged: a.running, Running: a.inFlight}
	for n, local := range a.demands {
		if n.key.pool {
			continue
		}
		demand.Waiting += local.Waiting
		if wait := now.Sub(local.since); wait >= demand.OldestWait {
			demand.OldestWait = wait
			demand.Estimate = local.Estimate
		}
	}
	return demand, demand.Waiting > 0 || now.Sub(a.changed) < mention
}
