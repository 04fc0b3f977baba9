package peer

import (
	"context"
	"strings"
	"time"

	"github.com/filbertrill/filbertrill/internal/peer/pb"
)

// Delays before a link is redialed. The delay doubles with each attempt until the peer answers.
const (
	redialDelay    = 200 * time.Millisecond
	maxRedialDelay = 2 * time.Second
)

// link sends messages to one peer over one connection at a time. It replaces a connection on
// which no Pong arrives in time, since a broken connection may stay open without an error.
type link struct {
	mesh     *Mesh
	address  string
	queue    chan *pb.Envelope
	ctx      context.Context
	cancel   context.CancelFunc
	rejected bool // the peer rejected the token and has not answered a ping since
}

// newLink returns a link to the peer at the address. It sends nothing until run is called.
func newLink(m *Mesh, address string) *link {
	ctx, cancel := context.WithCancel(m.ctx)
	queue := make(chan *pb.Envelope, m.opts.QueueLength)
	return &link{mesh: m, address: address, queue: queue, ctx: ctx, cancel: cancel}
}

// enqueue queues a message, or drops it if the queue is full.
func (l *link) enqueue(env *pb.Envelope) {
	select {
	case l.queue <- env:
	default:
	}
}

// run keeps a connection to the peer, redialing when it ends, until the link is cancelled.
func (l *link) run() {
	delay := redialDelay
	for l.ctx.Err() == nil {
		answered, err := l.runSession()
		if l.ctx.Err() != nil {
			return
		}
		delay = min(2*delay, maxRedialDelay)
		if answered {
			delay = redialDelay
		}
		l.logSessionEnd(answered, err)
		select {
		case <-l.ctx.Done():
		case <-time.After(delay):
		}
	}
}

// logSessionEnd logs why a connection ended. A peer that rejects the token is logged once,
// not again until it has answered a ping.
func (l *link) logSessionEnd(answered bool, err error) {
	rejected := err != nil && strings.Contains(err.Error(), ErrUnauthenticated.Error())
	if rejected && !l.rejected {
		l.mesh.opts.Logger.Warn("Peer rejected the secret or the clock of this daemon.", "peer", l.address, "error", err)
	}
	if answered && l.rejected {
		l.mesh.opts.Logger.Info("Peer accepts the secret again.", "peer", l.address)
	}
	l.rejected = rejected || (l.rejected && !answered)
	l.mesh.opts.Logger.Debug("Connection ended, redialing.", "peer", l.address, "error", err)
}

// discardQueue drops the queued messages, which would be stale once the peer is reachable.
func (l *link) discardQueue() {
	for {
		select {
		case <-l.queue:
		default:
			return
		}
	}
}

// messageKind returns the kind of a message for Options.CountBytes.
func messageKind(env *pb.Envelope) string {
	switch env.Body.(type) {
	case *pb.Envelope_Ping:
		return "ping"
	case *pb.Envelope_Heartbeat:
		return "heartbeat"
	case *pb.Envelope_ZoneReports, *pb.Envelope_ZoneRequest:
		return "zone_reports"
	case *pb.Envelope_DemandReport:
		return "demand"
	case *pb.Envelope_GrantBatch:
		return "grant"
	case *pb.Envelope_ConfigRecords, *pb.Envelope_ConfigRequest, *pb.Envelope_ConfigReply:
		return "config"
	}
	return "other"
}
