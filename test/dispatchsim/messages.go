package dispatchsim

import (
	"time"

	"github.com/filbertrill/filbertrill/internal/dispatch"
)

// Approximate sizes of messages, and the share of full reports between pools.
const (
	headerBytes            = 60 // report or batch without the entries of its lists
	entryBytes             = 40 // entry of a list
	exchangesPerFullReport = 10 // periodic exchanges, of which one has full reports
)

func reportBytes(r dispatch.Report) int {
	return headerBytes + entryBytes*(len(r.Demands)+len(r.EndedCosts)+len(r.Runs)+len(r.Results))
}

// tick drives the timers of the dispatchers, updates the costs of running requests and sends
// the reports that are due.
func (f *Fleet) tick() {
	for _, p := range f.pools {
		if !p.paused {
			f.sendBatches(p, p.dispatcher.Tick(f.now))
		}
	}
	for _, d := range f.daemons {
		if f.now.Sub(d.costsUpdated) >= costUpdateInterval {
			d.costsUpdated = f.now
			f.workload.updateCosts(d)
		}
		if d.queue.HasChanges() || (!d.queue.Idle() && f.now.Sub(d.lastFullReport) >= fullReportInterval) {
			f.report(d)
		}
	}
}

// scheduleReport schedules a report of the daemon after the pending events of the current time.
func (f *Fleet) scheduleReport(d *daemon) {
	if d.reportScheduled {
		return
	}
	d.reportScheduled = true
	f.after(0, func() { f.report(d) })
}

func (f *Fleet) report(d *daemon) {
	d.reportScheduled = false
	p := f.homePool(d)
	report := d.queue.PartialReport
	if d.reportedTo != p || d.queue.NeedsFullReport() || f.now.Sub(d.lastFullReport) >= fullReportInterval {
		d.reportedTo, d.lastFullReport = p, f.now
		report = d.queue.FullReport
	}
	r := report(f.now)
	f.send(d.index, p.owner, reportBytes(r), func() { f.handleReport(p, d.id, r) })
}

func (f *Fleet) handleReport(p *pool, from string, r dispatch.Report) {
	if p.paused {
		return
	}
	f.sendBatches(p, p.dispatcher.HandleReport(f.now, from, r))
	f.scheduleUrgentExchange(p)
}

func (f *Fleet) sendBatches(p *pool, sends []dispatch.Send) {
	for _, s := range sends {
		bytes := headerBytes + entryBytes*len(s.Batch.Grants)
		for _, g := range s.Batch.Grants {
			f.trace("%s: grant %d of %s to %s on %s", p.name, g.ID.Seq, g.Account, s.Reporter, g.Server)
		}
		if s.ToPool {
			other := f.pool(s.Reporter)
			f.send(p.owner, other.owner, bytes, func() { f.handleRelayedBatch(other, p.name, s.Batch) })
			continue
		}
		for _, d := range f.daemons {
			if d.id == s.Reporter {
				f.send(p.owner, d.index, bytes, func() { f.handleBatch(d, s.Batch) })
			}
		}
	}
}

func (f *Fleet) handleRelayedBatch(p *pool, from string, b dispatch.GrantBatch) {
	if p.paused {
		return
	}
	f.sendBatches(p, p.dispatcher.RelayBatch(f.now, from, b))
	f.scheduleUrgentExchange(p)
}

func (f *Fleet) handleBatch(d *daemon, b dispatch.GrantBatch) {
	for _, start := range d.queue.HandleBatch(f.now, b) {
		f.workload.startRequest(d, start)
	}
	f.scheduleReport(d)
}

func (f *Fleet) exchangeReports(periodic bool) {
	report := (*dispatch.Dispatcher).UrgentReport
	if periodic {
		f.exchangeCount++
		report = (*dispatch.Dispatcher).PartialReport
	}
	if periodic && f.exchangeCount%exchangesPerFullReport == 1 {
		report = (*dispatch.Dispatcher).FullReport
	}
	for _, p := range f.pools {
		if p.paused {
			continue
		}
		for _, other := range f.pools {
			if other != p && f.opts.Scope == ScopeZone {
				f.sendPoolReport(p, other, report)
			}
		}
	}
}

// scheduleUrgentExchange schedules the urgent reports of all pools to each other after the
// pending events of the current time.
func (f *Fleet) scheduleUrgentExchange(p *pool) {
	if p.exchangeScheduled {
		return
	}
	p.exchangeScheduled = true
	f.after(0, func() {
		p.exchangeScheduled = false
		f.exchangeReports(false)
	})
}

type poolReportFunc func(d *dispatch.Dispatcher, now time.Time, pool string) (dispatch.Report, bool)

func (f *Fleet) sendPoolReport(p, other *pool, report poolReportFunc) {
	r, ok := report(p.dispatcher, f.now, other.name)
	if !ok {
		return
	}
	f.send(p.owner, other.owner, reportBytes(r), func() { f.handleReport(other, "", r) })
}
