package retry

import (
	"time"

	"github.com/filbertrill/filbertrill/internal/monotonic"
)

// steps is the number of buckets in which a Window slides.
const buckets = 10

// WindowOptions bound the repeats of a service over the whole fleet.
type WindowOptions struct {
	Ratio  float64       // repeats for each request
	Slack  float64       // repeats beyond the ratio
	Window time.Duration // over which both count
}

// headroom is the part of the bound that is used: the windows of daemons don't start
// together, and requests that callers send elsewhere meanwhile don't count here.
const safetyFactor = 0.7

// Window counts the requests and repeats of one service in a sliding window. Each daemon
// takes an equal part of the fleet's slack, so that daemons which are cut off from each
// other keep the bound together. It is not safe for concurrent use.
type Window struct {
	options  WindowOptions
	requests [buckets]float64
	retries  [buckets]float64
	index    int64
}

// NewWindow returns an empty window.
func NewWindow(o WindowOptions) *Window { return &Window{options: o} }

// Request counts a request of a caller.
func (w *Window) RecordRequest(now time.Time) {
	w.slide(now)
	w.requests[w.index%buckets]++
}

// Take takes a repeat in a fleet of the given number of daemons, and reports false when
// none is left.
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
	w.retries[w.index%buckets]++
	return true
}

func (w *Window) slide(now time.Time) {
	index := monotonic.UnixNano(now) / max(1, w.options.Window.Nanoseconds()/buckets)
	if index-w.index >= buckets {
		w.requests, w.retries = [buckets]float64{}, [buckets]float64{}
		w.index = index
	}
	for w.index < index {
		w.index++
		w.requests[w.index%buckets], w.retries[w.index%buckets] = 0, 0
	}
}
