package dispatchsim

import (
	"time"

	"github.com/filbertrill/filbertrill/internal/dispatch"
)

// Sizes of messages on the wire, in bytes: what a report and a batch take without their
// lists, and one entry of a list.
const (
	headBytes  = 60
	entryBytes = 40
	wholeEvery = 10 // exchanges
)

func reportBytes(r dispatch.Report) int {
	return headBytes + entryBytes*(len(r.Demands)+len(r.Ended)+len(r.Runs)+len(r.Results))
}

// tick drives timers and reports progress.
func (f *Fleet) tick() {
	for _, p := range f.pools {
		if !p.paused {
			f.deliver(p, p.dispatcher.Tick(f.now))
		}
	}
	for _, d := range f.daemons {
		if f.now.Sub(d.progressed) >= progressInterval {
			d.progressed = f.now
			f.load.progress(d)
		}
		if d.queue.Changed() || (!d.queue.Idle() && f.now.Sub(d.told) >= wholeInterval) {
			f.report(d)
		}
	}
}

// flush reports once all events of this moment are done.
func (f *Fleet) flush(d *daemon) {
	if d.flushing {
		return
	}
	d.flushing = true
	f.after(0, func() { f.report(d) })
}

func (f *Fleet) report(d *daemon) {
	d.flushing = false
	p := f.home(d)
	report := d.queue.Changes
	if d.owner != p || d.queue.NeedsWhole() || f.now.Sub(d.told) >= wholeInterval {
		d.owner, d.told = p, f.now
		report = d.queue.Report
	}
	r := report(f.now)
	f.send(d.index, p.owner, reportBytes(r), func() { f.handleReport(p, d.id, r) })
}

func (f *Fleet) handleReport(p *pool, from string, r dispatch.Report) {
	if p.paused {
		return
	}
	f.deliver(p, p.dispatcher.Report(f.now, from, r))
	f.exchangeUrgent(p)
}

func (f *Fleet) deliver(p *pool, sends []dispatch.Send) {
	for _, s := range sends {
		bytes := headBytes + entryBytes*len(s.Batch.Grants)
		for _, g := range s.Batch.Grants {
			f.trace("%s: grant %d of %s to %s on %s", p.name, g.ID.Seq, g.Account, s.Reporter, g.Server)
		}
		if s.Pool {
			other := f.pool(s.Reporter)
			f.send(p.owner, other.owner, bytes, func() { f.relay(other, p.name, s.Batch) })
			continue
		}
		for _, d := range f.daemons {
			if d.id == s.Reporter {
				f.send(p.owner, d.index, bytes, func() { f.grants(d, s.Batch) })
			}
		}
	}
}

func (f *Fleet) relay(p *pool, from string, b dispatch.Batch) {
	if p.paused {
		return
	}
	f.deliver(p, p.dispatcher.Relay(f.now, from, b))
	f.exchangeUrgent(p)
}

func (f *Fleet) grants(d *daemon, b dispatch.Batch) {
	for _, start := range d.queue.Grants(f.now, b) {
		f.load.start(d, start)
	}
	f.flush(d)
}

func (f *Fleet) exchange(due bool) {
	report := (*dispatch.Dispatcher).Urgent
	if due {
		f.exchanges++
		report = (*dispatch.Dispatcher).Changes
	}
	if due && f.exchanges%wholeEvery == 1 {
		report = (*dispatch.Dispatcher).Exchange
	}
	for _, p := range f.pools {
		if p.paused {
			continue
		}
		for _, other := range f.pools {
			if other != p && f.opts.Scope == ScopeZone {
				f.exchangeWith(p, other, report)
			}
		}
	}
}

// exchangeUrgent tells other pools of free slots once all events of this moment are done.
func (f *Fleet) exchangeUrgent(p *pool) {
	if p.flushing {
		return
	}
	p.flushing = true
	f.after(0, func() {
		p.flushing = false
		f.exchange(false)
	})
}

type exchangeFunc func(d *dispatch.Dispatcher, now time.Time, pool string) (dispatch.Report, bool)

func (f *Fleet) exchangeWith(p, other *pool, report exchangeFunc) {
	r, ok := report(p.dispatcher, f.now, other.name)
	if !ok {
		return
	}
	f.send(p.owner, other.owner, reportBytes(r), func() { f.handleReport(other, "", r) })
}
