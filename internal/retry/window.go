package retry

import (
	"time"

	"github.com/filbertrill/filbertrill/internal/monotonic"
)

// steps is the number of buckets in which a Window slides.
const steps = 10

// WindowOptions bound the repeats of a service over the whole fleet.
type WindowOptions struct {
	Ratio  float64       // repeats for each request
	Slack  float64       // repeats beyond the ratio
	Window time.Duration // over which both count
}

// headroom is the part of the bound that is used: the windows of daemons don't start
// together, and requests that callers send elsewhere meanwhile don't count here.
const headroom = 0.7

// Window counts the requests and repeats of one service in a sliding window. Each daemon
// takes an equal part of the fleet's slack, so that daemons which are cut off from each
// other keep the bound together. It is not safe for concurrent use.
type Window struct {
	options  WindowOptions
	requests [steps]float64
	repeats  [steps]float64
	index    int64
}

// NewWindow returns an empty window.
func NewWindow(o WindowOptions) *Window { return &Window{options: o} }

// Request counts a request of a caller.
func (w *Window) RecordRequest(now time.Time) {
	w.slide(now)
	w.requests[w.index%steps]++
}

// Take takes a repeat in a fleet of the given number of daemons, and reports false when
// none is left.
func (w *Window) Take(now time.Time, daemons int) bool {
	w.slide(now)
	var requests, repeats float64
	for i := range w.requests {
		requests += w.requests[i]
		repeats += w.repeats[i]
	}
	allowed := headroom * (w.options.Ratio*requests + w.options.Slack/float64(max(1, daemons)))
	if repeats+1 > allowed {
		return false
	}
	w.repeats[w.index%steps]++
	return true
}

func (w *Window) slide(now time.Time) {
	index := monotonic.UnixNano(now) / max(1, w.options.Window.Nanoseconds()/steps)
	if index-w.index >= steps {
		w.requests, w.repeats = [steps]float64{}, [steps]float64{}
		w.index = index
	}
	for w.index < index {
		w.index++
		w.requests[w.index%steps], w.repeats[w.index%steps] = 0, 0
	}
}
