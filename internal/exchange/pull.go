package exchange

import (
	"context"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"storj.io/drpc/drpcconn"

	"github.com/filbertrill/filbertrill/internal/exchange/pb"
)

// pullTimeout bounds the time for one pull, including the connection setup.
const pullTimeout = 1500 * time.Millisecond

// PullRecords returns the newest records of the peer at the control address.
func (x *Exchange) PullRecords(ctx context.Context, controlAddress string) (records *pb.Records, err error) {
	err = callPeer(ctx, controlAddress, func(ctx context.Context, peer pb.DRPCExchangeClient) error {
		records, err = peer.Pull(ctx, &pb.PullRequest{})
		return err
	})
	return records, err
}

// PullCachedParts returns the cached prefix parts of engines that the peer at the control address
// knows of.
func (x *Exchange) PullCachedParts(ctx context.Context, controlAddress string) (prompts *pb.Prompts, err error) {
	err = callPeer(ctx, controlAddress, func(ctx context.Context, peer pb.DRPCExchangeClient) error {
		prompts, err = peer.PullPrompts(ctx, &pb.PullRequest{})
		return err
	})
	return prompts, err
}

// callPeer invokes a call on a new connection to the peer. Pulls are too rare to keep connections
// open.
func callPeer(ctx context.Context, controlAddress string, invoke func(context.Context, pb.DRPCExchangeClient) error) error {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	var dialer net.Dialer
	rawConn, err := dialer.DialContext(ctx, "tcp", controlAddress)
	if err != nil {
		return errors.Wrap(err, "connect to peer")
	}
	conn := drpcconn.New(rawConn)
	defer conn.Close()
	return errors.Wrap(invoke(ctx, pb.NewDRPCExchangeClient(conn)), "pull from peer")
}

// pullServer serves the pulls of peers.
type pullServer struct{ exchange *Exchange }

// Pull implements pb.DRPCExchangeServer.
func (s pullServer) Pull(context.Context, *pb.PullRequest) (*pb.Records, error) {
	return s.exchange.options.Records(), nil
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
	err = callPeer(ctx, controlAddress, func(ctx context.Context, peer pb.DRPCExchangeClient) error {
		list, err = peer.ListQuarantine(ctx, &pb.PullRequest{})
		return err
	})
	return list, err
}

// ListNotices gets what servers have said to the daemon at the address of the requests that they take.
func ListNotices(ctx context.Context, controlAddress string) (list *pb.NoticeList, err error) {
	err = callPeer(ctx, controlAddress, func(ctx context.Context, peer pb.DRPCExchangeClient) error {
		list, err = peer.ListNotices(ctx, &pb.PullRequest{})
		return err
	})
	return list, err
}

// LiftQuarantine releases a prompt part or request in the fleet of the daemon at the address. It reports whether it was held.
func LiftQuarantine(ctx context.Context, controlAddress string, id uint64) (held bool, err error) {
	err = callPeer(ctx, controlAddress, func(ctx context.Context, peer pb.DRPCExchangeClient) error {
		lifted, err := peer.LiftQuarantine(ctx, &pb.LiftRequest{Id: id})
		held = lifted.GetHeld()
		return err
	})
	return held, err
}
