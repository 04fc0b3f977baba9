package dispatch

import (
	"maps"
	"time"
)

// reporter names a sender of reports: a daemon, or another pool of the service.
type reporter struct {
	name string
	pool bool
}

// node is what a dispatcher knows of a reporter.
type node struct {
	key         reporter
	incarnation uint64
	seq         uint64
	seen        time.Time
	based       bool // a whole report of the incarnation has come
	raw         bool // its service counts from the beginning of its incarnation
	ended       map[endedKey]Cost
	results     map[string]ServerResults
	grants      map[GrantID]*grant
	unseen      map[string]int // grants by account that it has not answered
	demands     map[string]bool
}

type grant struct {
	id      GrantID
	origin  Origin
	account *account
	server  string
	cost    Cost // so far
	charge  Cost
	base    Cost // part of the charge that an earlier dispatcher has counted
	sent    time.Time
	acked   bool
}

func newNode(key reporter, incarnation uint64) *node {
	return &node{
		key:         key,
		incarnation: incarnation,
		ended:       map[endedKey]Cost{},
		results:     map[string]ServerResults{},
		grants:      map[GrantID]*grant{},
		unseen:      map[string]int{},
		demands:     map[string]bool{},
	}
}

// newer reports whether the report is later than the last one.
func (n *node) newer(r Report) bool {
	if n.incarnation != r.Incarnation {
		return r.Incarnation > n.incarnation
	}
	return r.Seq > n.seq
}

// lease returns how long a grant to the node may stay unanswered. Another pool passes it
// on, which takes up to a lease more.
func (n *node) lease() time.Duration {
	if n.key.pool {
		return 2 * GrantLease
	}
	return GrantLease
}

func (n *node) ack(g *grant) {
	if g.acked {
		return
	}
	g.acked = true
	n.unseen[g.account.id]--
}

// report takes in the reporter's whole state.
func (d *Dispatcher) report(now time.Time, key reporter, r Report) bool {
	n, ok := d.nodes[key]
	if ok && !n.newer(r) {
		return false
	}
	if !ok {
		n = newNode(key, r.Incarnation)
		d.nodes[key] = n
	}
	if n.incarnation != r.Incarnation {
		d.restart(now, n, r)
	}
	if !n.based {
		d.baseline(n, r)
		n.based = !r.Partial
	}
	n.seq = r.Seq
	n.seen = now
	d.settleRuns(now, n, r)
	d.settleEnded(now, n, r)
	d.settleResults(now, n, r)
	d.setDemands(now, n, r)
	return true
}

// baseline keeps what happened before the reporter became known from being counted again.
func (d *Dispatcher) baseline(n *node, r Report) {
	for _, s := range r.Results {
		if _, ok := n.results[s.Server]; !ok {
			n.results[s.Server] = s
		}
	}
	if r.DispatcherIncarnation != d.incarnation {
		return
	}
	for _, e := range r.EndedCosts {
		key := endedKey{e.Account, e.Pool}
		if _, ok := n.ended[key]; !ok {
			n.ended[key] = e.Cost
		}
	}
}

// restart begins a new incarnation of a reporter. The service of a pool's new dispatcher
// counts from its beginning.
func (d *Dispatcher) restart(now time.Time, n *node, r Report) {
	n.incarnation = r.Incarnation
	n.raw = true
	n.based = false
	clear(n.ended)
	clear(n.results)
	if n.key.pool {
		d.dropRemote(n.key.name)
	} else {
		d.dropGrants(now, n)
	}
}

// dropGrants ends the grants of a reporter whose runs are lost. What they were charged stays charged.
func (d *Dispatcher) dropGrants(now time.Time, n *node) {
	for _, g := range n.grants {
		if g.origin.Pool == "" {
			g.account.settled += g.charge - g.base
		}
		d.release(now, n, g)
	}
}

