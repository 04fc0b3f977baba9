package dispatch

import (
	"container/heap"
	"slices"
	"time"
)

// account is what a dispatcher knows of one account. Its virtual time is its service over
// its weight, that of other pools in part, plus what idleness has added.
type account struct {
	id                     string
	spec                   AccountSpec
	offset                 float64 // virtual time that idleness and earlier dispatchers have added
	endedCost              Cost    // of ended runs on the pool's servers
	runningCharge          Cost    // charge of running grants on the pool's servers
	inFlight               int     // grants on the pool's servers
	endedGrants            int     // grants on the pool's servers that ended
	remoteServices         map[string]*remoteService
	demands                map[*reporterState]*Demand
	waiting                int
	serviceChangedAt       time.Time // of settled, running or inFlight
	hasReportedVirtualTime bool      // an earlier dispatcher's virtual time is known
	heapIndex              int       // in the backlog; noPlace when not backlogged
}

// noPlace marks an account without backlog.
const notInHeap = -1

// remoteService is an account's service by the servers of another pool.
type remoteService struct {
	baseline      Cost // served before this dispatcher counted
	served        Cost
	runningCharge Cost
	inFlight      int
}

// remoteWeight is the part of other pools' service that counts in a virtual time. Each pool
// sees every account that waits and is fair to it by itself; a part is enough to keep their
// errors from adding up, and less of what arrives late.
const remoteServiceWeight = 0.25

func (r *remoteService) service() Cost {
	return remoteServiceWeight * (r.served - r.baseline + r.runningCharge)
}

func newAccount(id string, offset float64) *account {
	return &account{
		id:             id,
		offset:         offset,
		remoteServices: map[string]*remoteService{},
		demands:        map[*reporterState]*Demand{},
		heapIndex:      notInHeap,
	}
}

func (a *account) service() Cost {
	sum := a.endedCost + a.runningCharge
	for _, r := range a.remoteServices {
		sum += r.service()
	}
	return sum
}

func (a *account) virtualTime() float64 { return a.offset + a.service()/a.spec.Weight }

// earned returns the virtual time in which running grants count by what the account's
// ended ones cost, where their charges are higher: these may be estimates that were made
// before anything was known, and will be taken back. The mean stands in for an account
// without ended grants.
func (a *account) earnedVirtualTime(meanCost Cost) float64 {
	if a.endedGrants > 0 {
		meanCost = a.endedCost / Cost(a.endedGrants)
	}
	sum := a.endedCost + min(a.runningCharge, meanCost*Cost(a.inFlight))
	for _, r := range a.remoteServices {
		sum += remoteServiceWeight * (r.served - r.baseline + min(r.runningCharge, meanCost*Cost(r.inFlight)))
	}
	return a.offset + sum/a.spec.Weight
}

// fleetInFlight returns the account's grants over all pools, as far as they are known.
func (a *account) fleetInFlight() int {
	n := a.inFlight
	for _, r := range a.remoteServices {
		n += r.inFlight
	}
	return n
}

