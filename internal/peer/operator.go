package peer

import (
	"context"
	"io"
	"net"
	"time"

	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcerr"

	"github.com/filbertrill/filbertrill/internal/peer/pb"
	"github.com/filbertrill/filbertrill/internal/result"
)

// operatorSender is the sender that operators' tools name in their token.
const operatorSender = "operator"

// DialOperator connects the operators' tool to a daemon.
func DialOperator(ctx context.Context, address, secret string) (pb.DRPCOperatorClient, io.Closer, error) {
	var dialer net.Dialer
	raw, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, nil, err
	}
	conn := drpcconn.New(raw)
	return &operatorClient{next: pb.NewDRPCOperatorClient(conn), secret: secret}, conn, nil
}

// operatorClient adds the token to each call.
type operatorClient struct {
	next   pb.DRPCOperatorClient
	secret string
}

func (c *operatorClient) auth(ctx context.Context) context.Context {
	return withToken(ctx, c.secret, operatorSender)
}

// operatorGuard checks the token of each call.
type operatorGuard struct {
	next   pb.DRPCOperatorServer
	secret string
}

func (g *operatorGuard) check(ctx context.Context) error {
	return checkToken(ctx, g.secret, time.Now())
}

func (c *operatorClient) DRPCConn() drpc.Conn { return c.next.DRPCConn() }

func (c *operatorClient) SubmitTicket(ctx context.Context, in *pb.SubmitTicketRequest) (*pb.SubmitTicketReply, error) {
	return c.next.SubmitTicket(c.auth(ctx), in)
}

func (c *operatorClient) ShowTicket(ctx context.Context, in *pb.ShowTicketRequest) (*pb.TicketStatus, error) {
	return c.next.ShowTicket(c.auth(ctx), in)
}

func (c *operatorClient) ListTickets(ctx context.Context, in *pb.ListTicketsRequest) (*pb.ListTicketsReply, error) {
	return c.next.ListTickets(c.auth(ctx), in)
}

func (c *operatorClient) Status(ctx context.Context, in *pb.StatusRequest) (*pb.StatusReply, error) {
	return c.next.Status(c.auth(ctx), in)
}

func (c *operatorClient) Config(ctx context.Context, in *pb.ConfigRequest) (*pb.ConfigReply, error) {
	return c.next.Config(c.auth(ctx), in)
}

func (c *operatorClient) Drain(ctx context.Context, in *pb.DrainRequest) (*pb.DrainReply, error) {
	return c.next.Drain(c.auth(ctx), in)
}

// guarded runs the call when its token is valid.
func guarded[In, Out any](ctx context.Context, g *operatorGuard, in In, call func(context.Context, In) (*Out, error)) (*Out, error) {
	if err := g.check(ctx); err != nil {
		return nil, drpcerr.WithCode(err, uint64(result.OperatorUnauthenticated))
	}
	out, err := call(ctx, in)
	if err != nil {
		return nil, drpcerr.WithCode(err, uint64(result.CodeOf(err)))
	}
	return out, nil
}

func (g *operatorGuard) SubmitTicket(ctx context.Context, in *pb.SubmitTicketRequest) (*pb.SubmitTicketReply, error) {
	return guarded(ctx, g, in, g.next.SubmitTicket)
}

func (g *operatorGuard) ShowTicket(ctx context.Context, in *pb.ShowTicketRequest) (*pb.TicketStatus, error) {
	return guarded(ctx, g, in, g.next.ShowTicket)
}

func (g *operatorGuard) ListTickets(ctx context.Context, in *pb.ListTicketsRequest) (*pb.ListTicketsReply, error) {
	return guarded(ctx, g, in, g.next.ListTickets)
}

func (g *operatorGuard) Status(ctx context.Context, in *pb.StatusRequest) (*pb.StatusReply, error) {
	return guarded(ctx, g, in, g.next.Status)
}

func (g *operatorGuard) Config(ctx context.Context, in *pb.ConfigRequest) (*pb.ConfigReply, error) {
	return guarded(ctx, g, in, g.next.Config)
}

func (g *operatorGuard) Drain(ctx context.Context, in *pb.DrainRequest) (*pb.DrainReply, error) {
	return guarded(ctx, g, in, g.next.Drain)
}
