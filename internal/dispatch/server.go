package dispatch

import "time"

// Times and sizes of a server's health.
const (
	// LoadInterval is how often the load of a server should be told.
	LoadInterval = time.Second
	// loadExpiry is how long a told load counts.
	loadTTL = 5 * time.Second
	// loadPeaks is how many past intervals a load report may lag behind.
	loadPeakIntervals = 3
	// failureLimit is how many failures without a success put a server on probation.
	probationThreshold = 2
	minProbeBackoff    = 500 * time.Millisecond
	maxProbeBackoff    = 10 * time.Second
)

// server is what a dispatcher knows of a backend server of its pool.
type server struct {
	spec                ServerSpec
	grants              int // grants
	external            int // requests of others, by the server's own load report
	loadUpdatedAt       time.Time
	grantPeaks          [loadPeakIntervals]int // highest running in the last intervals
	consecutiveFailures int                    // since the last success
	nextProbeAt         time.Time              // end of the pause before the next probe
	probeBackoff        time.Duration
}

func (s *server) addGrants(delta int) {
	s.grants += delta
	s.grantPeaks[0] = max(s.grantPeaks[0], s.grants)
}

// setLoad takes in the number of requests that the server says it has. What exceeds the
// highest number granted during the report's lag belongs to others.
func (s *server) setLoad(now time.Time, requests int) {
	peak := s.grants
	for _, p := range s.grantPeaks {
		peak = max(peak, p)
	}
	s.external = max(0, requests-peak)
	s.loadUpdatedAt = now
	copy(s.grantPeaks[1:], s.grantPeaks[:loadPeakIntervals-1])
	s.grantPeaks[0] = s.grants
}

// window returns how many grants the server may hold.
func (s *server) grantLimit(now time.Time, standby int) int {
	if !s.spec.Schedulable {
		return 0
	}
	if s.consecutiveFailures >= probationThreshold {
		if now.Before(s.nextProbeAt) {
			return 0
		}
		return 1
	}
	limit := s.spec.Slots + standby
	if now.Sub(s.loadUpdatedAt) < loadTTL {
		limit -= s.external
	}
	return limit
}

// healthy reports whether the server is open and not on probation.
func (s *server) healthy() bool {
	return s.spec.Schedulable && s.consecutiveFailures < probationThreshold
}

// results takes in newly ended runs. The pauses between probes grow up to limit.
func (s *server) recordResults(now time.Time, failed, succeeded uint64, maxBackoff time.Duration) {
	if succeeded > 0 {
		s.consecutiveFailures = 0
		s.probeBackoff = 0
		return
	}
	if failed == 0 {
		return
	}
	s.consecutiveFailures += int(failed)
	if s.consecutiveFailures < probationThreshold {
		return
	}
	s.probeBackoff = min(max(2*s.probeBackoff, minProbeBackoff), maxBackoff)
	s.nextProbeAt = now.Add(s.probeBackoff)
}

func (s *server) utilization() float64 {
	return float64(s.grants+s.external) / float64(max(1, s.spec.Slots))
}
