package dispatch

import (
	"slices"
	"time"

	core "github.com/filbertrill/filbertrill/internal/dispatch"
)

const (
	// poolInterval is how often a dispatcher's pool is derived again from the members.
	poolInterval = time.Second
	// wholeInterval is how often dispatchers report their whole state to other pools, and
	// daemons at least when they hold few runs.
	wholeInterval = 500 * time.Millisecond
	// maxWholeInterval bounds how long a lost partial report can go unmended.
	maxWholeInterval = 6 * time.Second
	// wholeRunRate is how many runs a second a daemon repeats in whole reports, over all
	// its services, before it stretches the interval: a run takes about 65 bytes.
	wholeRunRate = 100
	// keepAliveInterval keeps a daemon's state within core.ReportLease.
	keepAliveInterval = 1500 * time.Millisecond
)

// poolState is a pool whose dispatcher is, or lately was, this daemon.
type poolState struct {
	dispatcher *core.Dispatcher
	peers      map[string]string // member that last reported for another pool
	exchanged  time.Time         // last report to the other pools
	told       time.Time         // last whole report to them
	derived    time.Time
	owned      time.Time // last time that the pool fell to this daemon
}

// begin makes this daemon the pool's dispatcher, with an incarnation above the given one.
func (c *Controller) begin(now time.Time, key poolKey, above uint64) *poolState {
	c.lastInc = max(c.lastInc+1, uint64(now.UnixNano()), above+1)
	t := c.topology(now)
	d := core.NewDispatcher(now, c.lastInc, t.pool(c.config, key), t.ids(key.pool))
	p := &poolState{dispatcher: d, peers: map[string]string{}, owned: now, derived: now}
	c.dispatchers[key] = p
	c.opts.Logger.Info("Became the dispatcher of a pool.", "service", key.service, "pool", key.pool)
	for _, hello := range d.Announce() {
		if hello.Reporter != c.opts.SelfID {
			c.deliver(now, key, p, []core.Send{hello})
		}
	}
	return p
}

// tickDispatchers drives the timers of the pools that fall to this daemon, and drops
// those that have fallen to another.
func (c *Controller) tickDispatchers(now time.Time, t topology) {
	for key, p := range c.dispatchers {
		gone := !slices.Contains(t.pools(c.config, key.service), key.pool)
		if gone || !isMember(t.owner(key), c.opts.SelfID) {
			c.lose(now, key, p)
			continue
		}
		p.owned = now
		if now.Sub(p.derived) >= poolInterval {
			p.derived = now
			p.dispatcher.SetPool(t.pool(c.config, key))
		}
		c.deliver(now, key, p, p.dispatcher.Tick(now))
	}
}

func (c *Controller) lose(now time.Time, key poolKey, p *poolState) {
	if now.Sub(p.owned) < core.ReportTTL {
		return
	}
	delete(c.dispatchers, key)
	c.opts.Logger.Info("No longer the dispatcher of a pool.", "service", key.service, "pool", key.pool)
}

// exchange reports to the dispatchers of the services' other pools: each interval, and at
// once where a slot of theirs came free.
func (c *Controller) exchange(now time.Time, t topology, tick bool) {
	for key, p := range c.dispatchers {
		if !isMember(t.owner(key), c.opts.SelfID) {
			continue
		}
		report := p.reportTo(now, c.opts.ExchangeInterval, tick)
		for _, pool := range t.pools(c.config, key.service) {
			if pool != key.pool {
				c.exchangeWith(now, t, p, poolKey{key.service, pool}, report)
			}
		}
	}
}

// exchangeFunc returns what there is to tell another pool, if anything.
type exchangeFunc func(now time.Time, pool string) (core.Report, bool)

// reportTo returns the kind of report that is due.
func (p *poolState) reportTo(now time.Time, interval time.Duration, tick bool) exchangeFunc {
	switch {
	case tick && now.Sub(p.told) >= wholeInterval:
		p.told = now
		p.exchanged = now
		return p.dispatcher.FullReport
	case tick && now.Sub(p.exchanged) >= interval:
		p.exchanged = now
		return p.dispatcher.PartialReport
	}
	return p.dispatcher.UrgentReport
}

func (c *Controller) exchangeWith(now time.Time, t topology, p *poolState, other poolKey, report exchangeFunc) {
	owner := t.owner(other)
	if owner == nil {
		return
	}
	if r, ok := report(now, other.pool); ok {
		c.sendReport(now, other, owner, r)
	}
}
