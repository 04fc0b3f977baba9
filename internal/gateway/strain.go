package gateway

import (
	"context"
	"runtime"
	"sync/atomic"
	"time"
)

const (
	// strainTick is the time between two measurements of the lag.
	strainTick = 20 * time.Millisecond
	// strainGain is the weight of the newest lag in the average: about half a second counts.
	strainGain = 0.05
	// strainEnter and strainLeave are the average lags at which a daemon counts as strained
	// and no longer so: each answer passes several wake-ups, against objectives of some
	// hundred milliseconds.
	strainEnter = 15 * time.Millisecond
	strainLeave = 5 * time.Millisecond
)

// strain tells whether the process gets too little processor time: from how late its own
// timers fire, and how long goroutines that are ready wait for their turn. The scheduler runs
// timers first, so that their lag alone stays small in a process that is far behind with its
// connections. A slow machine serves its callers worse than any other could, and takes its
// own delays for those of the servers.
type strain struct {
	lag      time.Duration
	strained atomic.Bool
}

// observe takes the lag of one timer and reports whether the state has changed.
func (s *strain) observe(lag time.Duration) bool {
	s.lag += time.Duration(strainGain * float64(lag-s.lag))
	switch was := s.strained.Load(); {
	case !was && s.lag > strainEnter:
		s.strained.Store(true)
		return true
	case was && s.lag < strainLeave:
		s.strained.Store(false)
		return true
	}
	return false
}

// watchStrain measures until the context ends.
func (g *Gateway) watchStrain(ctx context.Context) {
	for ctx.Err() == nil {
		due := time.Now().Add(strainTick)
		time.Sleep(strainTick)
		runtime.Gosched() // behind all goroutines that are ready
		if g.strain.observe(time.Since(due)) {
			g.logger.Info("Strain changed.", "strained", g.strain.strained.Load(), "lag", g.strain.lag)
			g.pilot.SetOverloaded(g.strain.strained.Load())
			g.exchange.TriggerSend()
		}
	}
}