func (a *account) atInFlightCap() bool {
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
func (a *account) raiseVirtualTime(minimum float64) {
	if gap := minimum - a.virtualTime(); gap > 0 {
		a.offset += gap
	}
}

// setRemote takes in the level of another pool. A pool that was not heard before counts from
// its first level on; with raw it counts from its beginning.
func (a *account) setRemoteService(pool string, demand *Demand, fromZero bool) {
	r, ok := a.remoteServices[pool]
	if !ok {
		r = &remoteService{}
		if !fromZero {
			r.baseline = demand.Served
		}
		a.remoteServices[pool] = r
	}
	r.served = demand.Served
	r.runningCharge = demand.Charged
	r.inFlight = demand.Running
}

// dropRemote keeps the service of a pool that ended and stops counting it.
func (a *account) dropRemoteService(pool string) {
	r, ok := a.remoteServices[pool]
	if !ok {
		return
	}
	a.offset += r.service() / a.spec.Weight
	delete(a.remoteServices, pool)
}

// replace takes in a reporter's demand in the place of its last one.
func (a *account) replaceDemand(reporter *reporterState, demand *Demand) {
	if old, ok := a.demands[reporter]; ok {
		a.waiting -= old.Waiting
	}
	a.waiting += demand.Waiting
	if demand.Waiting == 0 {
		delete(a.demands, reporter)
		return
	}
	a.demands[reporter] = demand
}

// source returns the reporter whose first request of the account has waited longest. The
// demand of another pool counts as hopMargin younger. With localOnly pools are left out.
func (a *account) longestWaitingReporter(localOnly bool) *reporterState {
	var best *reporterState
	var bestArrival time.Time
	for reporter, demand := range a.demands {
		if demand.Waiting <= 0 || (localOnly && reporter.key.isPool) {
			continue
		}
		arrival := demand.oldestArrival
		if reporter.key.isPool {
			arrival = arrival.Add(remoteRequestMargin)
		}
		if best == nil || arrival.Before(bestArrival) || (arrival.Equal(bestArrival) && reporter.key.name < best.key.name) {
			best, bestArrival = reporter, arrival
		}
	}
	return best
}

// holder returns the daemon whose first request of the account has its prefix on the server
// and has waited not much less than that of the given source, or the source.
func (a *account) reporterWithCachedPrefix(longestWaiting *reporterState, server string) *reporterState {
	best := longestWaiting
	for reporter, demand := range a.demands {
		if reporter.key.isPool || !slices.Contains(demand.PreferredServers, server) {
			continue
		}
		if demand.oldestArrival.Add(-cachedPrefixMargin).After(a.demands[longestWaiting].oldestArrival) {
			continue
		}
		if best == longestWaiting || reporter.key.name < best.key.name {
			best = reporter
		}
	}
	return best
}

// backlog is a heap of the accounts that wait, the least virtual time first.
type backlogHeap struct {
	accounts     []*account
	virtualTimes []float64 // virtual times of accounts
}

func (b *backlogHeap) Len() int { return len(b.accounts) }

func (b *backlogHeap) Less(i, j int) bool {
	if b.virtualTimes[i] != b.virtualTimes[j] {
		return b.virtualTimes[i] < b.virtualTimes[j]
	}
	return b.accounts[i].id < b.accounts[j].id
}

func (b *backlogHeap) Swap(i, j int) {
	b.accounts[i], b.accounts[j] = b.accounts[j], b.accounts[i]
	b.virtualTimes[i], b.virtualTimes[j] = b.virtualTimes[j], b.virtualTimes[i]
	b.accounts[i].heapIndex = i
	b.accounts[j].heapIndex = j
}

// Push adds an account; it is called by container/heap.
func (b *backlogHeap) Push(x any) {
	a := x.(*account)
	a.heapIndex = len(b.accounts)
	b.accounts = append(b.accounts, a)
	b.virtualTimes = append(b.virtualTimes, a.virtualTime())
}

// Pop removes the last account; it is called by container/heap.
func (b *backlogHeap) Pop() any {
	last := len(b.accounts) - 1
	a := b.accounts[last]
	a.heapIndex = notInHeap
	b.accounts = b.accounts[:last]
	b.virtualTimes = b.virtualTimes[:last]
	return a
}

// update puts the account in its place after a change of its backlog or virtual time.
func (b *backlogHeap) update(a *account) {
	switch {
	case a.waiting > 0 && a.heapIndex == notInHeap:
		heap.Push(b, a)
	case a.waiting <= 0 && a.heapIndex != notInHeap:
		heap.Remove(b, a.heapIndex)
	case a.heapIndex != notInHeap:
		b.virtualTimes[a.heapIndex] = a.virtualTime()
		heap.Fix(b, a.heapIndex)
	}
}

// sumWeights returns the weight of all accounts that wait.
func (b *backlogHeap) totalWeight() float64 {
	sum := 0.0
	for _, a := range b.accounts {
		sum += a.spec.Weight
	}
	return sum
}
