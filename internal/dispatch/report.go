package dispatch

import (
	"sort"
	"time"
)

// pendingReport collects changes for the next report to the dispatcher.
type pendingReport struct {
	fullRequired   bool // the dispatcher is new and needs a full report
	accounts       map[string]bool
	endedCosts     map[endedCostKey]bool
	servers        map[string]bool
	runs           map[RequestID]bool
	releasedGrants []Grant
}

func newPendingReport() pendingReport {
	return pendingReport{
		accounts:   map[string]bool{},
		endedCosts: map[endedCostKey]bool{},
		servers:    map[string]bool{},
		runs:       map[RequestID]bool{},
	}
}

func (p *pendingReport) addAccount(id string) { p.accounts[id] = true }

func (p *pendingReport) addRun(account string, id RequestID) {
	p.accounts[account] = true
	p.runs[id] = true
}

func (p *pendingReport) addRelease(g Grant) { p.releasedGrants = append(p.releasedGrants, g) }

// HasChanges reports whether a report is due because of changes since the last one.
func (q *Queue) HasChanges() bool {
	p := &q.pending
	return p.fullRequired || len(p.accounts)+len(p.releasedGrants)+len(p.runs) > 0
}

// NeedsFullReport reports whether the next report must be a full one.
func (q *Queue) NeedsFullReport() bool { return q.pending.fullRequired }

// newReport returns a report without content, with the next sequence number.
func (q *Queue) newReport(now time.Time) Report {
	return Report{
		Incarnation:           q.incarnation,
		Seq:                   q.receiver.nextReportSeq(now),
		DispatcherIncarnation: q.receiver.dispatcherIncarnation,
		LastGrantSeq:          q.receiver.lastGrantSeq,
	}
}

// PartialReport returns a partial report with the changes since the last report.
func (q *Queue) PartialReport(now time.Time) Report {
	pending := q.pending
	q.pending = newPendingReport()
	r := q.newReport(now)
	r.Partial = true
	for id := range pending.accounts {
		r.Demands = append(r.Demands, q.accountDemand(now, id, q.accountQueues[id]))
	}
	for key := range pending.endedCosts {
		if e, ok := q.endedCosts[key]; ok {
			r.EndedCosts = append(r.EndedCosts, EndedCost{Account: key.account, Pool: key.pool, Cost: e.cost})
		}
	}
	for id := range pending.servers {
		r.Results = append(r.Results, q.results[id].ServerResults)
	}
	for id := range pending.runs {
		if run, ok := q.runs[id]; ok {
			r.Runs = append(r.Runs, q.reportedRun(run))
		}
	}
	for _, g := range pending.releasedGrants {
		if g.ID.DispatcherIncarnation == r.DispatcherIncarnation {
			r.ReleasedSeqs = append(r.ReleasedSeqs, g.ID.Seq)
		}
	}
	r.sort()
	return r
}

// FullReport returns a full report for the dispatcher.
func (q *Queue) FullReport(now time.Time) Report {
	q.pending = newPendingReport()
	r := q.newReport(now)
	for id, a := range q.accountQueues {
		if len(a.waiting) > 0 || now.Sub(a.changedAt) < reportRetention {
			r.Demands = append(r.Demands, q.accountDemand(now, id, a))
		}
	}
	for key, e := range q.endedCosts {
		if now.Sub(e.changedAt) < reportRetention {
			r.EndedCosts = append(r.EndedCosts, EndedCost{Account: key.account, Pool: key.pool, Cost: e.cost})
		}
	}
	for _, s := range q.results {
		if now.Sub(s.changedAt) < reportRetention {
			r.Results = append(r.Results, s.ServerResults)
		}
	}
	for _, run := range q.runs {
		r.Runs = append(r.Runs, q.reportedRun(run))
	}
	r.sort()
	return r
}

// sort makes the order of the lists independent of map iteration.
func (r *Report) sort() {
	sort.Slice(r.Demands, func(i, j int) bool { return r.Demands[i].Account < r.Demands[j].Account })
	sort.Slice(r.Results, func(i, j int) bool { return r.Results[i].Server < r.Results[j].Server })
	sort.Slice(r.Runs, func(i, j int) bool { return r.Runs[i].ID.less(r.Runs[j].ID) })
	sort.Slice(r.EndedCosts, func(i, j int) bool {
		a, b := r.EndedCosts[i], r.EndedCosts[j]
		return a.Account < b.Account || (a.Account == b.Account && a.Pool < b.Pool)
	})
}

func (id GrantID) less(other GrantID) bool {
	if id.DispatcherIncarnation != other.DispatcherIncarnation {
		return id.DispatcherIncarnation < other.DispatcherIncarnation
	}
	return id.Seq < other.Seq
}

// accountDemand returns the demand of the queue with the given key.
func (q *Queue) accountDemand(now time.Time, key string, a *accountQueue) Demand {
	d := Demand{Account: key, Waiting: len(a.waiting), VirtualTime: a.virtualTime}
	if len(a.waiting) > 0 {
		first := a.waiting[0]
		d.OldestWait = now.Sub(first.Arrived)
		d.Estimate = q.costEstimator.estimate(first.Account, first.CostHint)
		d.PreferredServers = q.prefixIndex.cachedOn(first.PrefixHashes)
	}
	return d
}

func (q *Queue) reportedRun(r *run) Run {
	return Run{
		ID:       r.grant.ID,
		Origin:   r.grant.Origin,
		Account:  q.queueKey(r.request.Account),
		Server:   r.grant.Server,
		Cost:     r.cost,
		Estimate: r.estimate,
	}
}
