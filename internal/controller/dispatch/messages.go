package dispatch

import (
	"time"

	core "github.com/filbertrill/filbertrill/internal/dispatch"
	"github.com/filbertrill/filbertrill/internal/peer/pb"
)

// reportQueues reports each queue to the dispatcher of its pool: changes at once, and the
// full state periodically, when the queue requires it or when the dispatcher has moved to
// another member.
func (c *Controller) reportQueues(now time.Time, t topology, tick bool) {
	interval := c.queueFullReportInterval()
	for service, q := range c.queues {
		key := poolKey{service, t.homePool(c.config, service)}
		owner := t.owner(key)
		if owner == nil {
			continue
		}
		if tick {
			q.updateCosts(now, c.opts.CostUpdateInterval)
		}
		full := owner.Id != q.dispatcherID || q.queue.NeedsFullReport() ||
			(tick && !q.queue.Idle() && now.Sub(q.lastFullReport) >= interval)
		keepAliveDue := tick && !q.queue.Idle() && now.Sub(q.lastReport) >= keepAliveInterval
		switch {
		case full:
			q.dispatcherID = owner.Id
			q.lastFullReport = now
			q.lastReport = now
			c.sendReport(now, key, owner, q.queue.FullReport(now))
		case keepAliveDue || q.queue.HasChanges():
			q.lastReport = now
			c.sendReport(now, key, owner, q.queue.PartialReport(now))
		}
	}
}

// queueFullReportInterval returns the interval between full reports of a queue. It grows
// with the number of runs at this daemon.
func (c *Controller) queueFullReportInterval() time.Duration {
	runs := 0
	for _, q := range c.queues {
		runs += q.queue.Running()
	}
	scaled := time.Duration(runs) * time.Second / fullReportRunsPerSecond
	return min(max(scaled, fullReportInterval), maxFullReportInterval)
}

// updateCosts copies the current costs of the running requests into the queue, at most once
// per interval.
func (q *serviceQueue) updateCosts(now time.Time, interval time.Duration) {
	if now.Sub(q.costsUpdated) < interval {
		return
	}
	q.costsUpdated = now
	for id, lease := range q.leases {
		q.queue.Progress(id, lease.currentCost())
	}
}

func (c *Controller) sendReport(now time.Time, key poolKey, owner *pb.Member, r core.Report) {
	if owner.Id == c.opts.SelfID {
		c.handleReport(now, key, c.opts.SelfID, r)
		return
	}
	body := &pb.Envelope_DemandReport{DemandReport: reportToProto(key, r)}
	c.opts.Sender.Send(owner.PeerAddress, &pb.Envelope{Body: body})
}

// HandleDemandReport handles the report of a daemon, or of another pool's dispatcher, to a
// dispatcher at this daemon.
func (c *Controller) HandleDemandReport(from string, m *pb.DemandReport, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.handleReport(now, poolKey{m.Service, m.Pool}, from, reportFromProto(m))
	c.signal()
}

func (c *Controller) handleReport(now time.Time, key poolKey, from string, r core.Report) {
	if c.config == nil {
		return
	}
	p, ok := c.dispatchers[key]
	if !ok || p.dispatcher.Superseded(r) {
		p = c.startDispatcher(now, key, r.DispatcherIncarnation)
	}
	if r.FromPool != "" {
		p.poolDispatchers[r.FromPool] = from
	}
	c.sendBatches(now, key, p, p.dispatcher.HandleReport(now, from, r))
}

// sendBatches sends the grants of a pool to daemons and to the dispatchers of other pools.
func (c *Controller) sendBatches(now time.Time, key poolKey, p *poolState, sends []core.Send) {
	for _, s := range sends {
		to, toPool := s.Reporter, ""
		if s.ToPool {
			to, toPool = p.poolDispatchers[s.Reporter], s.Reporter
		}
		if to == c.opts.SelfID {
			c.handleBatch(now, key, to, toPool, s.Batch)
			continue
		}
		address := c.opts.Members.Address(to)
		if address == "" {
			continue
		}
		body := &pb.Envelope_GrantBatch{GrantBatch: batchToProto(key, toPool, s.Batch)}
		c.opts.Sender.Send(address, &pb.Envelope{Body: body})
	}
}

// HandleGrantBatch handles the grants that a dispatcher sent to this daemon.
func (c *Controller) HandleGrantBatch(from string, m *pb.GrantBatch, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.config == nil {
		return
	}
	c.handleBatch(now, poolKey{m.Service, m.Pool}, from, m.ToPool, batchFromProto(m))
}

// handleBatch starts or relays the grants of a pool's dispatcher. It drops grants from any
// member other than the pool's owner in this daemon's view.
func (c *Controller) handleBatch(now time.Time, key poolKey, from, toPool string, b core.GrantBatch) {
	owner := c.topology(now).owner(key)
	if !hasID(owner, from) {
		return
	}
	if toPool == "" {
		c.startGranted(now, key.service, b)
		return
	}
	ownKey := poolKey{key.service, toPool}
	if p, ok := c.dispatchers[ownKey]; ok {
		c.sendBatches(now, ownKey, p, p.dispatcher.RelayBatch(now, key.pool, b))
		c.signal()
	}
}

func hasID(m *pb.Member, id string) bool { return m != nil && m.Id == id }

func (c *Controller) startGranted(now time.Time, service string, b core.GrantBatch) {
	q := c.queue(service)
	for _, start := range q.queue.HandleBatch(now, b) {
		waiter, ok := q.waiters[start.Request]
		if !ok {
			continue
		}
		delete(q.waiters, start.Request)
		waiter <- start
	}
	c.signal()
}
