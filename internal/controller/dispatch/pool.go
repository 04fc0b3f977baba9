package dispatch

import (
	"slices"
	"time"

	core "github.com/filbertrill/filbertrill/internal/dispatch"
)

const (
	// poolInterval is how often a dispatcher's pool is derived again from the members.
	poolRefreshInterval = time.Second
	// wholeInterval is how often dispatchers report their whole state to other pools, and
	// daemons at least when they hold few runs.
	fullReportInterval = 500 * time.Millisecond
	// maxWholeInterval bounds how long a lost partial report can go unmended.
	maxFullReportInterval = 6 * time.Second
	// wholeRunRate is how many runs a second a daemon repeats in whole reports, over all
	// its services, before it stretches the interval: a run takes about 65 bytes.
	fullReportRunsPerSecond = 100
	// keepAliveInterval keeps a daemon's state within core.ReportLease.
	keepAliveInterval = 1500 * time.Millisecond
)

// poolState is a pool whose dispatcher is, or lately was, this daemon.
type poolState struct {
	dispatcher       *core.Dispatcher
	poolDispatchers  map[string]string // member that last reported for another pool
	lastExchange     time.Time         // last report to the other pools
	lastFullExchange time.Time         // last whole report to them
	lastRefresh      time.Time
	lastOwned        time.Time // last time that the pool fell to this daemon
}

// begin makes this daemon the pool's dispatcher, with an incarnation above the given one.
func (c *Controller) startDispatcher(now time.Time, key poolKey, knownIncarnation uint64) *poolState {
	c.lastIncarnation = max(c.lastIncarnation+1, uint64(now.UnixNano()), knownIncarnation+1)
	t := c.topology(now)
	d := core.NewDispatcher(now, c.lastIncarnation, t.pool(c.config, key), t.memberIDs(key.pool))
	p := &poolState{dispatcher: d, poolDispatchers: map[string]string{}, lastOwned: now, lastRefresh: now}
	c.dispatchers[key] = p
	c.opts.Logger.Info("Became the dispatcher of a pool.", "service", key.service, "pool", key.pool)
	for _, send := range d.Hello() {
		if send.Reporter != c.opts.SelfID {
			c.sendBatches(now, key, p, []core.Send{send})
		}
	}
	return p
}

// tickDispatchers drives the timers of the pools that fall to this daemon, and drops
// those that have fallen to another.
func (c *Controller) tickDispatchers(now time.Time, t topology) {
	for key, p := range c.dispatchers {
		removed := !slices.Contains(t.pools(c.config, key.service), key.pool)
		if removed || !hasID(t.owner(key), c.opts.SelfID) {
			c.expireDispatcher(now, key, p)
			continue
		}
		p.lastOwned = now
		if now.Sub(p.lastRefresh) >= poolRefreshInterval {
			p.lastRefresh = now
			p.dispatcher.SetPool(t.pool(c.config, key))
		}
		c.sendBatches(now, key, p, p.dispatcher.Tick(now))
	}
}

func (c *Controller) expireDispatcher(now time.Time, key poolKey, p *poolState) {
	if now.Sub(p.lastOwned) < core.ReportLease {
		return
	}
	delete(c.dispatchers, key)
	c.opts.Logger.Info("No longer the dispatcher of a pool.", "service", key.service, "pool", key.pool)
}

// exchange reports to the dispatchers of the services' other pools: each interval, and at
// once where a slot of theirs came free.
func (c *Controller) exchangeReports(now time.Time, t topology, tick bool) {
	for key, p := range c.dispatchers {
		if !hasID(t.owner(key), c.opts.SelfID) {
			continue
		}
		report := p.dueReport(now, c.opts.ExchangeInterval, tick)
		for _, pool := range t.pools(c.config, key.service) {
			if pool != key.pool {
				c.sendPoolReport(now, t, p, poolKey{key.service, pool}, report)
			}
		}
	}
}

// exchangeFunc returns what there is to tell another pool, if anything.
type poolReportFunc func(now time.Time, pool string) (core.Report, bool)

// reportTo returns the kind of report that is due.
func (p *poolState) dueReport(now time.Time, interval time.Duration, tick bool) poolReportFunc {
	switch {
	case tick && now.Sub(p.lastFullExchange) >= fullReportInterval:
		p.lastFullExchange = now
		p.lastExchange = now
		return p.dispatcher.Exchange
	case tick && now.Sub(p.lastExchange) >= interval:
		p.lastExchange = now
		return p.dispatcher.Changes
	}
	return p.dispatcher.Urgent
}

func (c *Controller) sendPoolReport(now time.Time, t topology, p *poolState, other poolKey, report poolReportFunc) {
	owner := t.owner(other)
	if owner == nil {
		return
	}
	if r, ok := report(now, other.pool); ok {
		c.sendReport(now, other, owner, r)
	}
}
