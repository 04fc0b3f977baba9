package dispatch

import (
	"container/heap"
	"math"
	"slices"
	"time"
)

// shareFactor bounds an account's grants in flight, as a multiple of its share of the
// pool's slots, while others wait.
const shareFactor = 2.0

// schedule grants free slots until no slot or no demand is left.
func (d *Dispatcher) schedule(now time.Time) []Send {
	if !d.heated(now) {
		return nil
	}
	batches := map[*node]*GrantBatch{}
	for d.anyFree(now) {
		a := d.neediest()
		if a == nil {
			break
		}
		n := a.source(false)
		s := d.freeServer(now, d.standby(now, n, a), a.demands[n].PreferredServers)
		if s == nil {
			break
		}
		if !n.key.pool {
			n = a.holder(n, s.spec.ID)
		}
		g := d.grant(now, n, a, s.spec.ID, a.demands[n].Estimate, Origin{})
		d.addGrant(batches, n, g)
	}
	return sends(batches)
}

// hopStandbyAfter is how long a request of another pool must have waited to be bound to one
// server before a slot of it is free: the first slot to come free anywhere is mostly sooner.
const hopStandbyAfter = 300 * time.Millisecond

// standby returns how many grants beyond a server's slots the reporter may get.
func (d *Dispatcher) standby(now time.Time, n *node, a *account) int {
	if n.key.pool && now.Sub(a.demands[n].since) >= hopStandbyAfter {
		return max(d.pool.Standby, d.pool.RemoteStandby)
	}
	return d.pool.Standby
}

func (d *Dispatcher) addGrant(batches map[*node]*GrantBatch, n *node, g Grant) {
	b, ok := batches[n]
	if !ok {
		b = &GrantBatch{DispatcherIncarnation: d.incarnation, ReportSeq: n.seq}
		batches[n] = b
	}
	b.Grants = append(b.Grants, g)
}

func (d *Dispatcher) anyFree(now time.Time) bool {
	if d.backlog.Len() == 0 {
		return false
	}
	for _, s := range d.servers {
		if s.running < s.window(now, max(d.pool.Standby, d.pool.RemoteStandby)) {
			return true
		}
	}
	return false
}

// freeServer returns the preferred server when it has a free slot, or the server with the
// largest free share.
func (d *Dispatcher) freeServer(now time.Time, standby int, prefer []string) *server {
	var best *server
	for _, s := range d.servers {
		if s.running >= s.window(now, standby) {
			continue
		}
		if slices.Contains(prefer, s.spec.ID) && s.running < s.window(now, 0) {
			return s
		}
		if best == nil || s.load() < best.load() || (s.load() == best.load() && s.spec.ID < best.spec.ID) {
			best = s
		}
	}
	return best
}

// neediest returns the account with the least virtual time among those that wait and are
// below their caps. Accounts over their share of the slots come after all others.
func (d *Dispatcher) neediest() *account {
	var skipped []*account
	var best, overShare *account
	weights := d.backlog.sumWeights()
	for d.backlog.Len() > 0 && best == nil {
		a := d.backlog.accounts[0]
		switch {
		case a.capped():
		case a.inFlight >= d.share(a, weights):
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

// share returns how many of the pool's slots the account may hold while others wait.
func (d *Dispatcher) share(a *account, weights float64) int {
	return max(1, int(math.Ceil(shareFactor*float64(d.slots)*a.spec.Weight/weights)))
}

// grant charges the estimate and takes one request off the demand.
func (d *Dispatcher) grant(now time.Time, n *node, a *account, server string, estimate Cost, origin Origin) Grant {
	demand := a.demands[n]
	demand.Waiting--
	if demand.Waiting == 0 {
		delete(a.demands, n)
	}
	a.backlog--
	if origin.Pool == "" {
		d.floor = max(d.floor, a.earned(d.meanCost()))
	}
	d.lastGrant++
	g := &grant{
		id:      GrantID{DispatcherIncarnation: d.incarnation, Seq: d.lastGrant},
		origin:  origin,
		account: a,
		server:  server,
		charge:  estimate,
		sent:    now,
	}
	n.unseen[a.id]++
	d.hold(now, n, g)
	d.backlog.update(a)
	return Grant{ID: g.id, Origin: origin, Account: a.id, Server: server, VirtualTime: a.virtualTime()}
}
