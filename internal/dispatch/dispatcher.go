package dispatch

import (
	"sort"
	"time"
)

// Timing of a dispatcher.
const (
	// ReportTTL is how long the state of a reporter remains valid without a newer report.
	ReportTTL = 5 * time.Second
	// WarmUpTimeout is how long a new dispatcher waits for the first reports of the expected
	// daemons before it issues grants without them.
	WarmUpTimeout = time.Second
	// remoteRequestMargin is how much longer a request of another pool must have waited to
	// take precedence over a local request of the same account.
	remoteRequestMargin = 1000 * time.Millisecond
)

// Dispatcher grants the slots of one pool to the waiting account with the least virtual
// time. It implements start-time fair queueing (Goyal, Vin and Cheng 1996) over slots:
// a grant is charged by the estimated cost, and reports correct the charge.
//
// To the dispatchers of the service's other pools it acts like a daemon: it reports the
// requests that wait in its own pool and relays their grants. These reports also contain
// the service that each account received from this pool, so that an account's virtual time
// includes its service in all pools. All state is soft: a new dispatcher rebuilds it from
// reports.
type Dispatcher struct {
	incarnation       uint64
	pool              Pool
	slots             int // of schedulable servers
	servers           map[string]*server
	accounts          map[string]*account
	reporters         map[reporterKey]*reporterState
	remotePools       map[string]*remotePool
	backlog           backlogHeap
	endedCost         Cost // total cost of ended grants
	endedGrants       int
	systemVirtualTime float64 // highest earned virtual time at a grant, never decreases; accounts that start to wait begin there
	lastGrantSeq      uint64
	newlyWaiting      []*account // accounts that started to wait with the current report
	createdAt         time.Time
	warm              bool            // may issue grants
	awaitedDaemons    map[string]bool // expected daemons that have not sent a full report
}

// NewDispatcher returns a dispatcher that issues no grants until it has received a full
// report from every expected daemon or WarmUpTimeout has passed. The incarnation must be
// higher than that of every earlier dispatcher of the pool.
func NewDispatcher(now time.Time, incarnation uint64, pool Pool, expectedDaemons []string) *Dispatcher {
	d := &Dispatcher{
		incarnation:    incarnation,
		servers:        map[string]*server{},
		accounts:       map[string]*account{},
		reporters:      map[reporterKey]*reporterState{},
		remotePools:    map[string]*remotePool{},
		createdAt:      now,
		awaitedDaemons: map[string]bool{},
	}
	for _, id := range expectedDaemons {
		d.awaitedDaemons[id] = true
	}
	d.SetPool(pool)
	return d
}

// Incarnation returns the incarnation of the dispatcher, which its grants carry.
func (d *Dispatcher) Incarnation() uint64 { return d.incarnation }

// Announce returns an empty batch for each expected daemon that has not reported. A daemon
// that receives a batch of a new dispatcher sends it a full report.
func (d *Dispatcher) Announce() []Send {
	var sends []Send
	for id := range d.awaitedDaemons {
		sends = append(sends, Send{Reporter: id, Batch: GrantBatch{DispatcherIncarnation: d.incarnation}})
	}
	return sends
}

// SetPool replaces the configuration of the pool. Servers that it does not contain receive
// no new grants.
func (d *Dispatcher) SetPool(pool Pool) {
	d.pool = pool
	for _, s := range d.servers {
		s.spec.Schedulable = false
	}
	d.slots = 0
	for _, spec := range pool.Servers {
		d.server(spec.ID).spec = spec
		if spec.Schedulable {
			d.slots += spec.Slots
		}
	}
	for id, a := range d.accounts {
		a.setSpec(pool.Accounts[id])
		d.backlog.update(a)
	}
}

// SetLoad records the number of requests that a server reports to have. Unknown servers are
// ignored.
func (d *Dispatcher) SetLoad(now time.Time, id string, requests int) {
	if s, ok := d.servers[id]; ok {
		s.setLoad(now, requests)
	}
}

// SetUnreachable records that a server did not answer a load query, which counts as one
// failed run. Unknown servers are ignored.
func (d *Dispatcher) SetUnreachable(now time.Time, id string) {
	if s, ok := d.servers[id]; ok {
		d.recordResults(now, s, 1, 0)
	}
}

// recordResults records ended runs of a server. If the pool has no other healthy server,
// the probe backoff does not grow, because no alternative exists.
func (d *Dispatcher) recordResults(now time.Time, s *server, failed, succeeded uint64) {
	maxBackoff := minProbeBackoff
	for _, other := range d.servers {
		if other != s && other.healthy() {
			maxBackoff = maxProbeBackoff
		}
	}
	s.recordResults(now, failed, succeeded, maxBackoff)
}

// server returns the state of a server, creating it if necessary.
func (d *Dispatcher) server(id string) *server {
	s, ok := d.servers[id]
	if !ok {
		s = &server{spec: ServerSpec{ID: id}}
		d.servers[id] = s
	}
	return s
}

// account returns the state of an account, creating it if necessary.
func (d *Dispatcher) account(id string) *account {
	a, ok := d.accounts[id]
	if !ok {
		a = newAccount(id, d.systemVirtualTime, remoteServiceWeight(len(d.remotePools)))
		a.setSpec(d.pool.Accounts[id])
		d.accounts[id] = a
	}
	return a
}

