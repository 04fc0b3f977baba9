package dispatch

import (
	"container/heap"
	"slices"
	"time"
)

// account is the state of one account at a dispatcher. Its virtual time is its service
// divided by its weight plus an offset. Service from other pools counts in part.
type account struct {
	id                     string
	spec                   AccountSpec
	offset                 float64                   // virtual time added for idle periods and by earlier dispatchers
	endedCost              Cost                      // of ended runs on this pool's servers
	runningCharge          Cost                      // charges of running grants on this pool's servers
	inFlight               int                       // running grants on this pool's servers
	endedGrants            int                       // ended grants on this pool's servers
	remoteServices         map[string]*remoteService // by pool
	remoteWeight           float64                   // see remoteServiceWeight
	demands                map[*reporterState]*Demand
	waiting                int       // requests at all reporters
	serviceChangedAt       time.Time // last change of endedCost, runningCharge or inFlight
	hasReportedVirtualTime bool      // a report contained a virtual time of an earlier dispatcher
	heapIndex              int       // index in the backlog, or notInHeap
}

// notInHeap is the heapIndex of an account without waiting requests.
const notInHeap = -1

// remoteService is the service that an account received from the servers of another pool.
type remoteService struct {
	baseline      Cost // served before this dispatcher started to count
	served        Cost
	runningCharge Cost
	inFlight      int
}

// maxRemoteServiceWeight is the largest weight that remoteServiceWeight returns.
const maxRemoteServiceWeight = 0.25

// remoteServiceWeight returns the fraction of other pools' service that counts towards virtual
// time. Each pool sees all waiting accounts and shares its own slots fairly. A fraction is
// enough to keep the errors of the pools from accumulating, and it limits the effect of
// late reports. All other pools together count at most half: the fairness gap is bounded only
// while they count less than the own pool (docs/design/dispatch.md).
func remoteServiceWeight(remotePools int) float64 {
	return min(maxRemoteServiceWeight, 0.5/float64(max(1, remotePools)))
}

func (a *account) remoteService() Cost {
	sum := Cost(0)
	for _, r := range a.remoteServices {
		sum += r.served - r.baseline + r.runningCharge
	}
	return a.remoteWeight * sum
}

func newAccount(id string, offset, remoteWeight float64) *account {
	return &account{
		id:             id,
		offset:         offset,
		remoteWeight:   remoteWeight,
		remoteServices: map[string]*remoteService{},
		demands:        map[*reporterState]*Demand{},
		heapIndex:      notInHeap,
	}
}

func (a *account) service() Cost {
	return a.endedCost + a.runningCharge + a.remoteService()
}

func (a *account) virtualTime() float64 { return a.offset + a.service()/a.spec.Weight }

// earnedVirtualTime returns the virtual time with the charge of running grants limited to the
// mean cost of the account's ended grants: a higher charge may be an early overestimate that
// will be corrected. For an account without ended grants the given mean cost applies.
func (a *account) earnedVirtualTime(meanCost Cost) float64 {
	if a.endedGrants > 0 {
		meanCost = a.endedCost / Cost(a.endedGrants)
	}
	sum := a.endedCost + min(a.runningCharge, meanCost*Cost(a.inFlight))
	for _, r := range a.remoteServices {
		sum += a.remoteWeight * (r.served - r.baseline + min(r.runningCharge, meanCost*Cost(r.inFlight)))
	}
	return a.offset + sum/a.spec.Weight
}

// fleetInFlight returns the number of the account's running grants in all pools, as far as
// they have been reported.
func (a *account) fleetInFlight() int {
	n := a.inFlight
	for _, r := range a.remoteServices {
		n += r.inFlight
	}
	return n
}

func (a *account) atInFlightLimit() bool {
	return a.spec.MaxInFlight > 0 && a.fleetInFlight() >= a.spec.MaxInFlight
}

// setSpec replaces the configuration and keeps the virtual time if the weight changes.
func (a *account) setSpec(spec AccountSpec) {
	if spec.Weight <= 0 {
		spec.Weight = 1
	}
	if a.spec.Weight > 0 && a.spec.Weight != spec.Weight {
		a.offset = a.virtualTime() - a.service()/spec.Weight
	}
	a.spec = spec
}

// setRemoteWeight replaces the weight of other pools' service and keeps the virtual time.
func (a *account) setRemoteWeight(weight float64) {
	before := a.virtualTime()
	a.remoteWeight = weight
	a.offset += before - a.virtualTime()
}

// raiseVirtualTime raises the virtual time to at least the minimum.
func (a *account) raiseVirtualTime(minimum float64) {
	if gap := minimum - a.virtualTime(); gap > 0 {
		a.offset += gap
	}
}

// setRemoteService records the account's service in another pool. The service that a new
// pool reports first is the baseline and does not count, unless fromZero is set.
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

// dropRemoteService removes a pool and moves its service into the offset, so that the
// virtual time does not change.
func (a *account) dropRemoteService(pool string) {
	before := a.virtualTime()
	delete(a.remoteServices, pool)
	a.offset += before - a.virtualTime()
}

// replaceDemand replaces the demand of a reporter.
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

// longestWaitingReporter returns the reporter whose first request of the account has waited
// longest, or nil if none waits. Requests of other pools are treated as remoteRequestMargin
// younger, and are ignored if localOnly is set.
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

// reporterWithCachedPrefix returns a daemon whose first request of the account has its prefix
// cached on the server and arrived at most cachedPrefixMargin after that of longestWaiting.
// If there is none, it returns longestWaiting.
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

// backlogHeap is a min-heap of the accounts with waiting requests, ordered by virtual time.
type backlogHeap struct {
	accounts     []*account
	virtualTimes []float64 // of accounts, as of the last update
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

// Push implements heap.Interface.
func (b *backlogHeap) Push(x any) {
	a := x.(*account)
	a.heapIndex = len(b.accounts)
	b.accounts = append(b.accounts, a)
	b.virtualTimes = append(b.virtualTimes, a.virtualTime())
}

// Pop implements heap.Interface.
func (b *backlogHeap) Pop() any {
	last := len(b.accounts) - 1
	a := b.accounts[last]
	a.heapIndex = notInHeap
	b.accounts = b.accounts[:last]
	b.virtualTimes = b.virtualTimes[:last]
	return a
}

// update adds, removes or moves the account after a change of its waiting requests or
// virtual time.
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

// totalWeight returns the sum of the weights of all waiting accounts.
func (b *backlogHeap) totalWeight() float64 {
	sum := 0.0
	for _, a := range b.accounts {
		sum += a.spec.Weight
	}
	return sum
}
