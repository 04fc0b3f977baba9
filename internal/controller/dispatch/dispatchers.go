package dispatch

import (
	"slices"
	"time"

	core "github.com/filbertrill/filbertrill/internal/dispatch"
)

const (
	// poolRefreshInterval is how often a dispatcher's pool is recomputed from the members.
	poolRefreshInterval = time.Second
	// fullReportInterval is the interval between full reports from a dispatcher to other
	// pools, and from a daemon with few runs to its dispatcher.
	fullReportInterval = 500 * time.Millisecond
	// maxFullReportInterval bounds how long a lost partial report leaves a dispatcher with
	// stale state.
	maxFullReportInterval = 6 * time.Second
	// fullReportRunsPerSecond is the rate of runs in full reports, over all services of a
	// daemon, above which the interval between full reports grows. It limits the traffic: a
	// run takes about 65 bytes.
	fullReportRunsPerSecond = 100
	// keepAliveInterval is the longest time between the reports of a daemon that is not idle.
	// It is well below core.ReportTTL, after which a dispatcher drops the daemon's state.
	keepAliveInterval = 1500 * time.Millisecond
)

// poolState is a pool whose dispatcher is, or recently was, this daemon.
type poolState struct {
	dispatcher       *core.Dispatcher
	poolDispatchers  map[string]string // by pool: member ID that last reported for it
	lastExchange     time.Time         // last periodic report to the other pools, full or partial
	lastFullExchange time.Time         // last full report to the other pools
	lastRefresh      time.Time
	lastOwned        time.Time // last time that this daemon owned the pool
}

// startDispatcher starts a dispatcher for the pool at this daemon. Its incarnation exceeds
// knownIncarnation, since receivers drop the grants of a lower incarnation than they know.
func (c *Controller) startDispatcher(now time.Time, key poolKey, knownIncarnation uint64) *poolState {
	c.lastIncarnation = max(c.lastIncarnation+1, uint64(now.UnixNano()), knownIncarnation+1)
	t := c.topology(now)
	d := core.NewDispatcher(now, c.lastIncarnation, t.pool(c.config, key), t.memberIDs(key.pool))
	p := &poolState{dispatcher: d, poolDispatchers: map[string]string{}, lastOwned: now, lastRefresh: now}
	c.dispatchers[key] = p
	c.opts.Logger.Info("Became the dispatcher of a pool.", "service", key.service, "pool", key.pool)
	for _, send := range d.Announce() {
		if send.Reporter != c.opts.SelfID {
			c.sendBatches(now, key, p, []core.Send{send})
		}
	}
	return p
}

// tickDispatchers drives the timers of the dispatchers whose pools this daemon owns, and
// expires the others.
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
	if now.Sub(p.lastOwned) < core.ReportTTL {
		return
	}
	delete(c.dispatchers, key)
	c.opts.Logger.Info("No longer the dispatcher of a pool.", "service", key.service, "pool", key.pool)
}

// exchangeReports sends reports from the owned pools to the dispatchers of the same
// service's other pools: periodically, and at once when one of their slots was freed.
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

// poolReportFunc returns the report to another pool, or false when there is nothing to
// report.
type poolReportFunc func(now time.Time, pool string) (core.Report, bool)

// dueReport returns the function that builds the report due now: full, partial or urgent.
func (p *poolState) dueReport(now time.Time, interval time.Duration, tick bool) poolReportFunc {
	switch {
	case tick && now.Sub(p.lastFullExchange) >= fullReportInterval:
		p.lastFullExchange = now
		p.lastExchange = now
		return p.dispatcher.FullReport
	case tick && now.Sub(p.lastExchange) >= interval:
		p.lastExchange = now
		return p.dispatcher.PartialReport
	}
	return p.dispatcher.UrgentReport
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
