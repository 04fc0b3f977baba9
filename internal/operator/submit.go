package operator

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/filbertrill/filbertrill/internal/logservice"
	"github.com/filbertrill/filbertrill/internal/peer/pb"
	"github.com/filbertrill/filbertrill/internal/result"
	"github.com/filbertrill/filbertrill/internal/ticket"
)

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
	listed := s.refreshList(ctx)
	offset, err := s.appendOnce(ctx, t)
	<-listed
	if err != nil {
		return reply(s.notLogged(t, err)), nil
	}
	return reply(s.await(ctx, t, offset, in.WaitFor)), nil
}

// refreshList asks for the list of instances, so that a majority is not counted without
// those that have just started. It closes the channel when that has ended.
func (s *Server) refreshList(ctx context.Context) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.opts.Members.RefreshList(ctx)
		s.opts.Config.RefreshRoster(time.Now())
	}()
	return done
}

func reply(status *pb.TicketStatus) *pb.SubmitTicketReply {
	return &pb.SubmitTicketReply{Status: status}
}

// notLogged is the status of a ticket that surely or possibly did not reach the log.
func (s *Server) notLogged(t ticket.Ticket, err error) *pb.TicketStatus {
	status := s.newStatus(t.Number)
	status.Digest = ticket.Digest(t)
	status.ResultCode = uint32(result.CodeOf(err))
	status.Detail = err.Error()
	return status
}

// appendOnce brings the ticket into the log. It returns the offset of a record of it, or -1
// when it was known before. A ticket that is in the log twice has no second effect, so an
// append whose outcome is unknown is repeated unless the ticket shows up.
func (s *Server) appendOnce(ctx context.Context, t ticket.Ticket) (int64, error) {
	record, err := ticket.Encode(t)
	if err != nil {
		return 0, result.Wrap(err, result.TicketMalformed, "the ticket can't be encoded")
	}
	refusedUntil := time.Now().Add(refuseAfter)
	uncertain := false
	for {
		if _, known := s.opts.Config.Lookup(t); known {
			return -1, nil
		}
		offsets, err := s.opts.Log.Append(ctx, s.opts.Topic, [][]byte{record})
		if err == nil {
			s.opts.Config.ApplyAppended(logservice.Record{Offset: offsets[0], Value: record})
			return offsets[0], nil
		}
		refused := errors.Is(err, logservice.ErrNotAppended)
		uncertain = uncertain || !refused
		switch {
		case uncertain && s.appears(ctx, t):
			return -1, nil
		case uncertain && ctx.Err() != nil:
			return 0, result.Wrap(err, result.AppendOutcomeUnknown, "the log may hold the ticket")
		case !uncertain && (ctx.Err() != nil || time.Now().After(refusedUntil)):
			return 0, result.Wrap(err, result.LogUnavailable, "nothing was appended")
		}
		pause(ctx, retryAppend)
	}
}

// appears reports whether the ticket shows up in the log within a short time.
func (s *Server) appears(ctx context.Context, t ticket.Ticket) bool {
	ctx, cancel := context.WithTimeout(ctx, readBack)
	defer cancel()
	for {
		s.opts.Config.Wake()
		if _, known := s.opts.Config.Lookup(t); known {
			return true
		}
		if !pause(ctx, pollPhase) {
			return false
		}
	}
}

// await polls the ticket's status until the phase is reached or the context ends.
func (s *Server) await(ctx context.Context, t ticket.Ticket, offset int64, phase pb.TicketPhase) *pb.TicketStatus {
	for {
		status := s.statusOf(t, offset)
		if status.Phase == pb.TicketPhase_TICKET_PHASE_REJECTED || status.Phase >= phase {
			return status
		}
		if !pause(ctx, pollPhase) {
			status.ResultCode = uint32(result.TicketNotAcceptedInTime)
			status.Detail = "the ticket is in the log and was not seen further in time"
			return status
		}
	}
}

// pause waits, and reports false when the context ended first.
func pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
