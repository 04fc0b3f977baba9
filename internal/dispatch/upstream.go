package dispatch

import "time"

// upstream is the dispatcher's side towards another pool of the service, where it acts
// as a daemon does.
type upstream struct {
	link    grantLink
	held    map[GrantID]*grant // passed on, by the other pool's id
	ended   map[string]*endedCost
	results map[string]*serverResults
	urgent  bool // the other pool has a slot free of which it does not know
}

func (d *Dispatcher) upstream(pool string) *upstream {
	u, ok := d.upstreams[pool]
	if !ok {
		u = &upstream{
			held:    map[GrantID]*grant{},
			ended:   map[string]*endedCost{},
			results: map[string]*serverResults{},
		}
		d.upstreams[pool] = u
	}
	return u
}

func (u *upstream) endedRun(now time.Time, account string, cost Cost) {
	e, ok := u.ended[account]
	if !ok {
		e = &endedCost{}
		u.ended[account] = e
	}
	e.add(now, cost)
}

func (u *upstream) release(g *grant) {
	delete(u.held, g.origin.ID)
	u.urgent = true
}

// passResults keeps the results of a server of another pool for that pool.
func (d *Dispatcher) passResults(now time.Time, id string, failed, succeeded uint64) {
	for _, u := range d.upstreams {
		s, ok := u.results[id]
		if !ok {
			s = &serverResults{Results: Results{Server: id}}
			u.results[id] = s
		}
		s.Failed += failed
		s.Succeeded += succeeded
		s.changed = now
	}
}

// Relay takes in a batch of another pool's dispatcher and passes its grants on. A grant
// for which nothing waits any more ends at once, which the next exchange tells.
func (d *Dispatcher) Relay(now time.Time, pool string, b Batch) []Send {
	u := d.upstream(pool)
	adopted, ok := u.link.accept(now, b)
	if !ok {
		return nil
	}
	if adopted {
		clear(u.ended)
	}
	batches := map[*node]*Batch{}
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
func (d *Dispatcher) pass(now time.Time, u *upstream, b Batch, pool string, g Grant) (*node, Grant) {
	a := d.account(g.Account)
	n := a.source(true)
	if n == nil || u.link.lapsed(now, b.ReportSeq) {
		u.urgent = true
		return nil, Grant{}
	}
	origin := Origin{Pool: pool, ID: g.ID}
	return n, d.grant(now, n, a, g.Server, a.demands[n].Estimate, origin)
}

// Urgent reports whether an exchange with the pool should not wait for its interval.
func (d *Dispatcher) Urgent(pool string) bool {
	u, ok := d.upstreams[pool]
	return ok && u.urgent && d.warm
}

// Exchange returns the report to another pool's dispatcher, and false when there is
// nothing to tell.
func (d *Dispatcher) Exchange(now time.Time, pool string) (Report, bool) {
	if !d.heated(now) {
		return Report{}, false
	}
	u := d.upstream(pool)
	r := Report{Incarnation: d.incarnation, FromPool: d.pool.Name, Dispatcher: u.link.dispatcher, LastGrant: u.link.lastGrant}
	for _, a := range d.accounts {
		if demand, ok := d.exchangeDemand(now, a); ok {
			r.Demands = append(r.Demands, demand)
		}
	}
	for id, e := range u.ended {
		if now.Sub(e.changed) < mention {
			r.Ended = append(r.Ended, Ended{Account: id, Cost: e.cost})
		}
	}
	for _, s := range u.results {
		if now.Sub(s.changed) < mention {
			r.Results = append(r.Results, s.Results)
		}
	}
	for id, g := range u.held {
		r.Runs = append(r.Runs, Run{ID: id, Account: g.account.id, Server: g.server, Cost: g.cost, Estimate: g.charge})
	}
	if len(r.Demands)+len(r.Ended)+len(r.Results)+len(r.Runs) == 0 && !u.urgent {
		return Report{}, false
	}
	u.urgent = false
	r.Seq = u.link.sent(now)
	r.sort()
	return r, true
}

// exchangeDemand returns what waits for the account at this pool's daemons.
func (d *Dispatcher) exchangeDemand(now time.Time, a *account) (Demand, bool) {
	demand := Demand{Account: a.id, Served: a.settled + a.running, Running: a.inFlight}
	for n, local := range a.demands {
		if n.key.pool {
			continue
		}
		demand.Waiting += local.Waiting
		if local.OldestWait >= demand.OldestWait {
			demand.OldestWait = local.OldestWait
			demand.Estimate = local.Estimate
		}
	}
	return demand, demand.Waiting > 0 || now.Sub(a.changed) < mention
}
