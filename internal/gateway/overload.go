package gateway

import (
	"context"
	"runtime"
	"sync/atomic"
	"time"
)

const (
	// strainTick is the time between two measurements of the lag.
	overloadSampleInterval = 20 * time.Millisecond
	// strainGain is the weight of the newest lag in the average: about half a second counts.
	lagWeight = 0.05
	// strainEnter and strainLeave are the average lags at which a daemon counts as strained
	// and no longer so: each answer passes several wake-ups, against objectives of some
	// hundred milliseconds.
	overloadEnterLag = 15 * time.Millisecond
	overloadExitLag  = 5 * time.Millisecond
)

// strain tells whether the process gets too little processor time: from how late its own
// timers fire, and how long goroutines that are ready wait for their turn. The scheduler runs
// timers first, so that their lag alone stays small in a process that is far behind with its
// connections. A slow machine serves its callers worse than any other could, and takes its
// own delays for those of the servers.
type overloadDetector struct {
	averageLag time.Duration
	overloaded atomic.Bool
}

// observe takes the lag of one timer and reports whether the state has changed.
func (s *overloadDetector) observe(lag time.Duration) bool {
	s.averageLag += time.Duration(lagWeight * float64(lag-s.averageLag))
	switch wasOverloaded := s.overloaded.Load(); {
	case !wasOverloaded && s.averageLag > overloadEnterLag:
		s.overloaded.Store(true)
		return true
	case wasOverloaded && s.averageLag < overloadExitLag:
		s.overloaded.Store(false)
		return true
	}
	return false
}

// watchStrain measures until the context ends.
func (g *Gateway) watchOverload(ctx context.Context) {
	for ctx.Err() == nil {
		due := time.Now().Add(overloadSampleInterval)
		time.Sleep(overloadSampleInterval)
		runtime.Gosched() // behind all goroutines that are ready
		if g.overload.observe(time.Since(due)) {
			g.logger.Info("Strain changed.", "strained", g.overload.overloaded.Load(), "lag", g.overload.averageLag)
			g.pilot.SetDelayed(g.overload.overloaded.Load())
			g.exchange.Wake()
		}
	}
}
