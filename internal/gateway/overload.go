package gateway

import (
	"context"
	"runtime"
	"sync/atomic"
	"time"
)

const (
	// overloadSampleInterval is the time between two measurements of the scheduling lag.
	overloadSampleInterval = 20 * time.Millisecond
	// lagWeight is the weight of the newest lag in the moving average, which covers about the
	// last half second.
	lagWeight = 0.05
	// overloadEnterLag and overloadExitLag are the average lags at which a daemon becomes
	// overloaded and stops being so. Each answer takes several goroutine wake-ups, and
	// latency objectives are some hundred milliseconds.
	overloadEnterLag = 15 * time.Millisecond
	overloadExitLag  = 5 * time.Millisecond
)

// overloadDetector detects that the process gets too little processor time. It measures how
// late timers fire and how long runnable goroutines wait. The Go scheduler runs timers first,
// so timer lag alone stays small even if connections are served late. An overloaded daemon
// gives its callers a worse service than others would, and mistakes its own delays for those
// of the servers.
type overloadDetector struct {
	averageLag time.Duration
	overloaded atomic.Bool
}

// observe adds one measured lag to the average and reports whether the state has changed.
func (d *overloadDetector) observe(lag time.Duration) bool {
	d.averageLag += time.Duration(lagWeight * float64(lag-d.averageLag))
	switch wasOverloaded := d.overloaded.Load(); {
	case !wasOverloaded && d.averageLag > overloadEnterLag:
		d.overloaded.Store(true)
		return true
	case wasOverloaded && d.averageLag < overloadExitLag:
		d.overloaded.Store(false)
		return true
	}
	return false
}

// watchOverload measures the lag and publishes state changes until the context ends.
func (g *Gateway) watchOverload(ctx context.Context) {
	for ctx.Err() == nil {
		due := time.Now().Add(overloadSampleInterval)
		time.Sleep(overloadSampleInterval)
		runtime.Gosched() // also measures the wait behind all runnable goroutines
		if g.overload.observe(time.Since(due)) {
			g.logger.Info("Overload state changed.", "strained", g.overload.overloaded.Load(), "lag", g.overload.averageLag)
			g.scheduler.SetOverloaded(g.overload.overloaded.Load())
			g.exchange.TriggerSend()
		}
	}
}
