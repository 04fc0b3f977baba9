package dispatch

import "time"

// Limits for load reports and for probing of failed servers.
const (
	// LoadInterval is how often callers should query a server for its load and call SetLoad.
	LoadInterval = time.Second
	// loadTTL is how long a reported load remains valid.
	loadTTL = 5 * time.Second
	// loadPeakIntervals is by how many load intervals a load report may lag.
	loadPeakIntervals = 3
	// probationThreshold is the number of consecutive failures that put a server on probation.
	probationThreshold = 2
	minProbeBackoff    = 500 * time.Millisecond
	maxProbeBackoff    = 10 * time.Second
)

// server is the state of a backend server of the dispatcher's pool. A server on probation
// gets one grant at a time, after a backoff, as a probe.
type server struct {
	spec          ServerSpec
	grants        int // running grants
	external      int // requests without a grant, derived from the server's load report
	loadUpdatedAt time.Time
	grantPeaks    [loadPeakIntervals]int // highest number of grants in recent load intervals
	failures      int                    // consecutive
	nextProbeAt   time.Time              // end of the current backoff
	probeBackoff  time.Duration
}

func (s *server) addGrants(delta int) {
	s.grants += delta
	s.grantPeaks[0] = max(s.grantPeaks[0], s.grants)
}

// setLoad records the number of requests that the server reports. Requests in excess of the
// peak number of grants during the possible lag of the report are external.
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

// grantLimit returns how many grants the server may have at once.
func (s *server) grantLimit(now time.Time, standby int) int {
	if !s.spec.Schedulable {
		return 0
	}
	if s.failures >= probationThreshold {
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

// healthy reports whether the server is schedulable and not on probation.
func (s *server) healthy() bool { return s.spec.Schedulable && s.failures < probationThreshold }

// recordResults records ended runs. On probation the probe backoff doubles with each call
// without a success, up to maxBackoff. A success ends the probation.
func (s *server) recordResults(now time.Time, failed, succeeded uint64, maxBackoff time.Duration) {
	if succeeded > 0 {
		s.failures = 0
		s.probeBackoff = 0
		return
	}
	if failed == 0 {
		return
	}
	s.failures += int(failed)
	if s.failures < probationThreshold {
		return
	}
	s.probeBackoff = min(max(2*s.probeBackoff, minProbeBackoff), maxBackoff)
	s.nextProbeAt = now.Add(s.probeBackoff)
}

// utilisation returns the number of requests per slot.
func (s *server) utilisation() float64 {
	return float64(s.grants+s.external) / float64(max(1, s.spec.Slots))
}
