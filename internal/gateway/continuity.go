package gateway

import (
	"time"

	"github.com/filbertrill/filbertrill/internal/routing"
	"github.com/filbertrill/filbertrill/internal/scheduler"
	"github.com/filbertrill/filbertrill/internal/upstream"
)

// registrationIntervals is the number of heartbeat intervals within which the list of servers tells that a process has ended. A
// registration expires after three without a heartbeat, and a process that starts before writes its own within one.
const registrationIntervals = 4

// continuity passes on what connections show of the processes of servers. It implements upstream.Continuity.
type continuity struct{ scheduler *scheduler.Scheduler }

// Interrupted implements upstream.Continuity.
func (c continuity) Interrupted(e upstream.Endpoint, at time.Time) {
	c.scheduler.RecordInterrupted(serverOf(e), at)
}

// Broken implements upstream.Continuity.
func (c continuity) Broken(e upstream.Endpoint, at time.Time) {
	c.scheduler.RecordServerBroken(serverOf(e), at)
}

// Continued implements upstream.Continuity.
func (c continuity) Continued(e upstream.Endpoint, asOf time.Time) {
	c.scheduler.RecordContinued(serverOf(e), asOf)
}

func serverOf(e upstream.Endpoint) routing.Server {
	return routing.Server{ID: e.ID, Address: e.Address, Incarnation: e.Incarnation}
}

var _ upstream.Continuity = continuity{}
