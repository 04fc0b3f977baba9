package serverlimit

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// reportDuration is how long a change is reported to peers. It bridges lost datagrams.
	reportDuration = 2 * time.Second
	// refreshedLimits is the number of unchanged limits in a report, in turn, for daemons that have started since.
	refreshedLimits = 4
)

// Report is what a daemon reports to its peers, or the sum of the reports of a zone.
type Report struct {
	Zone    string             // that it summarizes; empty for one daemon
	Daemons int                // that it is the sum of
	Demands map[uint64]float64 // requests per second, by service
	Limits  []ReportedLimit
}

// ReportedLimit is what a server was last known to say of its limit.
type ReportedLimit struct {
	Server uint64
	Named  bool
	Rate   float64 // requests per second
	Age    time.Duration
}

// Report returns the report of this daemon.
func (l *Limiter) Report(now time.Time) Report {
	report := Report{Daemons: 1, Demands: make(map[uint64]float64, len(l.demands))}
	for service, d := range l.demands {
		report.Demands[service] = d.rate(now)
	}
	var unchanged []uint64
	for _, id := range slices.Sorted(maps.Keys(l.limits)) {
		known := l.limits[id]
		if _, listed := l.services[id]; (!known.named || !listed) && now.Sub(known.changedAt) > endedTTL {
			delete(l.limits, id)
			continue
		}
		if known.named {
			l.update(id, known, known.rate, now)
		}
		if now.Sub(known.changedAt) <= reportDuration {
			report.Limits = append(report.Limits, known.report(id, now))
		} else {
			unchanged = append(unchanged, id)
		}
	}
	l.refresh += refreshedLimits
	for i := range min(refreshedLimits, len(unchanged)) {
		id := unchanged[(l.refresh+i)%len(unchanged)]
		report.Limits = append(report.Limits, l.limits[id].report(id, now))
	}
	return report
}

func (k *limit) report(id uint64, now time.Time) ReportedLimit {
	return ReportedLimit{Server: id, Named: k.named, Rate: k.rate, Age: now.Sub(k.at)}
}

// SetPeer replaces the report of a peer or of another zone. Its maps must not be changed afterwards.
func (l *Limiter) SetPeer(name string, r Report, now time.Time) {
	for _, reported := range r.Limits {
		l.set(reported.Server, reported.Named, reported.Rate, now.Add(-reported.Age), now)
	}
	l.peers[name] = peerReport{r, xxhash.Sum64String(name), now, reportTTL}
}

// SetSummarizedPeer replaces the demands of a daemon that a summary of this daemon's zone names, by the hash of its name.
func (l *Limiter) SetSummarizedPeer(key uint64, demands map[uint64]float64, now time.Time) {
	l.peers["#"+strconv.FormatUint(key, 16)] = peerReport{Report{Daemons: 1, Demands: demands}, key, now, summarizedTTL}
}
