package dispatch

import (
	"container/heap"
	"slices"
	"time"
)

// account is what a dispatcher knows of one account. Its virtual time is its service over
// its weight, that of other pools in part, plus what idleness has added.
type account struct {
	id       string
	spec     AccountSpec
	offset   float64 // virtual time that idleness and earlier dispatchers have added
	settled  Cost    // of ended runs on the pool's servers
	running  Cost    // charge of running grants on the pool's servers
	inFlight int     // grants on the pool's servers
	ended    int     // grants on the pool's servers that ended
	remote   map[string]*remoteService
	demands  map[*node]*Demand
	backlog  int
	changed  time.Time // of settled, running or inFlight
	told     bool      // an earlier dispatcher's virtual time is known
	place    int       // in the backlog; noPlace when not backlogged
}

// noPlace marks an account without backlog.
const noPlace = -1

// remoteService is an account's service by the servers of another pool.
type remoteService struct {
	base    Cost // served before this dispatcher counted
	served  Cost
	charged Cost
	running int
}

// remoteWeight is the part of other pools' service that counts in a virtual time. Each pool
// sees every account that waits and is fair to it by itself; a part is enough to keep their
// errors from adding up, and less of what arrives late.
const remoteWeight = 0.25

func (r *remoteService) service() Cost {
	return remoteWeight * (r.served - r.base + r.charged)
}

func newAccount(id string, offset float64) *account {
	return &account{
		id:      id,
		offset:  offset,
		remote:  map[string]*remoteService{},
		demands: map[*node]*Demand{},
		place:   noPlace,
	}
}

func (a *account) service() Cost {
	sum := a.settled + a.running
	for _, r := range a.remote {
		sum += r.service()
	}
	return sum
}

func (a *account) virtualTime() float64 { return a.offset + a.service()/a.spec.Weight }

// earned returns the virtual time in which running grants count by what the account's
// ended ones cost, where their charges are higher: these may be estimates that were made
// before anything was known, and will be taken back. The mean stands in for an account
// without ended grants.
func (a *account) earned(mean Cost) float64 {
	if a.ended > 0 {
		mean = a.settled / Cost(a.ended)
	}
	sum := a.settled + min(a.running, mean*Cost(a.inFlight))
	for _, r := range a.remote {
		sum += remoteWeight * (r.served - r.base + min(r.charged, mean*Cost(r.running)))
	}
	return a.offset + sum/a.spec.Weight
}

// fleetInFlight returns the account's grants over all pools, as far as they are known.
func (a *account) fleetInFlight() int {
	n := a.inFlight
	for _, r := range a.remote {
		n += r.running
	}
	return n
}

func (a *account) capped() bool {
	return a.spec.MaxInFlight > 0 && a.fleetInFlight() >= a.spec.MaxInFlight
}

// setSpec changes the weight without moving the virtual time.
func (a *account) setSpec(spec AccountSpec) {
	if spec.Weight <= 0 {
		spec.Weight = 1
	}
	if a.spec.Weight > 0 && a.spec.Weight != spec.Weight {
		a.offset = a.virtualTime() - a.service()/spec.Weight
	}
	a.spec = spec
}

// raise lifts the virtual time to at least the given one.
func (a *account) raise(to float64) {
	if gap := to - a.virtualTime(); gap > 0 {
		a.offset += gap
	}
}

// setRemote takes in the level of another pool. A pool that was not heard before counts from
// its first level on; with raw it counts from its beginning.
func (a *account) setRemote(pool string, level *Demand, raw bool) {
	r, ok := a.remote[pool]
	if !ok {
		r = &remoteService{}
		if !raw {
			r.base = level.Served
		}
		a.remote[pool] = r
	}
	r.served = level.Served
	r.charged = level.Charged
	r.running = level.Running
}

// dropRemote keeps the service of a pool that ended and stops counting it.
func (a *account) dropRemote(pool string) {
	r, ok := a.remote[pool]
	if !ok {
		return
	}
	a.offset += r.service() / a.spec.Weight
	delete(a.remote, pool)
}

// replace takes in a reporter's demand in the place of its last one.
func (a *account) replace(n *node, demand *Demand) {
	if old, ok := a.demands[n]; ok {
		a.backlog -= old.Waiting
	}
	a.backlog += demand.Waiting
	if demand.Waiting == 0 {
		delete(a.demands, n)
		return
	}
	a.demands[n] = demand
}

// source returns the reporter whose first request of the account has waited longest. The
// demand of another pool counts as hopMargin younger. With localOnly pools are left out.
func (a *account) source(localOnly bool) *node {
	var best *node
	var bestSince time.Time
	for n, demand := range a.demands {
		if demand.Waiting <= 0 || (localOnly && n.key.pool) {
			continue
		}
		since := demand.since
		if n.key.pool {
			since = since.Add(hopMargin)
		}
		if best == nil || since.Before(bestSince) || (since.Equal(bestSince) && n.key.name < best.key.name) {
			best, bestSince = n, since
		}
	}
	return best
}

// holder returns the daemon whose first request of the account has its prefix on the server
// and has waited not much less than that of the given source, or the source.
func (a *account) holder(source *node, server string) *node {
	best := source
	for n, demand := range a.demands {
		if n.key.pool || !slices.Contains(demand.PreferredServers, server) {
			continue
		}
		if demand.since.Add(-prefixMargin).After(a.demands[source].since) {
			continue
		}
		if best == source || n.key.name < best.key.name {
			best = n
		}
	}
	return best
}

// backlog is a heap of the accounts that wait, the least virtual time first.
type backlog struct {
	accounts []*account
	keys     []float64 // virtual times of accounts
}

func (b *backlog) Len() int { return len(b.accounts) }

func (b *backlog) Less(i, j int) bool {
	if b.keys[i] != b.keys[j] {
		return b.keys[i] < b.keys[j]
	}
	return b.accounts[i].id < b.accounts[j].id
}

func (b *backlog) Swap(i, j int) {
	b.accounts[i], b.accounts[j] = b.accounts[j], b.accounts[i]
	b.keys[i], b.keys[j] = b.keys[j], b.keys[i]
	b.accounts[i].place = i
	b.accounts[j].place = j
}

// Push adds an account; it is called by container/heap.
func (b *backlog) Push(x any) {
	a := x.(*account)
	a.place = len(b.accounts)
	b.accounts = append(b.accounts, a)
	b.keys = append(b.keys, a.virtualTime())
}

// Pop removes the last account; it is called by container/heap.
func (b *backlog) Pop() any {
	last := len(b.accounts) - 1
	a := b.accounts[last]
	a.place = noPlace
	b.accounts = b.accounts[:last]
	b.keys = b.keys[:last]
	return a
}

// update puts the account in its place after a change of its backlog or virtual time.
func (b *backlog) update(a *account) {
	switch {
	case a.backlog > 0 && a.place == noPlace:
		heap.Push(b, a)
	case a.backlog <= 0 && a.place != noPlace:
		heap.Remove(b, a.place)
	case a.place != noPlace:
		b.keys[a.place] = a.virtualTime()
		heap.Fix(b, a.place)
	}
}

// sumWeights returns the weight of all accounts that wait.
func (b *backlog) sumWeights() float64 {
	sum := 0.0
	for _, a := range b.accounts {
		sum += a.spec.Weight
	}
	return sum
}
