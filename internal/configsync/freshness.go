package configsync

import (
	"slices"
	"time"
)

// Source is the evidence that a daemon has every ticket accepted up to a given time.
type Source string

// Values of Source.
const (
	SourceNone     Source = ""
	SourceLog      Source = "log"      // the daemon read the log to its end
	SourcePeer     Source = "peer"     // a peer that is up to date has applied nothing newer
	SourceMajority Source = "majority" // a majority of the members has applied nothing newer
)

// PeerReport is a peer's report on its configuration, received in answer to a ping. The
// peer wrote it after SentAt.
type PeerReport struct {
	Member  string
	SentAt  time.Time     // when the ping was sent, by the clock of the daemon that sent it
	Applied int64         // offset of the last record that the peer has applied, -1 for none
	Ready   bool          // the peer has every ticket accepted before it started; Age is valid
	Age     time.Duration // the peer had every ticket accepted up to this long before its answer
	Digest  string        // prefix of the digest of the peer's state, in hex; empty when relayed
	Relayed bool          // received through another peer; Age is not valid
}

// FreshnessTracker tracks the latest time up to which a daemon is certain to have every
// accepted ticket. A ticket is accepted once a majority of the members has applied it. So if
// a majority has applied nothing newer than the daemon, no accepted ticket is missing.
type FreshnessTracker struct {
	self        string
	started     time.Time // when the daemon started
	asOf        time.Time
	source      Source
	lastLogRead time.Time // start of the last read that reached the end of the log
	reports     map[string]PeerReport
}

// NewFreshnessTracker returns a tracker for the daemon with id self, which started at the
// given time and has not confirmed its configuration yet.
func NewFreshnessTracker(self string, started time.Time) *FreshnessTracker {
	return &FreshnessTracker{self: self, started: started, reports: map[string]PeerReport{}}
}

// Ready reports whether the daemon has every ticket that was accepted before it started.
// Until then it serves no requests and does not count towards a majority: an earlier
// incarnation may have applied tickets that were lost with its memory.
func (f *FreshnessTracker) Ready() bool { return !f.asOf.IsZero() }

// AsOf returns the time up to which the daemon has every accepted ticket, and the evidence
// for it. The time is zero while the daemon is not ready.
func (f *FreshnessTracker) AsOf() (time.Time, Source) { return f.asOf, f.source }

// Age returns the time elapsed between asOf and now. It returns the larger of the elapsed
// monotonic and wall clock time, because the monotonic clock may stop while a virtual
// machine is suspended.
func Age(asOf, now time.Time) time.Duration {
	return max(now.Sub(asOf), now.Round(0).Sub(asOf.Round(0)))
}

// RecordLogRead records that a read which began at started reached the end of the log, and
// that its records are applied.
func (f *FreshnessTracker) RecordLogRead(started time.Time) {
	f.lastLogRead = started
	f.advance(started, SourceLog)
}

// RelayableReports returns the reports that the daemon may pass on to peers: those that it
// received directly from the given members. It returns none while the last read of the log
// is at most maxLogAge old, because a daemon that can read the log needs no majority.
func (f *FreshnessTracker) RelayableReports(now time.Time, maxLogAge time.Duration, members map[string]bool) []PeerReport {
	if !f.lastLogRead.IsZero() && Age(f.lastLogRead, now) <= maxLogAge {
		return nil
	}
	var out []PeerReport
	for id, report := range f.reports {
		if members[id] && report.Ready && !report.Relayed {
			out = append(out, report)
		}
	}
	return out
}

// advance sets the time up to which the daemon has every accepted ticket, if asOf is later.
// It ignores times before the start of the daemon; see Ready.
func (f *FreshnessTracker) advance(asOf time.Time, source Source) {
	if asOf.Before(f.started) {
		return
	}
	if asOf.After(f.asOf) {
		f.asOf, f.source = asOf, source
	}
}

// RecordReport stores a peer's report. It ignores a report on the daemon itself, and one
// that was not sent after the stored report of that member.
func (f *FreshnessTracker) RecordReport(report PeerReport) {
	if report.Member == f.self {
		return
	}
	if last, ok := f.reports[report.Member]; ok && !report.SentAt.After(last.SentAt) {
		return
	}
	f.reports[report.Member] = report
}

// Update advances the freshness from the reports of peers that are ready and have applied
// nothing newer than applied, the offset of the last record that the daemon has applied. It
// drops the reports of members that are not in the roster.
func (f *FreshnessTracker) Update(now time.Time, applied int64, roster *Roster) {
	var confirmedAt []time.Time
	for id, report := range f.reports {
		if !roster.Has(id) {
			delete(f.reports, id)
			continue
		}
		if !report.Ready || report.Applied > applied {
			continue
		}
		confirmedAt = append(confirmedAt, report.SentAt)
		if !report.Relayed {
			f.advance(report.SentAt.Add(-report.Age), SourcePeer)
		}
	}
	if f.Ready() {
		confirmedAt = append(confirmedAt, now)
		f.advanceByMajority(confirmedAt, roster.Majority())
	}
}

// advanceByMajority advances the freshness to the latest time at or after which a majority of
// the members has confirmed to have applied nothing newer. confirmedAt holds one time for each
// such member, including the daemon itself.
func (f *FreshnessTracker) advanceByMajority(confirmedAt []time.Time, majority int) {
	if len(confirmedAt) < majority {
		return
	}
	slices.SortFunc(confirmedAt, func(a, b time.Time) int { return b.Compare(a) })
	f.advance(confirmedAt[majority-1], SourceMajority)
}

// DigestOf returns the digest prefix that the member last reported, empty for none.
func (f *FreshnessTracker) DigestOf(id string) string { return f.reports[id].Digest }

// AppliedBy returns the last offset that the member reported as applied, -1 for none.
func (f *FreshnessTracker) AppliedBy(id string) int64 {
	if report, ok := f.reports[id]; ok {
		return report.Applied
	}
	return -1
}
