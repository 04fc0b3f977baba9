package dispatch

import "time"

// Parameters of the wait estimate.
const (
	waitSmoothing    = 0.1 // weight of the newest interval in the moving average
	minWaitIntervals = 8   // intervals needed for an estimate
)

// waitEstimator estimates the wait in a queue from the intervals between grants to it. Only
// intervals during which requests waited count.
type waitEstimator struct {
	lastGrantAt  time.Time     // last grant, if it left requests waiting; zero otherwise
	meanInterval time.Duration // exponential moving average
	intervals    int
}

// recordGrant records a grant after which the remaining number of requests wait.
func (w *waitEstimator) recordGrant(now time.Time, remaining int) {
	if !w.lastGrantAt.IsZero() {
		w.addInterval(now.Sub(w.lastGrantAt))
	}
	w.lastGrantAt = time.Time{}
	if remaining > 0 {
		w.lastGrantAt = now
	}
}

// addInterval updates the average. The first 1/waitSmoothing intervals have equal weight.
func (w *waitEstimator) addInterval(interval time.Duration) {
	w.intervals++
	weight := max(waitSmoothing, 1/float64(w.intervals))
	w.meanInterval += time.Duration(weight * float64(interval-w.meanInterval))
}

// expectedWait returns the expected wait of a request with the given number of requests ahead
// of it. It returns false if none is ahead or fewer than minWaitIntervals were measured.
func (w *waitEstimator) expectedWait(now time.Time, ahead int) (time.Duration, bool) {
	if w.intervals < minWaitIntervals || ahead == 0 {
		return 0, false
	}
	interval := w.meanInterval
	if !w.lastGrantAt.IsZero() {
		interval = max(interval, now.Sub(w.lastGrantAt)/minWaitIntervals)
	}
	return time.Duration(ahead+1) * interval, true
}
