// Package operator answers the operators' tool.
package operator

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/filbertrill/filbertrill/internal/controller/config"
	"github.com/filbertrill/filbertrill/internal/controller/members"
	"github.com/filbertrill/filbertrill/internal/peer/pb"
	"github.com/filbertrill/filbertrill/internal/platform"
	"github.com/filbertrill/filbertrill/internal/result"
	"github.com/filbertrill/filbertrill/internal/ticket"
)

// Times of a submit.
const (
	defaultWait = 10 * time.Second
	pollPhase   = 50 * time.Millisecond
)

// Options configure a Server.
type Options struct {
	SelfID  string
	Log     platform.Log
	Topic   string
	Config  *config.Controller
	Members *members.Controller
	Drain   func()
}

// Server implements the Operator service of package pb.
type Server struct {
	opts Options
}

// NewServer returns a server.
func NewServer(opts Options) *Server {
	if opts.Topic == "" {
		opts.Topic = config.DefaultTopic
	}
	return &Server{opts: opts}
}

// SubmitTicket appends a ticket to the log and waits for the phase that the request names.
func (s *Server) SubmitTicket(ctx context.Context, in *pb.SubmitTicketRequest) (*pb.SubmitTicketReply, error) {
	t, err := ticket.Parse("ticket", in.Ticket)
	if err != nil {
		return reply(&pb.TicketStatus{ResultCode: uint32(result.TicketMalformed), Detail: err.Error()}), nil
	}
	wait := time.Duration(in.TimeoutMs) * time.Millisecond
	if wait <= 0 {
		wait = defaultWait
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	offset, failed := s.append(ctx, t)
	if failed != nil {
		return reply(failed), nil
	}
	return reply(s.await(ctx, t, offset, in.WaitFor)), nil
}

func reply(status *pb.TicketStatus) *pb.SubmitTicketReply {
	return &pb.SubmitTicketReply{Status: status}
}

// append logs the ticket. The second result tells why it did not.
func (s *Server) append(ctx context.Context, t ticket.Ticket) (int64, *pb.TicketStatus) {
	record, err := ticket.Encode(t)
	if err != nil {
		return 0, &pb.TicketStatus{Number: t.Number, ResultCode: uint32(result.TicketMalformed), Detail: err.Error()}
	}
	offsets, err := s.opts.Log.Append(ctx, s.opts.Topic, [][]byte{record})
	if errors.Is(err, platform.ErrNotAppended) {
		return 0, &pb.TicketStatus{Number: t.Number, ResultCode: uint32(result.LogUnavailable), Detail: err.Error()}
	}
	if err != nil {
		return 0, &pb.TicketStatus{Number: t.Number, ResultCode: uint32(result.AppendOutcomeUnknown), Detail: err.Error()}
	}
	return offsets[0], nil
}

// await polls the ticket's status until the phase is reached or the context ends.
func (s *Server) await(ctx context.Context, t ticket.Ticket, offset int64, phase pb.TicketPhase) *pb.TicketStatus {
	ticker := time.NewTicker(pollPhase)
	defer ticker.Stop()
	for {
		status := s.status(t.Number, offset)
		if status.Phase >= phase || status.Phase == pb.TicketPhase_TICKET_PHASE_REJECTED {
			return status
		}
		select {
		case <-ctx.Done():
			status.ResultCode = uint32(result.TicketNotAcceptedInTime)
			return status
		case <-ticker.C:
		}
	}
}
