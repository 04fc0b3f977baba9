package peer

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"
	"storj.io/drpc/drpcconn"

	"github.com/filbertrill/filbertrill/internal/peer/pb"
)

// redialDelay is the pause before a link is dialed again.
const redialDelay = 200 * time.Millisecond

// link sends messages to one peer. It replaces its connection when a Pong stays out,
// which finds connections that went silent without being closed.
type link struct {
	mesh    *Mesh
	address string
	queue   chan *pb.Envelope
	ctx     context.Context
	cancel  context.CancelFunc
}

func newLink(m *Mesh, address string) *link {
	ctx, cancel := context.WithCancel(m.ctx)
	queue := make(chan *pb.Envelope, m.opts.QueueLength)
	return &link{mesh: m, address: address, queue: queue, ctx: ctx, cancel: cancel}
}

func (l *link) offer(env *pb.Envelope) {
	select {
	case l.queue <- env:
	default:
	}
}

func (l *link) run() {
	for l.ctx.Err() == nil {
		err := l.session()
		if l.ctx.Err() != nil {
			return
		}
		l.mesh.opts.Logger.Debug("Link ended, dialing again.", "peer", l.address, "error", err)
		select {
		case <-l.ctx.Done():
		case <-time.After(redialDelay):
		}
	}
}

// session dials once and sends until the connection fails or falls silent.
func (l *link) session() error {
	ctx, cancel := context.WithCancel(l.ctx)
	defer cancel()
	dialer := net.Dialer{Timeout: l.mesh.opts.DialTimeout}
	raw, err := dialer.DialContext(ctx, "tcp", l.mesh.dialAddress(l.address))
	if err != nil {
		l.discard()
		return err
	}
	conn := drpcconn.New(raw)
	defer func() { _ = conn.Close() }()
	// Closing the socket unblocks a write that waits on a silent connection.
	stop := context.AfterFunc(ctx, func() { _ = raw.Close() })
	defer stop()

	stream, err := pb.NewDRPCMeshClient(conn).Session(withToken(ctx, l.mesh.opts.Secret, l.mesh.opts.ID))
	if err != nil {
		return err
	}
	var lastPong atomic.Int64
	lastPong.Store(time.Now().UnixNano())
	pings := &pingTimes{}
	go func() {
		defer cancel()
		for {
			pong, err := stream.Recv()
			if err != nil {
				return
			}
			lastPong.Store(time.Now().UnixNano())
			if sent, ok := pings.sent(pong.Seq); ok {
				l.mesh.opts.Observe(sent, pong)
			}
		}
	}()
	return l.pump(ctx, cancel, stream, &lastPong, pings)
}

// discard drops messages that would be stale by the time a connection stands.
func (l *link) discard() {
	for {
		select {
		case <-l.queue:
		default:
			return
		}
	}
}

func (l *link) pump(ctx context.Context, cancel func(), stream pb.DRPCMesh_SessionClient, lastPong *atomic.Int64, pings *pingTimes) error {
	ticker := time.NewTicker(l.mesh.opts.PingInterval)
	defer ticker.Stop()
	go l.watch(ctx, cancel, lastPong)
	seq := uint64(0)
	for {
		var env *pb.Envelope
		select {
		case <-ctx.Done():
			return ctx.Err()
		case env = <-l.queue:
		case <-ticker.C:
			seq++
			pings.add(seq, time.Now())
			env = &pb.Envelope{
				From:        l.mesh.opts.ID,
				Incarnation: l.mesh.opts.Incarnation,
				Body:        &pb.Envelope_Ping{Ping: &pb.Ping{Seq: seq}},
			}
		}
		if err := stream.Send(env); err != nil {
			return err
		}
		l.mesh.opts.Counter(proto.Size(env), true, kind(env), l.address)
	}
}

// watch cancels the session when no Pong came within the timeout.
func (l *link) watch(ctx context.Context, cancel func(), lastPong *atomic.Int64) {
	ticker := time.NewTicker(l.mesh.opts.PingInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			silence := now.Sub(time.Unix(0, lastPong.Load()))
			if silence > l.mesh.opts.PongTimeout {
				l.mesh.opts.Logger.Info("Replaced a silent link.", "peer", l.address, "silence", silence)
				cancel()
				return
			}
		}
	}
}

func kind(env *pb.Envelope) string {
	switch env.Body.(type) {
	case *pb.Envelope_Ping:
		return "ping"
	case *pb.Envelope_Heartbeat:
		return "heartbeat"
	case *pb.Envelope_DemandReport:
		return "demand"
	case *pb.Envelope_GrantBatch:
		return "grant"
	case *pb.Envelope_ConfigRecords, *pb.Envelope_ConfigRequest, *pb.Envelope_ConfigReply:
		return "config"
	}
	return "other"
}
