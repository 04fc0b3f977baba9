package gateway

import "time"

const (
	// closeConnectionsFraction is the fraction of the grace period after which answers close
	// their connections. By then callers have received other addresses.
	closeConnectionsFraction = 0.05
	// refuseRequestsFraction is the fraction of the grace period after which new requests are
	// refused. Requests accepted later might not finish in time.
	refuseRequestsFraction = 0.22
	// exitMargin is how long before the end of the grace period the process exits.
	exitMargin = 250 * time.Millisecond
	// idleExitDelay is the time without requests after which the process exits early. This
	// keeps the number of missing daemons low during a rolling restart.
	idleExitDelay = 250 * time.Millisecond
	// drainPollInterval is the time between two checks for active requests.
	drainPollInterval = 50 * time.Millisecond
	// lastAnswersTime is the time for the answers to requests that are still in progress at the end of the grace period.
	lastAnswersTime = 100 * time.Millisecond
	// lastRequestDelay is the time without requests, after the daemon has stopped to accept
	// connections, after which it exits. A request on a connection that was accepted before is
	// on its way for no longer.
	lastRequestDelay = 50 * time.Millisecond
)

// Drain starts a graceful shutdown and returns at once; Run returns when it is complete.
// Further calls have no effect.
func (g *Gateway) Drain() {
	if g.draining.CompareAndSwap(false, true) {
		close(g.stop)
	}
}

// drain runs the steps of a graceful shutdown: it leaves the directory, closes connections
// with their next answer, refuses new requests and waits for active ones to finish. The
// listener and idle connections stay open meanwhile, so that requests in transit get a
// refusal. Callers may keep sending until the end, so the daemon then stops to accept
// connections and answers the requests of those that it has accepted, also those whose servers have not answered. http.Server.Shutdown
// would close a connection whose request has just been read.
func (g *Gateway) drain() {
	started := time.Now()
	g.logger.Info("Stopping.", "grace", g.settings.GracePeriod)
	g.exchange.TriggerSend()
	timeUntil := func(fraction float64) time.Duration {
		return time.Duration(fraction*float64(g.settings.GracePeriod)) - time.Since(started)
	}
	time.Sleep(timeUntil(closeConnectionsFraction))
	g.handler.SetCloseConnections(true)
	time.Sleep(timeUntil(refuseRequestsFraction))
	g.handler.RefuseRequests()
	lastActive := time.Now()
	for timeUntil(1) > exitMargin && time.Since(lastActive) < idleExitDelay {
		time.Sleep(drainPollInterval)
		if g.handler.ActiveRequests() > 0 {
			lastActive = time.Now()
		}
	}
	g.answerAccepted(min(exitMargin, timeUntil(1)) - drainPollInterval - lastAnswersTime)
	unfinished := g.handler.ActiveRequests()
	g.endRequests(max(lastAnswersTime, timeUntil(1)-drainPollInterval))
	g.logger.Info("Stopped.", "took", time.Since(started), "unfinished", unfinished)
}

// endRequests ends the requests that are in progress, and returns when they have ended, at the latest after the timeout.
func (g *Gateway) endRequests(timeout time.Duration) {
	const pollInterval = lastAnswersTime / 10
	g.handler.EndRequests()
	for end := time.Now().Add(timeout); time.Now().Before(end) && g.handler.ActiveRequests() > 0; {
		time.Sleep(pollInterval)
	}
}

// answerAccepted stops to accept connections and returns when no request has come for
// lastRequestDelay on those that were accepted, at the latest after the timeout.
func (g *Gateway) answerAccepted(timeout time.Duration) {
	if g.callerListener == nil {
		return
	}
	if err := g.callerListener.Close(); err != nil {
		g.logger.Warn("Listener for callers not closed.", "error", err)
	}
	const pollInterval = lastRequestDelay / 10
	requests, lastRequest := g.handler.Requests(), time.Now()
	for end := time.Now().Add(timeout); time.Now().Before(end) && time.Since(lastRequest) < lastRequestDelay; {
		time.Sleep(pollInterval)
		if n := g.handler.Requests(); n != requests || g.handler.ActiveRequests() > 0 {
			requests, lastRequest = n, time.Now()
		}
	}
}
