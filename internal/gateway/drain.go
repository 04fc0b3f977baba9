package gateway

import "time"

const (
	// handBackAfter is the part of the grace period after which answers close their
	// connections: callers have new addresses by then.
	handBackAfter = 0.05
	// refuseAfter is the part of the grace period after which requests are refused: those
	// taken later might not end in time.
	refuseAfter = 0.3
	// endBefore is the time before the end of the grace period at which the process ends.
	endBefore = 250 * time.Millisecond
	// quietBefore is the time without a connection after which the process ends sooner.
	quietBefore = 500 * time.Millisecond
	// drainPoll is the time between two looks at the connections.
	drainPoll = 50 * time.Millisecond
)

// Drain begins a planned stop. Further calls change nothing.
func (g *Gateway) Drain() {
	if g.draining.CompareAndSwap(false, true) {
		close(g.stop)
	}
}

// drain runs the steps of a planned stop: out of the directory, connections handed back,
// no more requests, the end of those under way. The listener stays open and idle connections
// are left to their callers: a request may be on its way on any of them, and gets a refusal.
func (g *Gateway) drain() {
	started := time.Now()
	g.logger.Info("Stopping.", "grace", g.settings.Grace)
	g.exchange.Wake()
	share := func(part float64) time.Duration {
		return time.Duration(part*float64(g.settings.Grace)) - time.Since(started)
	}
	time.Sleep(share(handBackAfter))
	g.handler.HandBack()
	time.Sleep(share(refuseAfter))
	g.handler.Refuse()
	quiet := time.Now()
	for share(1) > endBefore && time.Since(quiet) < quietBefore {
		time.Sleep(drainPoll)
		if g.connections.Load() > 0 {
			quiet = time.Now()
		}
	}
	g.logger.Info("Stopped.", "took", time.Since(started), "connections", g.connections.Load())
}
