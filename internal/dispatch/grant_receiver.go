package dispatch

import "time"

// GrantLease is how long a grant may be used, counted from when its receiver sent the report
// that the grant answers. A dispatcher reclaims a grant that stays unacknowledged for longer.
const GrantLease = 2 * time.Second

// grantReceiver tracks the reports sent to the dispatcher of a pool and the grants received
// from it.
type grantReceiver struct {
	reportSeq             uint64 // of the last report
	dispatcherIncarnation uint64 // highest received
	lastGrantSeq          uint64
	sentReports           []sentReport // within the last GrantLease, oldest first
}

type sentReport struct {
	seq    uint64
	sentAt time.Time
}

// nextReportSeq records that a report is sent now and returns its sequence number.
func (r *grantReceiver) nextReportSeq(now time.Time) uint64 {
	r.reportSeq++
	r.sentReports = append(r.sentReports, sentReport{seq: r.reportSeq, sentAt: now})
	for len(r.sentReports) > 0 && now.Sub(r.sentReports[0].sentAt) > GrantLease {
		r.sentReports = r.sentReports[1:]
	}
	return r.reportSeq
}

// acceptBatch returns ok if no batch of a later dispatcher was received before, and
// newDispatcher if the batch is the first one of its dispatcher.
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

// acceptGrant reports whether the grant is newer than all accepted ones. Grants that were
// skipped are not accepted later.
func (r *grantReceiver) acceptGrant(seq uint64) bool {
	if seq <= r.lastGrantSeq {
		return false
	}
	r.lastGrantSeq = seq
	return true
}

// leaseExpired reports whether the report was sent more than GrantLease ago, or is unknown.
func (r *grantReceiver) leaseExpired(now time.Time, reportSeq uint64) bool {
	for _, report := range r.sentReports {
		if report.seq == reportSeq {
			return now.Sub(report.sentAt) > GrantLease
		}
	}
	return true
}
