// Package serverlimit keeps the requests of the whole fleet to a backend server within the limit that the server names
// (distributed rate limiting, Raghavan et al. 2007). Each daemon may use a part of the limit, in proportion to the demand
// that arrives there. The package has no clock, socket or lock of its own.
package serverlimit

import (
	"time"
)

const (
	// increaseDelay is the time for which a daemon could have had a part of a limit before it uses it. By then its peers
	// know the demand that the part was computed from, and have reduced theirs. It exceeds the age of the oldest reports
	// that are used, three send intervals of the largest fleets.
	increaseDelay = 1200 * time.Millisecond
	// burstTime is the time in which the bursts of all parts together use up a limit once. Parts of less than one
	// request in this time would exceed it, so only as many daemons get one as there are requests in it.
	burstTime = 500 * time.Millisecond
	// minRate is the least rate in requests per second that is used of a limit. Some requests must be sent to learn
	// that the limit has ended.
	minRate = 0.1
	// demandTime is the time constant of the moving average of the demand.
	demandTime = 4 * time.Second
	// reportTTL is how long the report of a peer counts.
	reportTTL = 1500 * time.Millisecond
	// summarizedTTL is how long the demands in a summary count. They are part of one summary a second.
	summarizedTTL = 3 * time.Second
	// updateInterval is the least time between two computations of a part.
	updateInterval = 50 * time.Millisecond
	// endedTTL is how long the end of a limit is remembered, so that older reports don't bring the limit back. Limits of
	// servers that are not in the list are kept as long, since a peer may report them first.
	endedTTL = 10 * time.Second
)

// Options are the settings of a Limiter.
type Options struct {
	ID      string     // of this daemon
	Zone    string     // of this daemon
	Daemons func() int // returns the size of the fleet, unreachable daemons included, and more while it is not known
}

// Server is a backend server, identified by a hash of its ID and incarnation.
type Server struct {
	ID        uint64
	Service   uint64    // hash of the name
	ColdUntil time.Time // see Limiter.SetServers; zero for a warm server
	ColdRate  float64   // requests per second that it bears until then; 0 for no limit
}

// BurstFactor bounds the requests of the whole fleet in a second: at most as many as a limit allows in so many seconds.
const BurstFactor = 1 + float64(burstTime)/float64(time.Second)

// limit is what is known of one server's limit, and this daemon's part of it.
type limit struct {
	named     bool // false once the limit has ended
	rate      float64
	at        time.Time // of the last answer that says so
	changedAt time.Time // when named or rate changed

	samples   []sample // parts computed within increaseDelay, and one before
	part      float64  // requests per second that are used
	credit    float64  // requests that may be sent
	updatedAt time.Time
}

// sample is the part of a limit that was computed at one time.
type sample struct {
	at   time.Time
	part float64
}

// Limiter decides whether requests may be sent to servers that name limits. It is not safe for concurrent use.
type Limiter struct {
	options  Options
	services map[uint64]uint64 // by server
	limits   map[uint64]*limit // named by servers
	cold     map[uint64]*coldLimit
	demands  map[uint64]*demand
	peers    map[string]peerReport
	refresh  int // rotates the unchanged limits in reports
}

type peerReport struct {
	Report
	key        uint64 // hash of the daemon's name
	receivedAt time.Time
	ttl        time.Duration // for which it counts
}

// New returns a Limiter that knows no limits.
func New(o Options) *Limiter {
	return &Limiter{
		options:  o,
		services: make(map[uint64]uint64),
		limits:   make(map[uint64]*limit),
		cold:     make(map[uint64]*coldLimit),
		demands:  make(map[uint64]*demand),
		peers:    make(map[string]peerReport),
	}
}

// SetServers replaces the servers. A cold server has a limit that no answer names, see coldLimit.
func (l *Limiter) SetServers(servers []Server) {
	clear(l.services)
	for _, s := range servers {
		l.services[s.ID] = s.Service
		l.setCold(s)
	}
	for id := range l.cold {
		if _, listed := l.services[id]; !listed {
			delete(l.cold, id)
		}
	}
}

