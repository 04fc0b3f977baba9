package peer

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"
	"storj.io/drpc/drpcconn"

	"github.com/filbertrill/filbertrill/internal/peer/pb"
)

// errSilent ends a connection whose peer answers no Ping.
var errSilent = errors.New("the peer answers no ping")

// connection is one connection of a link. A Ping goes out only after other messages, so
// that idle links cost nothing; its Pong proves that all before it arrived.
type connection struct {
	link   *link
	stream pb.DRPCMesh_SessionClient
	cancel context.CancelCauseFunc
	pings  pingTimes

	answered atomic.Bool
	pinged   atomic.Uint64 // seq of the last Ping
	silence  watchdog
}

// session dials once and sends until the connection fails or falls silent. It reports
// whether the peer ever answered.
func (l *link) session() (bool, error) {
	ctx, cancel := context.WithCancelCause(l.ctx)
	defer cancel(nil)
	dialer := net.Dialer{Timeout: l.mesh.opts.DialTimeout}
	raw, err := dialer.DialContext(ctx, "tcp", l.mesh.dialAddress(l.address))
	if err != nil {
		l.discard()
		return false, err
	}
	conn := drpcconn.New(raw)
	defer func() { _ = conn.Close() }()
	// Closing the socket unblocks a write that waits on a silent connection.
	stop := context.AfterFunc(ctx, func() { _ = raw.Close() })
	defer stop()

	stream, err := pb.NewDRPCMeshClient(conn).Session(withToken(ctx, l.mesh.opts.Secret, l.mesh.opts.ID))
	if err != nil {
		return false, err
	}
	c := &connection{link: l, stream: stream, cancel: cancel}
	c.silence = watchdog{timeout: l.mesh.opts.PongTimeout, expired: c.silent}
	var wg sync.WaitGroup
	wg.Go(c.receive)
	err = c.send(ctx)
	cancel(err)
	c.silence.stop()
	_ = raw.Close()
	wg.Wait()
	return c.answered.Load(), context.Cause(ctx)
}

// receive takes in Pongs until the connection fails.
func (c *connection) receive() {
	for {
		pong, err := c.stream.Recv()
		if err != nil {
			c.cancel(err)
			return
		}
		c.link.mesh.opts.CountBytes(proto.Size(pong), false, "pong", c.link.address)
		c.answered.Store(true)
		if sent, ok := c.pings.sent(pong.Seq); ok {
			c.link.mesh.opts.OnPong(sent, pong)
		}
		c.silence.stop()
		if pong.Seq < c.pinged.Load() {
			c.silence.start()
		}
	}
}

// send writes the link's messages, and a Ping after those of an interval.
func (c *connection) send(ctx context.Context) error {
	opts := &c.link.mesh.opts
	ping := time.NewTimer(opts.PingInterval)
	ping.Stop()
	defer ping.Stop()
	unproven := false
	for {
		var env *pb.Envelope
		select {
		case <-ctx.Done():
			return ctx.Err()
		case env = <-c.link.queue:
			if env.GetPing() != nil {
				unproven = false
				ping.Stop()
				env = c.ping()
			} else if !unproven {
				unproven = true
				ping.Reset(opts.PingInterval)
			}
		case <-ping.C:
			unproven = false
			env = c.ping()
		}
		// A write that blocks is as silent as a Pong that stays out.
		c.silence.start()
		if err := c.stream.Send(env); err != nil {
			return err
		}
		opts.CountBytes(proto.Size(env), true, kind(env), c.link.address)
	}
}

func (c *connection) ping() *pb.Envelope {
	opts := &c.link.mesh.opts
	seq := c.pinged.Add(1)
	c.pings.add(seq, time.Now())
	return &pb.Envelope{
		From:        opts.ID,
		Incarnation: opts.Incarnation,
		Body:        &pb.Envelope_Ping{Ping: &pb.Ping{Seq: seq}},
	}
}

// silent ends the connection.
func (c *connection) silent() {
	opts := &c.link.mesh.opts
	opts.Logger.Info("Replaced a silent link.", "peer", c.link.address, "silence", opts.PongTimeout)
	c.cancel(errSilent)
}

// watchdog calls expired when it was started and not stopped for the timeout.
type watchdog struct {
	timeout time.Duration
	expired func()

	mu    sync.Mutex
	timer *time.Timer
}

// start does nothing when the watchdog runs already.
func (w *watchdog) start() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.timer == nil {
		w.timer = time.AfterFunc(w.timeout, w.expired)
	}
}

func (w *watchdog) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.timer != nil {
		w.timer.Stop()
		w.timer = nil
	}
}
