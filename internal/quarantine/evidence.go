package quarantine

import "time"

// End is the end of a backend server while a request was in flight there. Servers are identified by a hash of their ID
// and incarnation.
type End struct {
	Server    uint64
	At        time.Time
	Begun     bool // a part of the answer had arrived
	Disproved bool // the server has answered since
}

// evidence is what is known against a subject.
type evidence struct {
	rule        *rule
	ends        []End // of different servers
	soundAt     time.Time
	suspectedAt time.Time // zero if it isn't suspected
	liftedAt    time.Time // by an operator; earlier ends don't count
	trials      int       // requests that were sent although it was suspected
	trialAt     time.Time // of the last one
	changedAt   time.Time // when something was added that peers may not know
	observedAt  time.Time // when this daemon itself last added something
}

// lastEnd returns the time of the last ended server, zero if there is none.
func (v *evidence) lastEnd() time.Time {
	var last time.Time
	for _, e := range v.ends {
		if e.At.After(last) {
			last = e.At
		}
	}
	return last
}

// counts reports whether the end is evidence against the subject.
func (v *evidence) counts(e End) bool {
	return !e.Disproved && e.At.After(v.liftedAt) && (v.soundAt.IsZero() || e.At.After(v.soundAt.Add(soundTTL)))
}

// weight returns the evidence without the servers whose end is explained otherwise.
func (v *evidence) weight(explained map[uint64]bool) int {
	total := 0
	for _, e := range v.ends {
		switch {
		case !v.counts(e) || explained[e.Server]:
		case e.Begun:
			total += v.rule.beginWeight
		default:
			total += v.rule.waitWeight
		}
	}
	return total
}

// incriminated reports whether the evidence makes the subject a suspect, without the servers whose end is explained
// otherwise.
func (v *evidence) incriminated(explained map[uint64]bool) bool {
	return v.weight(explained) >= v.rule.suspectWeight
}

func (v *evidence) suspected() bool { return !v.suspectedAt.IsZero() }

// explain adds the servers whose end is evidence against the subject.
func (v *evidence) explain(explained map[uint64]bool) {
	for _, e := range v.ends {
		if v.counts(e) {
			explained[e.Server] = true
		}
	}
}

// covers reports whether all ends that are evidence against the other subject are evidence against this one.
func (v *evidence) covers(other *evidence) bool {
	explained := make(map[uint64]bool)
	v.explain(explained)
	return other.weight(explained) == 0
}

// expiry returns the time at which the evidence is forgotten.
func (v *evidence) expiry() time.Time {
	if v.suspected() {
		return v.lastEnd().Add(v.rule.suspicionTTL)
	}
	return v.lastEnd().Add(evidenceTTL)
}

func (v *evidence) status(s Subject) Status {
	status := Status{Subject: s, Since: v.suspectedAt, Until: v.nextTrial()}
	for _, e := range v.ends {
		if !e.Disproved {
			status.Servers = append(status.Servers, e.Server)
		}
	}
	return status
}
