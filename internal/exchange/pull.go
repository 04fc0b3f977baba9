package exchange

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"storj.io/drpc/drpcconn"

	"github.com/filbertrill/filbertrill/internal/bounded"
	"github.com/filbertrill/filbertrill/internal/exchange/pb"
	"github.com/filbertrill/filbertrill/internal/telemetry"
)

// pullTimeout bounds the time for one pull, including the connection setup.
const pullTimeout = 1500 * time.Millisecond

// PullRecords returns the newest records of the peer at the control address, as far as they differ from what the request
// says that this daemon has.
func (x *Exchange) PullRecords(ctx context.Context, controlAddress string, request *pb.PullRequest) (records *pb.Records, err error) {
	err = x.pull(ctx, controlAddress, func(ctx context.Context, peer pb.DRPCExchangeClient) error {
		records, err = peer.Pull(ctx, request)
		return err
	})
	return records, err
}

// PullCachedParts returns the cached prefix parts of engines that the peer at the control address
// knows of.
func (x *Exchange) PullCachedParts(ctx context.Context, controlAddress string) (prompts *pb.Prompts, err error) {
	err = x.pull(ctx, controlAddress, func(ctx context.Context, peer pb.DRPCExchangeClient) error {
		prompts, err = peer.PullPrompts(ctx, &pb.PullRequest{})
		return err
	})
	return prompts, err
}

// pull is like callPeer and counts what it sends and receives.
func (x *Exchange) pull(ctx context.Context, controlAddress string, invoke func(context.Context, pb.DRPCExchangeClient) error) error {
	traffic, err := callPeer(ctx, controlAddress, invoke)
	zone := x.zoneOf(controlAddress)
	x.countSent(zone, telemetry.TrafficPulls, int(traffic.sent.Load()))
	x.countReceived(zone, telemetry.TrafficPulls, int(traffic.received.Load()))
	x.countControl(telemetry.Sent, zone, telemetry.KindPull, int(traffic.sent.Load()))
	x.countControl(telemetry.Received, zone, telemetry.KindPull, int(traffic.received.Load()))
	return err
}

// connTraffic is the number of bytes that were sent and received on a connection.
type connTraffic struct{ sent, received atomic.Int64 }

// countedConn is a connection that counts its bytes.
type countedConn struct {
	net.Conn
	traffic *connTraffic
}

// Read implements net.Conn.
func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.traffic.received.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.traffic.sent.Add(int64(n))
	return n, err
}

// callPeer invokes a call on a new connection to the peer. Pulls are too rare to keep connections
// open. It returns the bytes on that connection also with an error.
func callPeer(ctx context.Context, controlAddress string, invoke func(context.Context, pb.DRPCExchangeClient) error) (*connTraffic, error) {
	traffic := &connTraffic{}
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	var dialer net.Dialer
	rawConn, err := dialer.DialContext(ctx, "tcp", controlAddress)
	if err != nil {
		return traffic, errors.Wrap(err, "connect to peer")
	}
	conn := drpcconn.NewWithOptions(countedConn{rawConn, traffic}, drpcconn.Options{Manager: readerOptions(maxReplyBytes)})
	defer conn.Close()
	return traffic, errors.Wrap(invoke(ctx, pb.NewDRPCExchangeClient(bounded.Conn{Conn: conn, MaxEntries: maxReplyEntries})), "pull from peer")
}

// pullServer serves the pulls of peers.
type pullServer struct {
	exchange *Exchange
	slots    chan struct{} // one element for each pull of records in progress
}

// Pull implements pb.DRPCExchangeServer.
func (s pullServer) Pull(ctx context.Context, request *pb.PullRequest) (*pb.Records, error) {
	select {
	case s.slots <- struct{}{}:
	case <-ctx.Done():
		return nil, errors.Wrap(ctx.Err(), "wait for earlier pulls")
	}
	defer func() { <-s.slots }()
	return s.exchange.options.Records(request), nil
}

// PullPrompts implements pb.DRPCExchangeServer.
func (s pullServer) PullPrompts(context.Context, *pb.PullRequest) (*pb.Prompts, error) {
	return s.exchange.options.CachedParts(), nil
}

// ListQuarantine implements pb.DRPCExchangeServer.
func (s pullServer) ListQuarantine(context.Context, *pb.PullRequest) (*pb.QuarantineList, error) {
	return s.exchange.options.Quarantine(), nil
}

// ListNotices implements pb.DRPCExchangeServer.
func (s pullServer) ListNotices(context.Context, *pb.PullRequest) (*pb.NoticeList, error) {
	return s.exchange.options.Notices(), nil
}

// LiftQuarantine implements pb.DRPCExchangeServer.
func (s pullServer) LiftQuarantine(_ context.Context, r *pb.LiftRequest) (*pb.LiftResult, error) {
	return &pb.LiftResult{Held: s.exchange.options.LiftQuarantine(r.Id)}, nil
}

// ListQuarantine gets the prompt parts and requests that the daemon at the address holds back.
func ListQuarantine(ctx context.Context, controlAddress string) (list *pb.QuarantineList, err error) {
	_, err = callPeer(ctx, controlAddress, func(ctx context.Context, peer pb.DRPCExchangeClient) error {
		list, err = peer.ListQuarantine(ctx, &pb.PullRequest{})
		return err
	})
	return list, err
}

// ListNotices gets what servers have said to the daemon at the address of the requests that they take.
func ListNotices(ctx context.Context, controlAddress string) (list *pb.NoticeList, err error) {
	_, err = callPeer(ctx, controlAddress, func(ctx context.Context, peer pb.DRPCExchangeClient) error {
		list, err = peer.ListNotices(ctx, &pb.PullRequest{})
		return err
	})
	return list, err
}

// LiftQuarantine releases a prompt part or request in the fleet of the daemon at the address. It reports whether it was held.
func LiftQuarantine(ctx context.Context, controlAddress string, id uint64) (held bool, err error) {
	_, err = callPeer(ctx, controlAddress, func(ctx context.Context, peer pb.DRPCExchangeClient) error {
		lifted, err := peer.LiftQuarantine(ctx, &pb.LiftRequest{Id: id})
		held = lifted.GetHeld()
		return err
	})
	return held, err
}