// RecordDemand records that a request for the service has arrived at this daemon.
func (l *Limiter) RecordDemand(service uint64, now time.Time) {
	d, ok := l.demands[service]
	if !ok {
		d = &demand{}
		l.demands[service] = d
	}
	d.add(now)
}

// RecordNamed records that the server has named its limit, in requests per second, in an answer.
func (l *Limiter) RecordNamed(server uint64, rate float64, now time.Time) {
	l.set(server, true, rate, now, now)
}

// RecordNotNamed records that the server has named no limit in the answer to a request that was sent at sentAt. It ends
// a limit that was named before that.
func (l *Limiter) RecordNotNamed(server uint64, sentAt, now time.Time) {
	if known, ok := l.limits[server]; ok && known.named && sentAt.After(known.at) {
		l.set(server, false, 0, now, now)
	}
}

// set applies an observation of the time at. Older ones than the known one are ignored.
func (l *Limiter) set(server uint64, named bool, rate float64, at, now time.Time) {
	known, ok := l.limits[server]
	if !ok {
		if !named {
			return
		}
		known = &limit{}
		l.limits[server] = known
	}
	if !at.After(known.at) {
		return
	}
	if known.named != named || known.rate != rate {
		known.changedAt = now
	}
	if named && !known.named {
		known.samples, known.part, known.credit, known.updatedAt = nil, 0, 0, now
	}
	known.named, known.rate, known.at = named, rate, at
}

// Allow reports whether a request may be sent to the server.
func (l *Limiter) Allow(server uint64, now time.Time) bool {
	if !l.allowCold(server, now) {
		return false
	}
	known, ok := l.limits[server]
	if !ok || !known.named {
		return true
	}
	l.update(server, known, known.rate, now)
	return known.part > 0 && known.credit >= 1
}

// Limited reports whether the server has a limit.
func (l *Limiter) Limited(server uint64) bool {
	known, ok := l.limits[server]
	return (ok && known.named) || l.cold[server] != nil
}

// Named returns the limit that the server names, in requests per second, and the time since it last did.
func (l *Limiter) Named(server uint64, now time.Time) (rate float64, age time.Duration, ok bool) {
	known, ok := l.limits[server]
	if !ok || !known.named {
		return 0, 0, false
	}
	return known.rate, now.Sub(known.at), true
}

// Take consumes the right to send one request to the server.
func (l *Limiter) Take(server uint64) { l.addCredit(server, -1) }

// Return gives back the right to send a request that was not sent.
func (l *Limiter) Return(server uint64) { l.addCredit(server, 1) }

func (l *Limiter) addCredit(server uint64, n float64) {
	if known, ok := l.limits[server]; ok && known.named {
		known.credit += n
	}
	if cold, ok := l.cold[server]; ok {
		cold.credit += n
	}
}

// update refills the credit and computes the part of the limit, whose rate is given, anew.
func (l *Limiter) update(server uint64, known *limit, rate float64, now time.Time) {
	elapsed := now.Sub(known.updatedAt)
	if elapsed < updateInterval {
		return
	}
	known.updatedAt = now
	if known.part > 0 {
		burst := max(1, known.part*burstTime.Seconds())
		known.credit = min(burst, known.credit+known.part*elapsed.Seconds())
	}
	known.samples = append(known.samples, sample{now, l.computePart(server, rate, now)})
	// The sample before the last increaseDelay was in force at its beginning.
	for len(known.samples) > 1 && now.Sub(known.samples[1].at) >= increaseDelay {
		known.samples = known.samples[1:]
	}
	known.part = 0
	if now.Sub(known.samples[0].at) >= increaseDelay {
		known.part = known.samples[0].part
		for _, s := range known.samples {
			known.part = min(known.part, s.part)
		}
	}
	if known.part == 0 {
		known.credit = min(known.credit, 0)
	}
}
