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

	"github.com/filbertrill/filbertrill/internal/bounded"
	"github.com/filbertrill/filbertrill/internal/peer/pb"
)

// errPongTimeout is the cause of the end of a connection on which no Pong arrived in time.
var errPongTimeout = errors.New("no pong from the peer within the timeout")

// connection is one connection of a link. It sends a Ping only after other messages, so that
// idle links cause no traffic. The Pong confirms that all messages before the Ping arrived.
type connection struct {
	link   *link
	stream pb.DRPCMesh_SessionClient
	cancel context.CancelCauseFunc
	pings  pingTracker

	answered     atomic.Bool   // at least one Pong arrived
	lastPingSeq  atomic.Uint64 // 0 before the first Ping
	pongWatchdog watchdog      // runs while a message is not confirmed by a Pong
}

// runSession dials once and sends until the connection fails or no Pong arrives in time. It
// returns whether the peer answered a ping, and the cause of the end.
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
	// Closing the socket unblocks a write to a peer that no longer reads.
	stop := context.AfterFunc(ctx, func() { _ = socket.Close() })
	defer stop()

	stream, err := pb.NewDRPCMeshClient(bounded.Conn{Conn: conn, MaxEntries: maxEntries}).Session(withToken(ctx, l.mesh.opts.Secret, l.mesh.opts.ID))
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

// receive processes Pongs until the connection fails.
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

// send writes the messages of the link's queue, and a Ping one ping interval after the first
// message that follows the last Ping.
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
		// Started before the write, which blocks if the peer no longer reads.
		c.pongWatchdog.start()
		if err := c.stream.Send(env); err != nil {
			return err
		}
		opts.CountBytes(proto.Size(env), true, messageKind(env), c.link.address)
	}
}

// ping returns the next Ping and records its send time.
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

// onPongTimeout ends the connection; the link then redials.
func (c *connection) onPongTimeout() {
	opts := &c.link.mesh.opts
	opts.Logger.Info("Replaced a silent link.", "peer", c.link.address, "silence", opts.PongTimeout)
	c.cancel(errPongTimeout)
}

// watchdog calls onExpire in its own goroutine if it is not stopped within the timeout after
// start. It is safe for concurrent use.
type watchdog struct {
	timeout  time.Duration
	onExpire func()

	mu    sync.Mutex
	timer *time.Timer
}

// start starts the watchdog. It does nothing if the watchdog is already running.
func (w *watchdog) start() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.timer == nil {
		w.timer = time.AfterFunc(w.timeout, w.onExpire)
	}
}

// stop stops the watchdog, which may be started again.
func (w *watchdog) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.timer != nil {
		w.timer.Stop()
		w.timer = nil
	}
}
