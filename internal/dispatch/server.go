package dispatch

import "time"

// Times and sizes of a server's health.
const (
	// LoadInterval is how often the load of a server should be told.
	LoadInterval = time.Second
	// loadExpiry is how long a told load counts.
	loadExpiry = 5 * time.Second
	// loadPeaks is how many past intervals a load report may lag behind.
	loadPeaks = 3
	// failureLimit is how many failures without a success put a server on probation.
	failureLimit  = 2
	probeDelay    = 500 * time.Millisecond
	maxProbeDelay = 10 * time.Second
)

// server is what a dispatcher knows of a backend server of its pool.
type server struct {
	spec     ServerSpec
	running  int // grants
	external int // requests of others, by the server's own load report
	loadSeen time.Time
	peaks    [loadPeaks]int // highest running in the last intervals
	failures int            // since the last success
	probeAt  time.Time      // end of the pause before the next probe
	delay    time.Duration
}

func (s *server) add(n int) {
	s.running += n
	s.peaks[0] = max(s.peaks[0], s.running)
}

// setLoad takes in the number of requests that the server says it has. What exceeds the
// highest number granted during the report's lag belongs to others.
func (s *server) setLoad(now time.Time, total int) {
	peak := s.running
	for _, p := range s.peaks {
		peak = max(peak, p)
	}
	s.external = max(0, total-peak)
	s.loadSeen = now
	copy(s.peaks[1:], s.peaks[:loadPeaks-1])
	s.peaks[0] = s.running
}

// window returns how many grants the server may hold.
func (s *server) window(now time.Time, standby int) int {
	if !s.spec.Schedulable {
		return 0
	}
	if s.failures >= failureLimit {
		if now.Before(s.probeAt) {
			return 0
		}
		return 1
	}
	window := s.spec.Slots + standby
	if now.Sub(s.loadSeen) < loadExpiry {
		window -= s.external
	}
	return window
}

// healthy reports whether the server is open and not on probation.
func (s *server) healthy() bool { return s.spec.Schedulable && s.failures < failureLimit }

// results takes in newly ended runs. The pauses between probes grow up to limit.
func (s *server) results(now time.Time, failed, succeeded uint64, limit time.Duration) {
	if succeeded > 0 {
		s.failures = 0
		s.delay = 0
		return
	}
	if failed == 0 {
		return
	}
	s.failures += int(failed)
	if s.failures < failureLimit {
		return
	}
	s.delay = min(max(2*s.delay, probeDelay), limit)
	s.probeAt = now.Add(s.delay)
}

func (s *server) load() float64 {
	return float64(s.running+s.external) / float64(max(1, s.spec.Slots))
}
