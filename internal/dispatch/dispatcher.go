package dispatch

import (
	"sort"
	"time"
)

// Times of a dispatcher.
const (
	// GrantLease is how long a grant may wait for its start.
	GrantLease = 2 * time.Second
	// ReportLease is how long a daemon's report counts without a newer one.
	ReportLease = 5 * time.Second
)

// Dispatcher grants the slots of one pool to the backlogged account with the least
// virtual time: start-time fair queueing (Goyal, Vin and Cheng 1996) over slots, with
// costs charged by estimate and corrected from reports. Its state is soft: a new
// dispatcher rebuilds it from the daemons' reports.
type Dispatcher struct {
	incarnation uint64
	pool        Pool
	servers     map[string]*serverState
	accounts    map[string]*accountState
	daemons     map[string]*daemonState
	floor       float64 // least virtual time among backlogged accounts, never falls
	nextGrant   uint64
}

type serverState struct {
	spec    ServerSpec
	running int
}

type accountState struct {
	weight  float64
	offset  float64 // virtual time that idleness has added
	settled Cost    // cost of ended runs
	running Cost    // charge of running grants
	backlog int
}

// virtualTime returns the account's service over its weight.
func (a *accountState) virtualTime() float64 {
	return a.offset + (a.settled+a.running)/a.weight
}

type daemonState struct {
	incarnation uint64
	seq         uint64
	seen        time.Time
	demands     map[string]*Demand
	ended       map[string]Cost
	grants      map[uint64]*grantState
}

type grantState struct {
	id      uint64
	account string
	server  string
	charge  Cost
	sent    time.Time
	acked   bool
}

// NewDispatcher returns a dispatcher without reports. The incarnation must be higher than
// that of every earlier dispatcher of the pool at this daemon.
func NewDispatcher(incarnation uint64, pool Pool) *Dispatcher {
	d := &Dispatcher{
		incarnation: incarnation,
		servers:     map[string]*serverState{},
		accounts:    map[string]*accountState{},
		daemons:     map[string]*daemonState{},
		nextGrant:   1,
	}
	d.SetPool(pool)
	return d
}

// Incarnation returns the incarnation that grants carry.
func (d *Dispatcher) Incarnation() uint64 { return d.incarnation }

// SetPool replaces the configuration of the pool.
func (d *Dispatcher) SetPool(pool Pool) {
	d.pool = pool
	keep := map[string]bool{}
	for _, spec := range pool.Servers {
		keep[spec.ID] = true
		d.server(spec.ID).spec = spec
	}
	for id, s := range d.servers {
		if !keep[id] {
			s.spec.Open = false
		}
	}
	for id, a := range d.accounts {
		d.setWeight(id, a)
	}
}

func (d *Dispatcher) server(id string) *serverState {
	s, ok := d.servers[id]
	if !ok {
		s = &serverState{spec: ServerSpec{ID: id}}
		d.servers[id] = s
	}
	return s
}

func (d *Dispatcher) account(id string) *accountState {
	a, ok := d.accounts[id]
	if !ok {
		a = &accountState{offset: d.floor}
		d.setWeight(id, a)
		d.accounts[id] = a
	}
	return a
}

// setWeight changes the weight without moving the account's virtual time.
func (d *Dispatcher) setWeight(id string, a *accountState) {
	weight := d.pool.Weights[id]
	if weight <= 0 {
		weight = 1
	}
	if a.weight == weight {
		return
	}
	if a.weight > 0 {
		a.offset += a.settled / a.weight
		a.settled = 0
	}
	a.weight = weight
}

// Report takes in a daemon's state and returns the grants that follow from it.
func (d *Dispatcher) Report(now time.Time, daemon string, r Report) []Send {
	s, ok := d.daemons[daemon]
	if ok && !newer(s, r) {
		return nil
	}
	if ok && s.incarnation != r.DaemonIncarnation {
		d.forget(daemon)
		ok = false
	}
	if !ok {
		s = newDaemonState(r.DaemonIncarnation)
		d.daemons[daemon] = s
		d.baseline(s, r)
	}
	s.seq = r.Seq
	s.seen = now
	d.settleRuns(s, r)
	d.settleEnded(s, r)
	d.setDemands(s, r)
	return d.schedule(now)
}

