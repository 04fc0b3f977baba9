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
func (l *grantReceiver) nextReportSeq(now time.Time) uint64 {
	l.reportSeq++
	l.sentReports = append(l.sentReports, sentReport{seq: l.reportSeq, sentAt: now})
	for len(l.sentReports) > 0 && now.Sub(l.sentReports[0].sentAt) > GrantLease {
		l.sentReports = l.sentReports[1:]
	}
	return l.reportSeq
}

// accept reports whether the batch is of the newest dispatcher heard, and whether that
// dispatcher is a new one.
func (l *grantReceiver) acceptBatch(now time.Time, b GrantBatch) (adopted, ok bool) {
	if b.DispatcherIncarnation < l.dispatcherIncarnation {
		return false, false
	}
	if b.DispatcherIncarnation == l.dispatcherIncarnation {
		return false, true
	}
	l.dispatcherIncarnation = b.DispatcherIncarnation
	l.lastGrantSeq = 0
	return true, true
}

// take reports whether the grant is a new one. Grants that were passed over never are.
func (l *grantReceiver) acceptGrant(seq uint64) bool {
	if seq <= l.lastGrantSeq {
		return false
	}
	l.lastGrantSeq = seq
	return true
}

// lapsed reports whether the report that a batch answers is too old.
func (l *grantReceiver) leaseExpired(now time.Time, reportSeq uint64) bool {
	for _, r := range l.sentReports {
		if r.seq == reportSeq {
			return now.Sub(r.sentAt) > GrantLease
		}
	}
	return true
}
