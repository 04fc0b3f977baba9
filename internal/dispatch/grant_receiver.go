package dispatch

import "time"

// GrantLease is how long a grant may be used after its receiver sent the report that it
// answers. A dispatcher that heard nothing of a grant for longer takes it back.
const GrantLease = 2 * time.Second

// grantLink is the receiver's side of the grants of one dispatcher.
type grantReceiver struct {
	reportSeq             uint64 // of the last report
	dispatcherIncarnation uint64 // highest incarnation heard
	lastGrantSeq          uint64
	sentReports           []sentReport // of the last GrantLease, oldest first
}

type sentReport struct {
	seq    uint64
	sentAt time.Time
}

// sent counts a report and returns its sequence number.
func (r *grantReceiver) nextReportSeq(now time.Time) uint64 {
	r.reportSeq++
	r.sentReports = append(r.sentReports, sentReport{seq: r.reportSeq, sentAt: now})
	for len(r.sentReports) > 0 && now.Sub(r.sentReports[0].sentAt) > GrantLease {
		r.sentReports = r.sentReports[1:]
	}
	return r.reportSeq
}

// accept reports whether the batch is of the newest dispatcher heard, and whether that
// dispatcher is a new one.
func (r *grantReceiver) acceptBatch(now time.Time, b GrantBatch) (newDispatcher, ok bool) {
	if b.DispatcherIncarnation < r.dispatcherIncarnation {
		return false, false
	}
	if b.DispatcherIncarnation == r.dispatcherIncarnation {
		return false, true
	}
	r.dispatcherIncarnation = b.DispatcherIncarnation
	r.lastGrantSeq = 0
	return true, true
}

// take reports whether the grant is a new one. Grants that were passed over never are.
func (r *grantReceiver) acceptGrant(seq uint64) bool {
	if seq <= r.lastGrantSeq {
		return false
	}
	r.lastGrantSeq = seq
	return true
}

// lapsed reports whether the report that a batch answers is too old.
func (r *grantReceiver) leaseExpired(now time.Time, reportSeq uint64) bool {
	for _, report := range r.sentReports {
		if report.seq == reportSeq {
			return now.Sub(report.sentAt) > GrantLease
		}
	}
	return true
}
