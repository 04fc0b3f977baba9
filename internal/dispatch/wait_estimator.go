package dispatch

import "time"

// Sizes of the drain measurement.
const (
	waitSmoothing    = 0.1 // weight of the newest interval
	minWaitIntervals = 8   // intervals before the measurement counts
)

// drain measures the time between the grants of one queue while requests wait.
type waitEstimator struct {
	lastGrantAt  time.Time // of a grant that left requests waiting; zero when none did
	meanInterval time.Duration
	intervals    int
}

// granted takes in a grant that leaves so many requests waiting.
func (w *waitEstimator) recordGrant(now time.Time, remaining int) {
	if !w.lastGrantAt.IsZero() {
		w.addInterval(now.Sub(w.lastGrantAt))
	}
	w.lastGrantAt = time.Time{}
	if remaining > 0 {
		w.lastGrantAt = now
	}
}

func (w *waitEstimator) addInterval(interval time.Duration) {
	w.intervals++
	weight := max(waitSmoothing, 1/float64(w.intervals))
	w.meanInterval += time.Duration(weight * float64(interval-w.meanInterval))
}

// wait returns how long a request behind so many others waits. It reports false before
// enough is measured, and when none is ahead.
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
