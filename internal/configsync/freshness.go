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
	self    string
	started time.Time // of the daemon
	known   time.Time
	source  Source
	logEnd  time.Time // beginning of the last read that reached the end of the log
	heard   map[string]PeerReport
}

// NewFreshness returns the freshness of a daemon that started at the given time and knows nothing.
func NewFreshnessTracker(self string, started time.Time) *FreshnessTracker {
	return &FreshnessTracker{self: self, started: started, heard: map[string]PeerReport{}}
}

// Ready reports whether the daemon has every ticket that was accepted before it started.
// Until then it serves nobody and does not count in a majority: an earlier incarnation may
// have confirmed tickets that were forgotten with it.
func (f *FreshnessTracker) Ready() bool { return !f.known.IsZero() }

// Known returns the time up to which the daemon has every accepted ticket, zero for never.
func (f *FreshnessTracker) AsOf() (time.Time, Source) { return f.known, f.source }

// Age is the time since the daemon last knew every accepted ticket. It takes the larger of
// the monotonic and the wall clock: the monotonic one may stand still while a virtual
// machine is suspended.
func Age(known, now time.Time) time.Duration {
	return max(now.Sub(known), now.Round(0).Sub(known.Round(0)))
}

// LogRead notes a read of the log that began at started, reached the end, and is applied.
func (f *FreshnessTracker) RecordLogRead(started time.Time) {
	f.logEnd = started
	f.raise(started, SourceLog)
}

// Witnesses returns the answers that the daemon may pass on: those that it heard itself
// from the given members. There are none while it reads the log, whose readers need none.
func (f *FreshnessTracker) RelayableReports(now time.Time, logLimit time.Duration, members map[string]bool) []PeerReport {
	if !f.logEnd.IsZero() && Age(f.logEnd, now) <= logLimit {
		return nil
	}
	var out []PeerReport
	for id, a := range f.heard {
		if members[id] && a.Ready && !a.Relayed {
			out = append(out, a)
		}
	}
	return out
}

func (f *FreshnessTracker) raise(known time.Time, source Source) {
	if known.Before(f.started) {
		return
	}
	if known.After(f.known) {
		f.known, f.source = known, source
	}
}

// Attest takes in a peer's answer. An answer to an earlier call than the last one is ignored.
func (f *FreshnessTracker) RecordReport(a PeerReport) {
	if a.Member == f.self {
		return
	}
	if last, ok := f.heard[a.Member]; ok && !a.SentAt.After(last.SentAt) {
		return
	}
	f.heard[a.Member] = a
}

// Evaluate derives the freshness from the answers of peers that have nothing newer than
// the daemon, whose own applied offset is given.
func (f *FreshnessTracker) Update(now time.Time, applied int64, roster *Roster) {
	var times []time.Time
	for id, a := range f.heard {
		if !roster.Has(id) {
			delete(f.heard, id)
			continue
		}
		if !a.Ready || a.Applied > applied {
			continue
		}
		times = append(times, a.SentAt)
		if !a.Relayed {
			f.raise(a.SentAt.Add(-a.Age), SourcePeer)
		}
	}
	if f.Ready() {
		times = append(times, now)
		f.evaluateMajority(times, roster.Majority())
	}
}

func (f *FreshnessTracker) evaluateMajority(times []time.Time, majority int) {
	if len(times) < majority {
		return
	}
	slices.SortFunc(times, func(a, b time.Time) int { return b.Compare(a) })
	f.raise(times[majority-1], SourceMajority)
}

// DigestOf returns the leading part of the digest that the member last told, empty for none.
func (f *FreshnessTracker) DigestOf(id string) string { return f.heard[id].Digest }

// AppliedBy returns the last offset that the member is known to have applied, -1 for none.
func (f *FreshnessTracker) AppliedBy(id string) int64 {
	if a, ok := f.heard[id]; ok {
		return a.Applied
	}
	return -1
}
