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
func (d *waitEstimator) recordGrant(now time.Time, left int) {
	if !d.lastGrantAt.IsZero() {
		d.addInterval(now.Sub(d.lastGrantAt))
	}
	d.lastGrantAt = time.Time{}
	if left > 0 {
		d.lastGrantAt = now
	}
}

func (d *waitEstimator) addInterval(step time.Duration) {
	d.intervals++
	weight := max(waitSmoothing, 1/float64(d.intervals))
	d.meanInterval += time.Duration(weight * float64(step-d.meanInterval))
}

// wait returns how long a request behind so many others waits. It reports false before
// enough is measured, and when none is ahead.
func (d *waitEstimator) expectedWait(now time.Time, ahead int) (time.Duration, bool) {
	if d.intervals < minWaitIntervals || ahead == 0 {
		return 0, false
	}
	interval := d.meanInterval
	if !d.lastGrantAt.IsZero() {
		interval = max(interval, now.Sub(d.lastGrantAt)/minWaitIntervals)
	}
	return time.Duration(ahead+1) * interval, true
}
