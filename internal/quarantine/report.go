package quarantine

import "time"

const (
	// reportDuration is how long a change is reported to peers. It bridges lost datagrams.
	reportDuration = 2 * time.Second
	// maxReported bounds the parts in a report, refreshedParts those of them that haven't changed. The latter tell
	// daemons that have started since.
	maxReported    = 48
	refreshedParts = 4
)

// Report is the evidence against one part in messages between daemons. Ages are relative to the time of the report.
type Report struct {
	Part      uint64
	Ends      []ReportedEnd
	Sound     bool // an answer on the part has gone on
	SoundAge  time.Duration
	Lifted    bool
	LiftedAge time.Duration
	Trials    int
	TrialAge  time.Duration // of the last one, if there are any
}

// AddAge makes the report older. It is used for reports that were stored.
func (r *Report) AddAge(age time.Duration) {
	for i := range r.Ends {
		r.Ends[i].Age += age
	}
	r.SoundAge += age
	r.LiftedAge += age
	r.TrialAge += age
}

// ReportedEnd is an End in a Report.
type ReportedEnd struct {
	Server    uint64
	Age       time.Duration
	Begun     bool
	Disproved bool
}

// Reports returns what peers should know: recent changes, and some of the other parts in turn, those that are suspected
// apart from the others.
func (r *Registry) Reports(now time.Time) []Report {
	if len(r.parts) == 0 {
		return nil
	}
	r.expire(now)
	var reports []Report
	var suspected, others []uint64
	for _, id := range r.sortedIDs() {
		p := r.parts[id]
		switch {
		case now.Sub(p.changedAt) <= reportDuration && len(reports) < maxReported-refreshedParts:
			reports = append(reports, p.report(id, now))
		case p.suspected():
			suspected = append(suspected, id)
		default:
			others = append(others, id)
		}
	}
	r.refresh++
	for _, ids := range [][]uint64{suspected, others} {
		for i := range min(refreshedParts/2, len(ids)) {
			id := ids[(r.refresh*refreshedParts/2+i)%len(ids)]
			reports = append(reports, r.parts[id].report(id, now))
		}
	}
	return reports
}

// SuspectReports returns the reports of the suspected parts.
func (r *Registry) SuspectReports(now time.Time) []Report {
	r.expire(now)
	reports := make([]Report, 0, len(r.suspects))
	for id, p := range r.suspects {
		reports = append(reports, p.report(id, now))
	}
	return reports
}

func (p *part) report(id uint64, now time.Time) Report {
	report := Report{Part: id, Trials: p.trials}
	_, report.TrialAge = ageOf(p.trialAt, now)
	for _, e := range p.ends {
		report.Ends = append(report.Ends, ReportedEnd{e.Server, now.Sub(e.At), e.Begun, e.Disproved})
	}
	report.Sound, report.SoundAge = ageOf(p.soundAt, now)
	report.Lifted, report.LiftedAge = ageOf(p.liftedAt, now)
	return report
}

// ageOf returns the age of a time, and false if it is zero.
func ageOf(t, now time.Time) (bool, time.Duration) {
	if t.IsZero() {
		return false, 0
	}
	return true, now.Sub(t)
}

// Merge adds the reports of a peer.
func (r *Registry) Merge(reports []Report, now time.Time) {
	for _, report := range reports {
		r.mergeReport(report, now)
	}
}

func (r *Registry) mergeReport(report Report, now time.Time) {
	p := r.part(report.Part, now)
	for _, e := range report.Ends {
		r.addEnd(p, End{e.Server, now.Add(-e.Age), e.Begun, e.Disproved}, now)
	}
	if report.Trials > p.trials {
		p.trials, p.trialAt, p.changedAt = report.Trials, now.Add(-report.TrialAge), now
	}
	if mergeTime(&p.soundAt, report.Sound, now.Add(-report.SoundAge)) {
		p.changedAt = now
	}
	if mergeTime(&p.liftedAt, report.Lifted, now.Add(-report.LiftedAge)) {
		p.trials, p.changedAt = 0, now
	}
	r.update(report.Part, p, now)
}

// mergeTime advances a time that a peer reported. It reports whether peers should know, too: the ages of one moment
// that arrive on several ways differ by their delays, which is no news.
func mergeTime(t *time.Time, reported bool, at time.Time) bool {
	if !reported || !at.After(*t) {
		return false
	}
	news := t.IsZero() || at.Sub(*t) > soundTTL/4
	*t = at
	return news
}