// baseline keeps costs that ended before the daemon became known from being charged twice.
func (d *Dispatcher) baseline(s *daemonState, r Report) {
	if r.DispatcherIncarnation != d.incarnation {
		return
	}
	for _, demand := range r.Demands {
		s.ended[demand.Account] = demand.Ended
	}
}

func newer(s *daemonState, r Report) bool {
	if s.incarnation != r.DaemonIncarnation {
		return r.DaemonIncarnation > s.incarnation
	}
	return r.Seq > s.seq
}

func newDaemonState(incarnation uint64) *daemonState {
	return &daemonState{
		incarnation: incarnation,
		demands:     map[string]*Demand{},
		ended:       map[string]Cost{},
		grants:      map[uint64]*grantState{},
	}
}

// settleRuns brings the grants held in line with what the daemon says it runs.
func (d *Dispatcher) settleRuns(s *daemonState, r Report) {
	own := r.DispatcherIncarnation == d.incarnation
	held := map[uint64]bool{}
	for _, run := range r.Runs {
		id := run.GrantID
		if !own {
			id = foreignGrantID(run.GrantID)
		}
		held[id] = true
		g, ok := s.grants[id]
		if !ok {
			g = &grantState{id: id, account: run.Account, server: run.Server}
			s.grants[id] = g
			d.server(run.Server).running++
		}
		g.acked = true
		d.recharge(g, max(run.Cost, run.Estimate))
	}
	for id, g := range s.grants {
		acked := g.acked || (own && id <= r.LastGrantID)
		if acked && !held[id] {
			d.release(s, g)
		}
	}
}

// foreignGrantID keeps the grants of an earlier dispatcher apart from this one's.
func foreignGrantID(id uint64) uint64 { return id | 1<<63 }

// settleEnded adds the cost of runs that ended since the last report.
func (d *Dispatcher) settleEnded(s *daemonState, r Report) {
	if r.DispatcherIncarnation != d.incarnation {
		return
	}
	for _, demand := range r.Demands {
		added := demand.Ended - s.ended[demand.Account]
		if added <= 0 {
			continue
		}
		s.ended[demand.Account] = demand.Ended
		d.account(demand.Account).settled += added
	}
}

func (d *Dispatcher) setDemands(s *daemonState, r Report) {
	for id, old := range s.demands {
		d.account(id).backlog -= old.Waiting
	}
	clear(s.demands)
	for _, demand := range r.Demands {
		a := d.account(demand.Account)
		unseen := s.unseenGrants(demand.Account)
		demand.Waiting = max(0, demand.Waiting-unseen)
		if a.backlog == 0 && demand.Waiting > 0 {
			d.lift(a, demand.VirtualTime)
		}
		a.backlog += demand.Waiting
		s.demands[demand.Account] = &demand
	}
}

// unseenGrants counts the account's grants that the daemon had not received when it reported.
func (s *daemonState) unseenGrants(account string) int {
	n := 0
	for _, g := range s.grants {
		if g.account == account && !g.acked {
			n++
		}
	}
	return n
}

// lift raises an account that was idle to the floor, so that idleness earns no credit.
// The virtual time that the daemon was told by an earlier dispatcher counts as well.
func (d *Dispatcher) lift(a *accountState, told float64) {
	target := max(d.floor, told)
	if gap := target - a.virtualTime(); gap > 0 {
		a.offset += gap
	}
}

func (d *Dispatcher) recharge(g *grantState, charge Cost) {
	d.account(g.account).running += charge - g.charge
	g.charge = charge
}

func (d *Dispatcher) release(s *daemonState, g *grantState) {
	d.account(g.account).running -= g.charge
	d.server(g.server).running--
	delete(s.grants, g.id)
}

