package dispatch

import (
	"sort"
	"time"
)

// Times of a dispatcher.
const (
	// ReportLease is how long a reporter's state counts without a newer report.
	ReportTTL = 5 * time.Second
	// WarmUp is how long a new dispatcher waits for the first reports of its daemons before it grants.
	WarmUpTimeout = time.Second
	// hopMargin is how much longer a request of another pool must have waited to go first
	// among those of its account.
	remoteRequestMargin = 1000 * time.Millisecond
)

// Dispatcher grants the slots of one pool, that is of one service in one zone, to the
// backlogged account with the least virtual time: start-time fair queueing (Goyal, Vin
// and Cheng 1996) over slots, with costs charged by estimate and corrected from reports.
//
// Towards the dispatchers of the service's other pools it acts as a daemon does: it
// reports what waits here, and passes their grants on. The reports also carry what each
// account got from this pool, so that an account's virtual time counts its service
// everywhere. All state is soft: a new dispatcher rebuilds it from reports.
type Dispatcher struct {
	incarnation       uint64
	pool              Pool
	slots             int // of open servers
	servers           map[string]*server
	accounts          map[string]*account
	reporters         map[reporterKey]*reporterState
	remotePools       map[string]*remotePool
	backlog           backlogHeap
	endedCost         Cost    // of all ended grants
	endedGrants       int     // grants
	systemVirtualTime float64 // highest that a starting account had earned, never falls
	lastGrantSeq      uint64
	newlyWaiting      []*account // that began to wait in the report at hand
	createdAt         time.Time
	warm              bool
	awaitedDaemons    map[string]bool // daemons whose first report is awaited
}

// NewDispatcher returns a dispatcher that grants nothing before it has heard the expected
// daemons or WarmUp has passed. The incarnation must be higher than that of every earlier
// dispatcher of the pool.
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

// Incarnation returns the incarnation that grants carry.
func (d *Dispatcher) Incarnation() uint64 { return d.incarnation }

// Hello returns an empty batch for each expected daemon, which makes it report.
func (d *Dispatcher) Announce() []Send {
	var sends []Send
	for id := range d.awaitedDaemons {
		sends = append(sends, Send{Reporter: id, Batch: GrantBatch{DispatcherIncarnation: d.incarnation}})
	}
	return sends
}

// SetPool replaces the configuration of the pool.
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

// SetLoad takes in the number of requests that a server says it has.
func (d *Dispatcher) SetLoad(now time.Time, id string, requests int) {
	if s, ok := d.servers[id]; ok {
		s.setLoad(now, requests)
	}
}

// SetUnreachable takes in that a server did not tell its load.
func (d *Dispatcher) SetUnreachable(now time.Time, id string) {
	if s, ok := d.servers[id]; ok {
		d.recordResults(now, s, 1, 0)
	}
}

// results takes in ended runs of a server. A server without a healthy one beside it is
// probed without growing pauses, since the pool has nothing else to offer.
func (d *Dispatcher) recordResults(now time.Time, s *server, failed, succeeded uint64) {
	maxBackoff := minProbeBackoff
	for _, other := range d.servers {
		if other != s && other.healthy() {
			maxBackoff = maxProbeBackoff
		}
	}
	s.recordResults(now, failed, succeeded, maxBackoff)
}

func (d *Dispatcher) server(id string) *server {
	s, ok := d.servers[id]
	if !ok {
		s = &server{spec: ServerSpec{ID: id}}
		d.servers[id] = s
	}
	return s
}

func (d *Dispatcher) account(id string) *account {
	a, ok := d.accounts[id]
	if !ok {
		a = newAccount(id, d.systemVirtualTime)
		a.setSpec(d.pool.Accounts[id])
		d.accounts[id] = a
	}
	return a
}

// touch notes a change of the account's service.
func (d *Dispatcher) serviceChanged(now time.Time, a *account) {
	a.serviceChangedAt = now
	d.backlog.update(a)
	for _, remote := range d.remotePools {
		remote.pending.addAccount(a.id)
	}
}

// Report takes in a report and returns the grants that follow from it.
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

// bid tells the other pools at once of accounts that began to wait and found no slot here.
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

// Superseded reports whether the report's sender has heard a later dispatcher, so that
// this one's grants would be dropped.
func (d *Dispatcher) Superseded(r Report) bool { return r.DispatcherIncarnation > d.incarnation }

// Tick drops lapsed grants and reports, and returns the grants that follow.
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

// heated reports whether the dispatcher knows enough to grant.
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

// seedFloor starts from the least virtual time that an earlier dispatcher told of a
// backlogged account, and lifts the accounts without one to it.
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

// hold begins a grant.
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

func (d *Dispatcher) updateCharge(now time.Time, g *grant, charge Cost) {
	added := charge - g.charge
	g.charge = charge
	if g.origin.Pool != "" || added == 0 {
		return
	}
	g.account.runningCharge += added
	d.serviceChanged(now, g.account)
}

// release ends a grant.
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

// meanCost returns the mean cost of ended grants; 0 before any has ended.
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

func sortedSends(batches map[*reporterState]*GrantBatch) []Send {
	sends := make([]Send, 0, len(batches))
	for reporter, b := range batches {
		sends = append(sends, Send{Reporter: reporter.key.name, ToPool: reporter.key.isPool, Batch: *b})
	}
	sort.Slice(sends, func(i, j int) bool { return sends[i].Reporter < sends[j].Reporter })
	return sends
}
