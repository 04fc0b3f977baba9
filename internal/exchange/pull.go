package exchange

import (
	"context"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"storj.io/drpc/drpcconn"

	"github.com/filbertrill/filbertrill/internal/exchange/pb"
)

// pullTimeout bounds one pull.
const pullTimeout = 1500 * time.Millisecond

// Pull asks the peer at the control address for its newest records.
func (x *Exchange) Pull(ctx context.Context, control string) (*pb.Records, error) {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	var dialer net.Dialer
	raw, err := dialer.DialContext(ctx, "tcp", control)
	if err != nil {
		return nil, errors.Wrap(err, "connect to peer")
	}
	conn := drpcconn.New(raw)
	defer conn.Close()
	records, err := pb.NewDRPCExchangeClient(conn).Pull(ctx, &pb.PullRequest{})
	return records, errors.Wrap(err, "pull from peer")
}

type puller struct{ x *Exchange }

// Pull answers a peer.
func (p puller) Pull(context.Context, *pb.PullRequest) (*pb.Records, error) {
	return p.x.options.Records(), nil
}
