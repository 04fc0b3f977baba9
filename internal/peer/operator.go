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

// operatorSender is the sender in the tokens of the operators' tool.
const operatorSender = "operator"

// DialOperator connects to the Operator service of the daemon at the address. The client adds
// a token made from the secret to each call. The caller closes the connection.
func DialOperator(ctx context.Context, address, secret string) (pb.DRPCOperatorClient, io.Closer, error) {
	var dialer net.Dialer
	socket, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, nil, err
	}
	conn := drpcconn.New(socket)
	return &authOperatorClient{next: pb.NewDRPCOperatorClient(conn), secret: secret}, conn, nil
}

// authOperatorClient is an Operator client that adds a token to each call.
type authOperatorClient struct {
	next   pb.DRPCOperatorClient
	secret string
}

func (c *authOperatorClient) withToken(ctx context.Context) context.Context {
	return withToken(ctx, c.secret, operatorSender)
}

// authOperatorServer is an Operator server that checks the token of each call.
type authOperatorServer struct {
	next   pb.DRPCOperatorServer
	secret string
}

func (s *authOperatorServer) checkToken(ctx context.Context) error {
	return checkToken(ctx, s.secret, time.Now())
}

func (c *authOperatorClient) DRPCConn() drpc.Conn { return c.next.DRPCConn() }

func (c *authOperatorClient) SubmitTicket(ctx context.Context, in *pb.SubmitTicketRequest) (*pb.SubmitTicketReply, error) {
	return c.next.SubmitTicket(c.withToken(ctx), in)
}

func (c *authOperatorClient) ShowTicket(ctx context.Context, in *pb.ShowTicketRequest) (*pb.TicketStatus, error) {
	return c.next.ShowTicket(c.withToken(ctx), in)
}

func (c *authOperatorClient) ListTickets(ctx context.Context, in *pb.ListTicketsRequest) (*pb.ListTicketsReply, error) {
	return c.next.ListTickets(c.withToken(ctx), in)
}

func (c *authOperatorClient) Status(ctx context.Context, in *pb.StatusRequest) (*pb.StatusReply, error) {
	return c.next.Status(c.withToken(ctx), in)
}

func (c *authOperatorClient) Config(ctx context.Context, in *pb.ConfigRequest) (*pb.ConfigReply, error) {
	return c.next.Config(c.withToken(ctx), in)
}

func (c *authOperatorClient) Drain(ctx context.Context, in *pb.DrainRequest) (*pb.DrainReply, error) {
	return c.next.Drain(c.withToken(ctx), in)
}

// callAuthenticated runs the call if its token is valid. Errors carry their result code as
// drpc error code.
func callAuthenticated[In, Out any](ctx context.Context, s *authOperatorServer, in In, call func(context.Context, In) (*Out, error)) (*Out, error) {
	if err := s.checkToken(ctx); err != nil {
		return nil, drpcerr.WithCode(err, uint64(result.OperatorUnauthenticated))
	}
	out, err := call(ctx, in)
	if err != nil {
		return nil, drpcerr.WithCode(err, uint64(result.CodeOf(err)))
	}
	return out, nil
}

func (s *authOperatorServer) SubmitTicket(ctx context.Context, in *pb.SubmitTicketRequest) (*pb.SubmitTicketReply, error) {
	return callAuthenticated(ctx, s, in, s.next.SubmitTicket)
}

func (s *authOperatorServer) ShowTicket(ctx context.Context, in *pb.ShowTicketRequest) (*pb.TicketStatus, error) {
	return callAuthenticated(ctx, s, in, s.next.ShowTicket)
}

func (s *authOperatorServer) ListTickets(ctx context.Context, in *pb.ListTicketsRequest) (*pb.ListTicketsReply, error) {
	return callAuthenticated(ctx, s, in, s.next.ListTickets)
}

func (s *authOperatorServer) Status(ctx context.Context, in *pb.StatusRequest) (*pb.StatusReply, error) {
	return callAuthenticated(ctx, s, in, s.next.Status)
}

func (s *authOperatorServer) Config(ctx context.Context, in *pb.ConfigRequest) (*pb.ConfigReply, error) {
	return callAuthenticated(ctx, s, in, s.next.Config)
}

func (s *authOperatorServer) Drain(ctx context.Context, in *pb.DrainRequest) (*pb.DrainReply, error) {
	return callAuthenticated(ctx, s, in, s.next.Drain)
}
