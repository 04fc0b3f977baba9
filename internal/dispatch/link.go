package dispatch

import "time"

// GrantLease is how long a grant may be used after its receiver sent the report that it
// answers. A dispatcher that heard nothing of a grant for longer takes it back.
const GrantLease = 2 * time.Second

// grantLink is the receiver's side of the grants of one dispatcher.
type grantLink struct {
	seq        uint64 // of the last report
	dispatcher uint64 // highest incarnation heard
	lastGrant  uint64
	reports    []sentReport // of the last GrantLease, oldest first
}

type sentReport struct {
	seq uint64
	at  time.Time
}

// sent counts a report and returns its sequence number.
func (l *grantLink) sent(now time.Time) uint64 {
	l.seq++
	l.reports = append(l.reports, sentReport{seq: l.seq, at: now})
	for len(l.reports) > 0 && now.Sub(l.reports[0].at) > GrantLease {
		l.reports = l.reports[1:]
	}
	return l.seq
}

// accept reports whether the batch is of the newest dispatcher heard, and whether that
// dispatcher is a new one.
func (l *grantLink) accept(now time.Time, b GrantBatch) (adopted, ok bool) {
	if b.DispatcherIncarnation < l.dispatcher {
		return false, false
	}
	if b.DispatcherIncarnation == l.dispatcher {
		return false, true
	}
	l.dispatcher = b.DispatcherIncarnation
	l.lastGrant = 0
	return true, true
}

// take reports whether the grant is a new one. Grants that were passed over never are.
func (l *grantLink) take(seq uint64) bool {
	if seq <= l.lastGrant {
		return false
	}
	l.lastGrant = seq
	return true
}

// lapsed reports whether the report that a batch answers is too old.
func (l *grantLink) lapsed(now time.Time, reportSeq uint64) bool {
	for _, r := range l.reports {
		if r.seq == reportSeq {
			return now.Sub(r.at) > GrantLease
		}
	}
	return true
}
