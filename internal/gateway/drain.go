package gateway

import "time"

const (
	// handBackAfter is the part of the grace period after which answers close their
	// connections: callers have new addresses by then.
	handBackAfter = 0.05
	// refuseAfter is the part of the grace period after which requests are refused: those
	// taken later might not end in time.
	refuseAfter = 0.22
	// endBefore is the time before the end of the grace period at which the process ends.
	endBefore = 250 * time.Millisecond
	// quietBefore is the time without a request after which the process ends sooner, so that
	// few daemons are away at once when all are stopped in turn.
	quietBefore = 250 * time.Millisecond
	// drainPoll is the time between two looks at the requests.
	drainPoll = 50 * time.Millisecond
)

// Drain begins a planned stop. Further calls change nothing.
func (g *Gateway) Drain() {
	if g.draining.CompareAndSwap(false, true) {
		close(g.stop)
	}
}

// drain runs the steps of a planned stop: out of the directory, connections handed back,
// no more requests, the end of those under way. The listener and idle connections stay open
// to the end of the process: a request may be on its way on any of them, and gets a refusal.
// http.Server.Shutdown would close a connection whose request has just been read.
func (g *Gateway) drain() {
	started := time.Now()
	g.logger.Info("Stopping.", "grace", g.settings.Grace)
	g.exchange.TriggerSend()
	share := func(part float64) time.Duration {
		return time.Duration(part*float64(g.settings.Grace)) - time.Since(started)
	}
	time.Sleep(share(handBackAfter))
	g.handler.SetCloseConnections(true)
	time.Sleep(share(refuseAfter))
	g.handler.RefuseRequests()
	quiet := time.Now()
	for share(1) > endBefore && time.Since(quiet) < quietBefore {
		time.Sleep(drainPoll)
		if g.handler.ActiveRequests() > 0 {
			quiet = time.Now()
		}
	}
	g.logger.Info("Stopped.", "took", time.Since(started), "unfinished", g.handler.ActiveRequests())
}