// forget drops a daemon that ended or restarted.
func (d *Dispatcher) forget(daemon string) {
	s, ok := d.daemons[daemon]
	if !ok {
		return
	}
	for _, g := range s.grants {
		d.account(g.account).settled += g.charge
		d.release(s, g)
	}
	for id, demand := range s.demands {
		d.account(id).backlog -= demand.Waiting
	}
	delete(d.daemons, daemon)
}

// Tick drops lapsed grants and reports, and returns the grants that follow.
func (d *Dispatcher) Tick(now time.Time) []Send {
	for id, s := range d.daemons {
		if now.Sub(s.seen) > ReportLease {
			d.forget(id)
			continue
		}
		for _, g := range s.grants {
			if !g.acked && now.Sub(g.sent) > GrantLease {
				d.release(s, g)
			}
		}
	}
	return d.schedule(now)
}

// schedule grants free slots until no slot or no demand is left.
func (d *Dispatcher) schedule(now time.Time) []Send {
	out := map[string][]Grant{}
	for {
		server := d.freeServer()
		if server == nil {
			break
		}
		account := d.neediest()
		if account == "" {
			break
		}
		daemon := d.longestWaiting(account)
		out[daemon] = append(out[daemon], d.grant(now, daemon, account, server))
	}
	return sends(out)
}

func sends(out map[string][]Grant) []Send {
	actions := make([]Send, 0, len(out))
	for daemon, grants := range out {
		actions = append(actions, Send{Daemon: daemon, Grants: grants})
	}
	sort.Slice(actions, func(i, j int) bool { return actions[i].Daemon < actions[j].Daemon })
	return actions
}

// freeServer returns the open server with the largest free share, or nil.
func (d *Dispatcher) freeServer() *serverState {
	var best *serverState
	for _, s := range d.servers {
		limit := s.spec.Slots + d.pool.Standby
		if !s.spec.Open || s.running >= limit {
			continue
		}
		if best == nil || lessLoaded(s, best) {
			best = s
		}
	}
	return best
}

func lessLoaded(a, b *serverState) bool {
	loadA := float64(a.running) / float64(a.spec.Slots)
	loadB := float64(b.running) / float64(b.spec.Slots)
	if loadA != loadB {
		return loadA < loadB
	}
	return a.spec.ID < b.spec.ID
}

// neediest returns the backlogged account with the least virtual time, and raises the floor to it.
func (d *Dispatcher) neediest() string {
	best := ""
	for id, a := range d.accounts {
		if a.backlog <= 0 {
			continue
		}
		if best == "" || d.before(id, best) {
			best = id
		}
	}
	if best != "" {
		d.floor = max(d.floor, d.accounts[best].virtualTime())
	}
	return best
}

func (d *Dispatcher) before(a, b string) bool {
	va, vb := d.accounts[a].virtualTime(), d.accounts[b].virtualTime()
	if va != vb {
		return va < vb
	}
	return a < b
}

// longestWaiting returns the daemon whose first request of the account has waited longest.
func (d *Dispatcher) longestWaiting(account string) string {
	best := ""
	var bestWait time.Duration
	for id, s := range d.daemons {
		demand, ok := s.demands[account]
		if !ok || demand.Waiting <= 0 {
			continue
		}
		wait := demand.OldestWait
		if best == "" || wait > bestWait || (wait == bestWait && id < best) {
			best, bestWait = id, wait
		}
	}
	return best
}

func (d *Dispatcher) grant(now time.Time, daemon, account string, server *serverState) Grant {
	s := d.daemons[daemon]
	demand := s.demands[account]
	demand.Waiting--
	a := d.account(account)
	a.backlog--
	g := &grantState{id: d.nextGrant, account: account, server: server.spec.ID, sent: now}
	d.nextGrant++
	s.grants[g.id] = g
	server.running++
	d.recharge(g, demand.Estimate)
	return Grant{
		ID:          g.id,
		Account:     account,
		Server:      server.spec.ID,
		Charged:     g.charge,
		VirtualTime: a.virtualTime(),
		Lease:       GrantLease,
	}
}
