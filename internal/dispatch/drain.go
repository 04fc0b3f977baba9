package dispatch

import "time"

// Sizes of the drain measurement.
const (
	drainSmoothing = 0.1 // weight of the newest interval
	drainLeast     = 8   // intervals before the measurement counts
)

// drain measures the time between the grants of one queue while requests wait.
type drain struct {
	last      time.Time // of a grant that left requests waiting; zero when none did
	interval  time.Duration
	intervals int
}

// granted takes in a grant that leaves so many requests waiting.
func (d *drain) granted(now time.Time, left int) {
	if !d.last.IsZero() {
		d.add(now.Sub(d.last))
	}
	d.last = time.Time{}
	if left > 0 {
		d.last = now
	}
}

func (d *drain) add(step time.Duration) {
	d.intervals++
	weight := max(drainSmoothing, 1/float64(d.intervals))
	d.interval += time.Duration(weight * float64(step-d.interval))
}

// wait returns how long a request behind so many others waits. It reports false before
// enough is measured, and when none is ahead.
func (d *drain) wait(now time.Time, ahead int) (time.Duration, bool) {
	if d.intervals < drainLeast || ahead == 0 {
		return 0, false
	}
	interval := d.interval
	if !d.last.IsZero() {
		interval = max(interval, now.Sub(d.last)/drainLeast)
	}
	return time.Duration(ahead+1) * interval, true
}
