package gateway

import (
	"time"

	"github.com/filbertrill/filbertrill/internal/exchange/pb"
	"github.com/filbertrill/filbertrill/internal/placement"
	"github.com/filbertrill/filbertrill/internal/routing"
	"github.com/filbertrill/filbertrill/internal/scheduler"
	"github.com/filbertrill/filbertrill/internal/upstream"
)

// registrationIntervals is the number of heartbeat intervals within which the list of servers tells that a process has ended. A
// registration expires after three without a heartbeat, and a process that starts before writes its own within one.
const registrationIntervals = 4

// maxRefused bounds the servers that a view names as refusing connections. All are named again in further views.
const maxRefused = 64

// maxViewDelay is longer than a view takes to arrive, also through other daemons.
const maxViewDelay = 2 * time.Second

// continuity passes on what connections show of the processes of servers. It implements upstream.Continuity.
type continuity struct{ scheduler *scheduler.Scheduler }

// Interrupted implements upstream.Continuity.
func (c continuity) Interrupted(e upstream.Endpoint, at time.Time) {
	c.scheduler.RecordInterrupted(serverOf(e), at)
}

// Refused implements upstream.Continuity.
func (c continuity) Refused(e upstream.Endpoint, at time.Time) {
	c.scheduler.RecordRefused(serverOf(e), at)
}

func serverOf(e upstream.Endpoint) routing.Server {
	return routing.Server{ID: e.ID, Address: e.Address, Incarnation: e.Incarnation}
}

// encodeRefusals returns up to maxRefused of the servers that refused a connection, others each time.
func encodeRefusals(refusals []placement.Refusal, now time.Time) (messages []*pb.RefusedServer) {
	for _, r := range refusals[:min(maxRefused, len(refusals))] {
		messages = append(messages, &pb.RefusedServer{Server: r.Server, Process: r.Process, AgeMs: ageMillis(now.Sub(r.At))})
	}
	return messages
}

// receiveRefusals applies which servers have refused connections of peers, unless one answers on a connection of this daemon from before.
func (g *Gateway) receiveRefusals(messages []*pb.RefusedServer, now time.Time) {
	for _, m := range messages {
		at := now.Add(-time.Duration(m.AgeMs) * time.Millisecond)
		server, ok := g.scheduler.Registered(placement.Refusal{Server: m.Server, Process: m.Process})
		if !ok {
			continue
		}
		e := upstream.Endpoint{Address: server.Address, ID: server.ID, Incarnation: server.Incarnation}
		g.pool.Doubt(e, at.Add(-maxViewDelay), at)
	}
}

var _ upstream.Continuity = continuity{}
