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
	began  time.Time
	pings  pingTimes

	answered atomic.Bool
	pinged   atomic.Uint64 // seq of the last Ping
	ponged   atomic.Uint64 // seq of the last Pong
	waiting  atomic.Int64  // since when a Pong is due, after began; 0 when none is
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
	c := &connection{link: l, stream: stream, cancel: cancel, began: time.Now()}
	var wg sync.WaitGroup
	wg.Go(c.receive)
	wg.Go(func() { c.watch(ctx) })
	err = c.send(ctx)
	cancel(err)
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
		c.link.mesh.opts.Counter(proto.Size(pong), false, "pong", c.link.address)
		c.answered.Store(true)
		c.ponged.Store(pong.Seq)
		if sent, ok := c.pings.sent(pong.Seq); ok {
			c.link.mesh.opts.Observe(sent, pong)
		}
		if pong.Seq >= c.pinged.Load() {
			c.waiting.Store(0)
		} else {
			c.waiting.Store(int64(time.Since(c.began)))
		}
	}
}

// send writes the link's messages, and a Ping after those of an interval.
func (c *connection) send(ctx context.Context) error {
	opts := &c.link.mesh.opts
	ticker := time.NewTicker(opts.PingInterval)
	defer ticker.Stop()
	unproven := false
	for {
		var env *pb.Envelope
		select {
		case <-ctx.Done():
			return ctx.Err()
		case env = <-c.link.queue:
			unproven = true
			if env.GetPing() != nil {
				unproven = false
				env = c.ping()
			}
		case <-ticker.C:
			if !unproven {
				continue
			}
			unproven = false
			env = c.ping()
		}
		// A write that blocks is as silent as a Pong that stays out.
		c.waiting.CompareAndSwap(0, int64(time.Since(c.began)))
		if err := c.stream.Send(env); err != nil {
			return err
		}
		opts.Counter(proto.Size(env), true, kind(env), c.link.address)
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

// watch ends the connection when no Pong came within the timeout.
func (c *connection) watch(ctx context.Context) {
	opts := &c.link.mesh.opts
	ticker := time.NewTicker(opts.PingInterval / 2)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		since := c.waiting.Load()
		if since == 0 {
			continue
		}
		silence := time.Since(c.began) - time.Duration(since)
		if silence > opts.PongTimeout {
			opts.Logger.Info("Replaced a silent link.", "peer", c.link.address, "silence", silence)
			c.cancel(errSilent)
			return
		}
	}
}
