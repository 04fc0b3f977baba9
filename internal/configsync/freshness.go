package configsync

import (
	"slices"
	"time"
)

// Source tells how a daemon knows every accepted ticket.
type Source string

// The sources.
const (
	SourceNone     Source = ""
	SourceLog      Source = "log"      // it read the log to its end
	SourcePeer     Source = "peer"     // a peer that knows told it
	SourceMajority Source = "majority" // a majority of the members has nothing newer
)

// Attestation is a peer's answer on its configuration. The peer gave it after the call was sent.
type PeerReport struct {
	Member  string
	SentAt  time.Time     // when the call began, by the asking daemon's clock
	Applied int64         // offset of the last record that the peer applied
	Ready   bool          // the peer has a state, and KnownAge holds
	Age     time.Duration // the peer had every ticket accepted this long before it answered
	Digest  string        // leading part of the digest of the peer's state; empty when relayed
	Relayed bool          // another peer told of it; KnownAge does not hold
}

// Freshness keeps the latest time up to which a daemon surely has every accepted ticket.
// A ticket is accepted once a majority of the members has applied it, so a majority that
// has nothing newer rules out an accepted ticket which is not known here.
type FreshnessTracker struct {
	self        string
	started     time.Time // of the daemon
	asOf        time.Time
	source      Source
	lastLogRead time.Time // beginning of the last read that reached the end of the log
	reports     map[string]PeerReport
}

// NewFreshness returns the freshness of a daemon that started at the given time and knows nothing.
func NewFreshnessTracker(self string, started time.Time) *FreshnessTracker {
	return &FreshnessTracker{self: self, started: started, reports: map[string]PeerReport{}}
}

// Ready reports whether the daemon has every ticket that was accepted before it started.
// Until then it serves nobody and does not count in a majority: an earlier incarnation may
// have confirmed tickets that were forgotten with it.
func (f *FreshnessTracker) Ready() bool { return !f.asOf.IsZero() }

// Known returns the time up to which the daemon has every accepted ticket, zero for never.
func (f *FreshnessTracker) AsOf() (time.Time, Source) { return f.asOf, f.source }

// Age is the time since the daemon last knew every accepted ticket. It takes the larger of
// the monotonic and the wall clock: the monotonic one may stand still while a virtual
// machine is suspended.
func Age(asOf, now time.Time) time.Duration {
	return max(now.Sub(asOf), now.Round(0).Sub(asOf.Round(0)))
}

// LogRead notes a read of the log that began at started, reached the end, and is applied.
func (f *FreshnessTracker) RecordLogRead(started time.Time) {
	f.lastLogRead = started
	f.advance(started, SourceLog)
}

// Witnesses returns the answers that the daemon may pass on: those that it heard itself
// from the given members. There are none while it reads the log, whose readers need none.
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

func (f *FreshnessTracker) advance(asOf time.Time, source Source) {
	if asOf.Before(f.started) {
		return
	}
	if asOf.After(f.asOf) {
		f.asOf, f.source = asOf, source
	}
}

// Attest takes in a peer's answer. An answer to an earlier call than the last one is ignored.
func (f *FreshnessTracker) RecordReport(report PeerReport) {
	if report.Member == f.self {
		return
	}
	if last, ok := f.reports[report.Member]; ok && !report.SentAt.After(last.SentAt) {
		return
	}
	f.reports[report.Member] = report
}

// Evaluate derives the freshness from the answers of peers that have nothing newer than
// the daemon, whose own applied offset is given.
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

func (f *FreshnessTracker) advanceByMajority(confirmedAt []time.Time, majority int) {
	if len(confirmedAt) < majority {
		return
	}
	slices.SortFunc(confirmedAt, func(a, b time.Time) int { return b.Compare(a) })
	f.advance(confirmedAt[majority-1], SourceMajority)
}

// DigestOf returns the leading part of the digest that the member last told, empty for none.
func (f *FreshnessTracker) DigestOf(id string) string { return f.reports[id].Digest }

// AppliedBy returns the last offset that the member is known to have applied, -1 for none.
func (f *FreshnessTracker) AppliedBy(id string) int64 {
	if report, ok := f.reports[id]; ok {
		return report.Applied
	}
	return -1
}