// serviceChanged updates what depends on the account's service: its position in the backlog
// and the pending reports to other pools.
func (d *Dispatcher) serviceChanged(now time.Time, a *account) {
	a.serviceChangedAt = now
	d.backlog.update(a)
	for _, remote := range d.remotePools {
		remote.pending.addAccount(a.id)
	}
}

// HandleReport applies a report of the daemon from, or of the pool r.FromPool, and returns
// the resulting grants. Outdated reports are ignored.
func (d *Dispatcher) HandleReport(now time.Time, from string, r Report) []Send {
	key := reporterKey{name: from}
	if r.FromPool != "" {
		key = reporterKey{name: r.FromPool, isPool: true}
	}
	if !d.applyReport(now, key, r) {
		return nil
	}
	if !r.Partial {
		delete(d.awaitedDaemons, from)
	}
	sends := d.schedule(now)
	d.queueBids()
	return sends
}

// queueBids marks the accounts that started to wait and found no free slot in this pool for
// an urgent report to the other pools.
func (d *Dispatcher) queueBids() {
	for _, a := range d.newlyWaiting {
		for _, remote := range d.remotePools {
			if a.waiting > 0 {
				remote.pending.addBid(a.id)
			}
		}
	}
	d.newlyWaiting = d.newlyWaiting[:0]
}

// Superseded reports whether the sender of the report follows a later dispatcher and would
// therefore drop this dispatcher's grants.
func (d *Dispatcher) Superseded(r Report) bool { return r.DispatcherIncarnation > d.incarnation }

// Tick removes expired grants and reporters, and returns the resulting grants.
func (d *Dispatcher) Tick(now time.Time) []Send {
	for _, reporter := range d.reporters {
		if now.Sub(reporter.lastReportAt) > ReportTTL {
			d.removeReporter(now, reporter)
			continue
		}
		for _, g := range reporter.grants {
			if !g.acked && now.Sub(g.sentAt) > reporter.grantLease() {
				reporter.ackGrant(g)
				d.releaseGrant(now, reporter, g)
			}
		}
	}
	return d.schedule(now)
}

// tryWarmUp reports whether the dispatcher may issue grants: every expected daemon has
// reported, or WarmUpTimeout has passed. The first time, it initializes the system virtual
// time.
func (d *Dispatcher) tryWarmUp(now time.Time) bool {
	if d.warm {
		return true
	}
	if len(d.awaitedDaemons) > 0 && now.Sub(d.createdAt) < WarmUpTimeout {
		return false
	}
	d.warm = true
	d.initSystemVirtualTime()
	return true
}

// initSystemVirtualTime sets the system virtual time to the least virtual time that an
// earlier dispatcher assigned to a waiting account, and raises all accounts to it.
func (d *Dispatcher) initSystemVirtualTime() {
	first := true
	for _, a := range d.backlog.accounts {
		if a.hasReportedVirtualTime && (first || a.virtualTime() < d.systemVirtualTime) {
			d.systemVirtualTime = a.virtualTime()
			first = false
		}
	}
	for _, a := range d.accounts {
		a.raiseVirtualTime(d.systemVirtualTime)
		d.backlog.update(a)
	}
}

// recordGrant adds a grant to its reporter. A grant of this pool also counts towards its
// server and account; a relayed one is recorded for the pool that it comes from.
func (d *Dispatcher) recordGrant(now time.Time, reporter *reporterState, g *grant) {
	reporter.grants[g.id] = g
	if g.origin.Pool != "" {
		d.remotePool(g.origin.Pool).relayedGrants[g.origin.ID] = g
		return
	}
	d.server(g.server).addGrants(1)
	g.account.inFlight++
	g.account.runningCharge += g.charge - g.priorCharge
	d.serviceChanged(now, g.account)
}

// updateCharge sets the charge of a grant and adjusts the account's running charge.
func (d *Dispatcher) updateCharge(now time.Time, g *grant, charge Cost) {
	added := charge - g.charge
	g.charge = charge
	if g.origin.Pool != "" || added == 0 {
		return
	}
	g.account.runningCharge += added
	d.serviceChanged(now, g.account)
}

// releaseGrant reverses recordGrant when a grant ends.
func (d *Dispatcher) releaseGrant(now time.Time, reporter *reporterState, g *grant) {
	delete(reporter.grants, g.id)
	reporter.ackGrant(g)
	if g.origin.Pool != "" {
		d.remotePool(g.origin.Pool).releaseGrant(g)
		return
	}
	d.server(g.server).addGrants(-1)
	g.account.inFlight--
	g.account.endedGrants++
	d.endedGrants++
	g.account.runningCharge -= g.charge - g.priorCharge
	d.serviceChanged(now, g.account)
}

// meanCost returns the mean cost of ended grants, or 0 if none has ended.
func (d *Dispatcher) meanCost() Cost {
	if d.endedGrants == 0 {
		return 0
	}
	return d.endedCost / Cost(d.endedGrants)
}

func (d *Dispatcher) dropRemoteServices(pool string) {
	for _, a := range d.accounts {
		a.dropRemoteService(pool)
		d.backlog.update(a)
	}
}

// sortedSends returns the batches as actions, sorted by reporter.
func sortedSends(batches map[*reporterState]*GrantBatch) []Send {
	sends := make([]Send, 0, len(batches))
	for reporter, b := range batches {
		sends = append(sends, Send{Reporter: reporter.key.name, ToPool: reporter.key.isPool, Batch: *b})
	}
	sort.Slice(sends, func(i, j int) bool { return sends[i].Reporter < sends[j].Reporter })
	return sends
}
