package peer

import (
	"context"
	"strings"
	"time"

	"github.com/filbertrill/filbertrill/internal/peer/pb"
)

// Pauses before a link is dialed again; they double while no connection stands.
const (
	redialDelay    = 200 * time.Millisecond
	maxRedialDelay = 2 * time.Second
)

// link sends messages to one peer. It replaces its connection when a Pong stays out,
// which finds connections that went silent without being closed.
type link struct {
	mesh     *Mesh
	address  string
	queue    chan *pb.Envelope
	ctx      context.Context
	cancel   context.CancelFunc
	rejected bool // the peer's last answer was that the secret does not match
}

func newLink(m *Mesh, address string) *link {
	ctx, cancel := context.WithCancel(m.ctx)
	queue := make(chan *pb.Envelope, m.opts.QueueLength)
	return &link{mesh: m, address: address, queue: queue, ctx: ctx, cancel: cancel}
}

func (l *link) enqueue(env *pb.Envelope) {
	select {
	case l.queue <- env:
	default:
	}
}

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

// note logs why a connection ended. A peer that refuses the secret is told once, until it
// takes a connection.
func (l *link) logSessionEnd(answered bool, err error) {
	rejected := err != nil && strings.Contains(err.Error(), ErrUnauthenticated.Error())
	if rejected && !l.rejected {
		l.mesh.opts.Logger.Warn("Peer refuses the secret or the clock of this daemon.", "peer", l.address, "error", err)
	}
	if answered && l.rejected {
		l.mesh.opts.Logger.Info("Peer takes the secret again.", "peer", l.address)
	}
	l.rejected = rejected || (l.rejected && !answered)
	l.mesh.opts.Logger.Debug("Link ended, dialing again.", "peer", l.address, "error", err)
}

// discard drops messages that would be stale by the time a connection stands.
func (l *link) discardQueue() {
	for {
		select {
		case <-l.queue:
		default:
			return
		}
	}
}

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
