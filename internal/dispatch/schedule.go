package dispatch

import (
	"container/heap"
	"math"
	"slices"
	"time"
)

// maxShareFactor limits an account's grants in flight to this multiple of its weighted share
// of the pool's slots while other accounts wait.
const maxShareFactor = 2.0

// schedule issues grants until no slot is free or no request waits.
func (d *Dispatcher) schedule(now time.Time) []Send {
	if !d.tryWarmUp(now) {
		return nil
	}
	batches := map[*reporterState]*GrantBatch{}
	for d.hasFreeSlot(now) {
		a := d.nextAccount()
		if a == nil {
			break
		}
		reporter := a.longestWaitingReporter(false)
		s := d.chooseServer(now, d.standbyGrants(now, reporter, a), a.demands[reporter].PreferredServers)
		if s == nil {
			break
		}
		if !reporter.key.isPool {
			reporter = a.reporterWithCachedPrefix(reporter, s.spec.ID)
		}
		g := d.issueGrant(now, reporter, a, s.spec.ID, a.demands[reporter].Estimate, Origin{})
		d.appendGrant(batches, reporter, g)
	}
	return sortedSends(batches)
}

// remoteStandbyDelay is how long a request of another pool must have waited to get a standby
// grant. Such a grant ties it to one busy server, while a slot on any server of the service
// usually becomes free sooner.
const remoteStandbyDelay = 300 * time.Millisecond

// standbyGrants returns how many grants beyond a server's slots the reporter's first request
// of the account may use.
func (d *Dispatcher) standbyGrants(now time.Time, reporter *reporterState, a *account) int {
	if reporter.key.isPool && now.Sub(a.demands[reporter].oldestArrival) >= remoteStandbyDelay {
		return max(d.pool.Standby, d.pool.RemoteStandby)
	}
	return d.pool.Standby
}

// appendGrant appends a grant to the reporter's batch.
func (d *Dispatcher) appendGrant(batches map[*reporterState]*GrantBatch, reporter *reporterState, g Grant) {
	b, ok := batches[reporter]
	if !ok {
		b = &GrantBatch{DispatcherIncarnation: d.incarnation, ReportSeq: reporter.seq}
		batches[reporter] = b
	}
	b.Grants = append(b.Grants, g)
}

// hasFreeSlot reports whether requests wait and any server can take another grant.
func (d *Dispatcher) hasFreeSlot(now time.Time) bool {
	if d.backlog.Len() == 0 {
		return false
	}
	for _, s := range d.servers {
		if s.grants < s.grantLimit(now, max(d.pool.Standby, d.pool.RemoteStandby)) {
			return true
		}
	}
	return false
}

// chooseServer returns a preferred server with a free slot. If there is none, it returns the
// least utilised server below its slots plus standby, or nil if all are full.
func (d *Dispatcher) chooseServer(now time.Time, standby int, preferred []string) *server {
	var best *server
	for _, s := range d.servers {
		if s.grants >= s.grantLimit(now, standby) {
			continue
		}
		if slices.Contains(preferred, s.spec.ID) && s.grants < s.grantLimit(now, 0) {
			return s
		}
		if best == nil || s.utilisation() < best.utilisation() || (s.utilisation() == best.utilisation() && s.spec.ID < best.spec.ID) {
			best = s
		}
	}
	return best
}

// nextAccount returns the waiting account with the least virtual time that is below its
// in-flight limit, or nil if there is none. Accounts over their share of the slots are chosen
// only if there is no other.
func (d *Dispatcher) nextAccount() *account {
	var skipped []*account
	var best, overShare *account
	totalWeight := d.backlog.totalWeight()
	for d.backlog.Len() > 0 && best == nil {
		a := d.backlog.accounts[0]
		switch {
		case a.atInFlightLimit():
		case a.inFlight >= d.maxGrants(a, totalWeight):
			if overShare == nil {
				overShare = a
			}
		default:
			best = a
			continue
		}
		skipped = append(skipped, heap.Pop(&d.backlog).(*account))
	}
	for _, a := range skipped {
		d.backlog.update(a)
	}
	if best == nil {
		return overShare
	}
	return best
}

// maxGrants returns how many grants the account may have in flight while others wait.
func (d *Dispatcher) maxGrants(a *account, totalWeight float64) int {
	return max(1, int(math.Ceil(maxShareFactor*float64(d.slots)*a.spec.Weight/totalWeight)))
}

// issueGrant creates a grant, charges the estimate to the account and removes one request
// from the reporter's demand.
func (d *Dispatcher) issueGrant(now time.Time, reporter *reporterState, a *account, server string, estimate Cost, origin Origin) Grant {
	demand := a.demands[reporter]
	demand.Waiting--
	if demand.Waiting == 0 {
		delete(a.demands, reporter)
	}
	a.waiting--
	if origin.Pool == "" {
		d.systemVirtualTime = max(d.systemVirtualTime, a.earnedVirtualTime(d.meanCost()))
	}
	d.lastGrantSeq++
	g := &grant{
		id:      GrantID{DispatcherIncarnation: d.incarnation, Seq: d.lastGrantSeq},
		origin:  origin,
		account: a,
		server:  server,
		charge:  estimate,
		sentAt:  now,
	}
	reporter.unackedGrants[a.id]++
	d.recordGrant(now, reporter, g)
	d.backlog.update(a)
	return Grant{ID: g.id, Origin: origin, Account: a.id, Server: server, VirtualTime: a.virtualTime()}
}
