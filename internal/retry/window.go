package retry

import (
	"time"

	"github.com/filbertrill/filbertrill/internal/monotonic"
)

// bucketCount is the number of buckets that a Window is divided into.
const bucketCount = 10

// WindowOptions limit the retries of a service over the whole fleet.
type WindowOptions struct {
	Ratio  float64       // retries per request
	Slack  float64       // retries in addition to the ratio
	Window time.Duration // over which requests and retries are counted
}

// safetyFactor is the part of the limit that is used: the windows of the daemons are not aligned,
// and requests that callers send to other daemons meanwhile are not counted here.
const safetyFactor = 0.7

// Window is a retry budget that counts the requests and retries of one service in a sliding
// window. Each daemon uses an equal part of the fleet's slack, so that the limit of the fleet
// holds even when daemons can't reach each other. It is not safe for concurrent use.
type Window struct {
	options  WindowOptions
	requests [bucketCount]float64
	retries  [bucketCount]float64
	index    int64
}

// NewWindow returns an empty window.
func NewWindow(o WindowOptions) *Window { return &Window{options: o} }

// RecordRequest counts a request of a caller. Retries are not counted as requests.
func (w *Window) RecordRequest(now time.Time) {
	w.slide(now)
	w.requests[w.index%bucketCount]++
}

// Take consumes one retry in a fleet of the given number of daemons. It reports false when the
// budget is exhausted.
func (w *Window) Take(now time.Time, daemons int) bool {
	w.slide(now)
	var requests, retries float64
	for i := range w.requests {
		requests += w.requests[i]
		retries += w.retries[i]
	}
	allowed := safetyFactor * (w.options.Ratio*requests + w.options.Slack/float64(max(1, daemons)))
	if retries+1 > allowed {
		return false
	}
	w.retries[w.index%bucketCount]++
	return true
}

func (w *Window) slide(now time.Time) {
	index := monotonic.UnixNano(now) / max(1, w.options.Window.Nanoseconds()/bucketCount)
	if index-w.index >= bucketCount {
		w.requests, w.retries = [bucketCount]float64{}, [bucketCount]float64{}
		w.index = index
	}
	for w.index < index {
		w.index++
		w.requests[w.index%bucketCount], w.retries[w.index%bucketCount] = 0, 0
	}
}
