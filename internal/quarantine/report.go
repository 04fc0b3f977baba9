package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// reportDuration is how long a change is reported to peers. It bridges lost datagrams.
	reportDuration = 2 * time.Second
	// maxReported bounds the subjects in a report, refreshedSubjects those of them that haven't changed. The latter tell
	// daemons that have started since.
	maxReported       = 48
	refreshedSubjects = 4
)

// Report is the evidence against one subject in messages between daemons. Ages are relative to the time of the report.
type Report struct {
	Subject
	Ends      []ReportedEnd
	Sound     bool // an answer on the subject has proved it sound
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

// Reports returns what peers should know: recent changes, those of suspected subjects first, and some of the other
// subjects in turn, those that are suspected apart from the others.
func (r *Registry) Reports(now time.Time) []Report {
	if len(r.evidence) == 0 {
		return nil
	}
	r.expire(now)
	var reports []Report
	var changedSuspects, changed, suspects, others []Subject
	for _, s := range r.sortedSubjects() {
		v := r.evidence[s]
		switch recent := now.Sub(v.observedAt) <= reportDuration; {
		case recent && v.suspected():
			changedSuspects = append(changedSuspects, s)
		case recent:
			changed = append(changed, s)
		case v.suspected():
			suspects = append(suspects, s)
		default:
			others = append(others, s)
		}
	}
	r.refresh++
	add := func(subjects []Subject, most int) {
		for i := range min(most, len(subjects)) {
			s := subjects[(r.refresh*most+i)%len(subjects)]
			reports = append(reports, r.evidence[s].report(s, now))
		}
	}
	add(changedSuspects, maxReported-refreshedSubjects)
	add(changed, maxReported-refreshedSubjects-len(reports))
	add(suspects, refreshedSubjects/2)
	add(others, refreshedSubjects/2)
	return reports
}

// ObservedReports returns what this daemon has observed recently. It suffices for peers that all get it directly.
func (r *Registry) ObservedReports(now time.Time) []Report {
	var reports []Report
	for s, v := range r.evidence {
		if now.Sub(v.observedAt) <= reportDuration {
			reports = append(reports, v.report(s, now))
		}
	}
	return reports
}

// SuspectReports returns the reports of the suspected subjects.
func (r *Registry) SuspectReports(now time.Time) []Report {
	r.expire(now)
	reports := make([]Report, 0, len(r.suspects))
	for s, v := range r.suspects {
		reports = append(reports, v.report(s, now))
	}
	return reports
}

// sortedSubjects returns the subjects with evidence in a fixed order.
func (r *Registry) sortedSubjects() []Subject {
	return slices.SortedFunc(maps.Keys(r.evidence), func(a, b Subject) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.ID, b.ID))
	})
}

func (v *evidence) report(s Subject, now time.Time) Report {
	report := Report{Subject: s, Trials: v.trials}
	_, report.TrialAge = ageOf(v.trialAt, now)
	for _, e := range v.ends {
		report.Ends = append(report.Ends, ReportedEnd{e.Server, now.Sub(e.At), e.Begun, e.Disproved})
	}
	report.Sound, report.SoundAge = ageOf(v.soundAt, now)
	report.Lifted, report.LiftedAge = ageOf(v.liftedAt, now)
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
	if !knownKind(report.Kind) {
		return // of a newer daemon
	}
	v := r.evidenceOf(report.Subject, now)
	for _, e := range report.Ends {
		r.addEnd(v, End{e.Server, now.Add(-e.Age), e.Begun, e.Disproved}, now)
	}
	if report.Trials > v.trials {
		v.trials, v.trialAt, v.changedAt = report.Trials, now.Add(-report.TrialAge), now
	}
	if mergeTime(&v.soundAt, report.Sound, now.Add(-report.SoundAge)) {
		v.changedAt = now
	}
	if mergeTime(&v.liftedAt, report.Lifted, now.Add(-report.LiftedAge)) {
		v.trials, v.changedAt = 0, now
	}
	r.update(report.Subject, v, now)
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
