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

// part is the evidence against a prompt part.
type part struct {
	ends        []End // of different servers
	soundAt     time.Time
	suspectedAt time.Time // zero if it isn't suspected
	liftedAt    time.Time // by an operator; earlier evidence doesn't count
	trials      int       // requests that were sent although it was suspected
	trialAt     time.Time // of the last one
	changedAt   time.Time // when something was added that peers may not know
}

// lastEnd returns the time of the last ended server, zero if there is none.
func (p *part) lastEnd() time.Time {
	var last time.Time
	for _, e := range p.ends {
		if e.At.After(last) {
			last = e.At
		}
	}
	return last
}

// counts reports whether the end is evidence against the part.
func (p *part) counts(e End) bool {
	return !e.Disproved && e.At.After(p.liftedAt) && (p.soundAt.IsZero() || e.At.After(p.soundAt.Add(soundTTL)))
}

// weight returns the evidence against the part without the servers whose end is explained otherwise.
func (p *part) weight(explained map[uint64]bool) int {
	total := 0
	for _, e := range p.ends {
		switch {
		case !p.counts(e) || explained[e.Server]:
		case e.Begun:
			total += beginWeight
		default:
			total += waitWeight
		}
	}
	return total
}

// incriminated reports whether the evidence makes the part a suspect, without the servers whose end is explained
// otherwise.
func (p *part) incriminated(explained map[uint64]bool) bool {
	return p.weight(explained) >= suspectWeight
}

func (p *part) suspected() bool { return !p.suspectedAt.IsZero() }

// explain adds the servers whose end is evidence against the part.
func (p *part) explain(explained map[uint64]bool) {
	for _, e := range p.ends {
		if p.counts(e) {
			explained[e.Server] = true
		}
	}
}

func (p *part) status(id uint64) Status {
	s := Status{Part: id, Since: p.suspectedAt, Until: p.nextTrial()}
	for _, e := range p.ends {
		if !e.Disproved {
			s.Servers = append(s.Servers, e.Server)
		}
	}
	return s
}
