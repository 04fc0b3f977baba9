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
var errPongTimeout = errors.New("the peer answers no ping")

// connection is one connection of a link. A Ping goes out only after other messages, so
// that idle links cost nothing; its Pong proves that all before it arrived.
type connection struct {
	link   *link
	stream pb.DRPCMesh_SessionClient
	cancel context.CancelCauseFunc
	pings  pingTracker

	answered     atomic.Bool
	lastPingSeq  atomic.Uint64 // seq of the last Ping
	pongWatchdog watchdog
}

// session dials once and sends until the connection fails or falls silent. It reports
// whether the peer ever answered.
func (l *link) runSession() (bool, error) {
	ctx, cancel := context.WithCancelCause(l.ctx)
	defer cancel(nil)
	dialer := net.Dialer{Timeout: l.mesh.opts.DialTimeout}
	socket, err := dialer.DialContext(ctx, "tcp", l.mesh.dialAddress(l.address))
	if err != nil {
		l.discardQueue()
		return false, err
	}
	conn := drpcconn.New(socket)
	defer func() { _ = conn.Close() }()
	// Closing the socket unblocks a write that waits on a silent connection.
	stop := context.AfterFunc(ctx, func() { _ = socket.Close() })
	defer stop()

	stream, err := pb.NewDRPCMeshClient(conn).Session(withToken(ctx, l.mesh.opts.Secret, l.mesh.opts.ID))
	if err != nil {
		return false, err
	}
	c := &connection{link: l, stream: stream, cancel: cancel}
	c.pongWatchdog = watchdog{timeout: l.mesh.opts.PongTimeout, onExpire: c.onPongTimeout}
	var wg sync.WaitGroup
	wg.Go(c.receive)
	err = c.send(ctx)
	cancel(err)
	c.pongWatchdog.stop()
	_ = socket.Close()
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
		if sentAt, ok := c.pings.sentAt(pong.Seq); ok {
			c.link.mesh.opts.OnPong(sentAt, pong)
		}
		c.pongWatchdog.stop()
		if pong.Seq < c.lastPingSeq.Load() {
			c.pongWatchdog.start()
		}
	}
}

// send writes the link's messages, and a Ping after those of an interval.
func (c *connection) send(ctx context.Context) error {
	opts := &c.link.mesh.opts
	pingTimer := time.NewTimer(opts.PingInterval)
	pingTimer.Stop()
	defer pingTimer.Stop()
	pingScheduled := false
	for {
		var env *pb.Envelope
		select {
		case <-ctx.Done():
			return ctx.Err()
		case env = <-c.link.queue:
			if env.GetPing() != nil {
				pingScheduled = false
				pingTimer.Stop()
				env = c.ping()
			} else if !pingScheduled {
				pingScheduled = true
				pingTimer.Reset(opts.PingInterval)
			}
		case <-pingTimer.C:
			pingScheduled = false
			env = c.ping()
		}
		// A write that blocks is as silent as a Pong that stays out.
		c.pongWatchdog.start()
		if err := c.stream.Send(env); err != nil {
			return err
		}
		opts.CountBytes(proto.Size(env), true, messageKind(env), c.link.address)
	}
}

func (c *connection) ping() *pb.Envelope {
	opts := &c.link.mesh.opts
	seq := c.lastPingSeq.Add(1)
	c.pings.record(seq, time.Now())
	return &pb.Envelope{
		From:        opts.ID,
		Incarnation: opts.Incarnation,
		Body:        &pb.Envelope_Ping{Ping: &pb.Ping{Seq: seq}},
	}
}

// silent ends the connection.
func (c *connection) onPongTimeout() {
	opts := &c.link.mesh.opts
	opts.Logger.Info("Replaced a silent link.", "peer", c.link.address, "silence", opts.PongTimeout)
	c.cancel(errPongTimeout)
}

// watchdog calls expired when it was started and not stopped for the timeout.
type watchdog struct {
	timeout  time.Duration
	onExpire func()

	mu    sync.Mutex
	timer *time.Timer
}

// start does nothing when the watchdog runs already.
func (w *watchdog) start() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.timer == nil {
		w.timer = time.AfterFunc(w.timeout, w.onExpire)
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