// settleRuns brings the grants held in line with what the reporter says it runs.
func (d *Dispatcher) settleRuns(now time.Time, n *node, r Report) {
	held := make(map[GrantID]bool, len(r.Runs))
	for _, run := range r.Runs {
		held[run.ID] = true
		g, ok := n.grants[run.ID]
		if !ok {
			g = d.adopt(now, n, run)
		}
		n.ack(g)
		g.cost = run.Cost
		d.recharge(now, g, max(run.Cost, run.Estimate))
	}
	for _, seq := range r.ReleasedSeqs {
		if g, ok := n.grants[GrantID{DispatcherIncarnation: r.DispatcherIncarnation, Seq: seq}]; ok {
			n.ack(g)
			d.releaseEnded(now, n, g, r)
		}
	}
	if r.Partial {
		return
	}
	for id, g := range n.grants {
		if id.DispatcherIncarnation == d.incarnation && r.DispatcherIncarnation == d.incarnation && id.Seq <= r.LastGrantSeq {
			n.ack(g)
		}
		if g.acked && !held[id] {
			d.releaseEnded(now, n, g, r)
		}
	}
}

// releaseEnded ends a grant whose whole cost the reporter counts as ended.
func (d *Dispatcher) releaseEnded(now time.Time, n *node, g *grant, r Report) {
	if g.origin.Pool == "" && r.DispatcherIncarnation == d.incarnation {
		g.account.settled -= g.base
	}
	d.release(now, n, g)
}

// adopt takes over a run that an earlier dispatcher granted, and charged.
func (d *Dispatcher) adopt(now time.Time, n *node, run Run) *grant {
	charge := max(run.Cost, run.Estimate)
	g := &grant{
		id:      run.ID,
		origin:  run.Origin,
		account: d.account(run.Account),
		server:  run.Server,
		charge:  charge,
		base:    charge,
		acked:   true,
	}
	d.hold(now, n, g)
	return g
}

func (d *Dispatcher) settleEnded(now time.Time, n *node, r Report) {
	if r.DispatcherIncarnation != d.incarnation {
		return
	}
	for _, e := range r.EndedCosts {
		key := endedKey{e.Account, e.Pool}
		added := e.Cost - n.ended[key]
		if added <= 0 {
			continue
		}
		n.ended[key] = e.Cost
		if e.Pool != "" {
			d.upstream(e.Pool).endedRun(now, e.Account, added)
			continue
		}
		a := d.account(e.Account)
		a.settled += added
		d.settled += added
		d.touch(now, a)
	}
}

func (d *Dispatcher) settleResults(now time.Time, n *node, r Report) {
	for _, s := range r.Results {
		old := n.results[s.Server]
		failed, succeeded := s.Failed-old.Failed, s.Succeeded-old.Succeeded
		if failed == 0 && succeeded == 0 {
			continue
		}
		n.results[s.Server] = s
		if own, ok := d.servers[s.Server]; ok {
			d.results(now, own, failed, succeeded)
		} else if !n.key.pool {
			d.passResults(now, s.Server, failed, succeeded)
		}
	}
}

func (d *Dispatcher) setDemands(now time.Time, n *node, r Report) {
	mentioned := make(map[string]bool, len(r.Demands))
	for i := range r.Demands {
		demand := r.Demands[i]
		demand.since = now.Add(-demand.OldestWait)
		mentioned[demand.Account] = true
		d.setDemand(n, &demand)
	}
	for id := range n.demands {
		if !mentioned[id] && !r.Partial {
			d.dropDemand(n, id)
			delete(n.demands, id)
		}
	}
	maps.Copy(n.demands, mentioned)
}

func (d *Dispatcher) setDemand(n *node, demand *Demand) {
	a := d.account(demand.Account)
	if n.key.pool {
		a.setRemote(n.key.name, demand, n.raw)
	}
	if !d.warm {
		a.told = a.told || demand.VirtualTime > 0
		a.raise(demand.VirtualTime)
	}
	demand.Waiting = max(0, demand.Waiting-n.unseen[demand.Account])
	before := a.backlog
	a.replace(n, demand)
	if before == 0 && a.backlog > 0 {
		a.raise(d.floor) // idleness earns no credit
		if !n.key.pool {
			d.begun = append(d.begun, a)
		}
	}
	d.backlog.update(a)
}

func (d *Dispatcher) dropDemand(n *node, id string) {
	a := d.account(id)
	a.replace(n, &Demand{Account: id})
	d.backlog.update(a)
}

// forget drops a reporter that is silent.
func (d *Dispatcher) forget(now time.Time, n *node) {
	d.dropGrants(now, n)
	for id := range n.demands {
		d.dropDemand(n, id)
	}
	if n.key.pool {
		d.dropRemote(n.key.name)
	}
	delete(d.nodes, n.key)
}
