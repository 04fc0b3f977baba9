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
		return submitReply(&pb.TicketStatus{ResultCode: uint32(result.TicketMalformed), Detail: err.Error()}), nil
	}
	timeout := time.Duration(in.TimeoutMs) * time.Millisecond
	if timeout <= 0 {
		timeout = defaultSubmitTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	membersRefreshed := s.refreshMembers(ctx)
	offset, err := s.ensureAppended(ctx, t)
	<-membersRefreshed
	if err != nil {
		return submitReply(s.appendFailedStatus(t, err)), nil
	}
	return submitReply(s.waitForPhase(ctx, t, offset, in.WaitFor)), nil
}

// refreshList asks for the list of instances, so that a majority is not counted without
// those that have just started. It closes the channel when that has ended.
func (s *Server) refreshMembers(ctx context.Context) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.opts.Members.RefreshList(ctx)
		s.opts.Config.RefreshRoster(time.Now())
	}()
	return done
}

func submitReply(status *pb.TicketStatus) *pb.SubmitTicketReply {
	return &pb.SubmitTicketReply{Status: status}
}

// notLogged is the status of a ticket that surely or possibly did not reach the log.
func (s *Server) appendFailedStatus(t ticket.Ticket, err error) *pb.TicketStatus {
	status := s.newTicketStatus(t.Number)
	status.Digest = ticket.Digest(t)
	status.ResultCode = uint32(result.CodeOf(err))
	status.Detail = err.Error()
	return status
}

// appendOnce brings the ticket into the log. It returns the offset of a record of it, or -1
// when it was known before. A ticket that is in the log twice has no second effect, so an
// append whose outcome is unknown is repeated unless the ticket shows up.
func (s *Server) ensureAppended(ctx context.Context, t ticket.Ticket) (int64, error) {
	record, err := ticket.Encode(t)
	if err != nil {
		return 0, result.Wrap(err, result.TicketMalformed, "the ticket can't be encoded")
	}
	retryUntil := time.Now().Add(appendRetryTimeout)
	outcomeUnknown := false
	for {
		if _, known := s.opts.Config.Lookup(t); known {
			return -1, nil
		}
		offsets, err := s.opts.Log.Append(ctx, s.opts.Topic, [][]byte{record})
		if err == nil {
			s.opts.Config.Submitted(logservice.Record{Offset: offsets[0], Value: record})
			return offsets[0], nil
		}
		notAppended := errors.Is(err, logservice.ErrNotAppended)
		outcomeUnknown = outcomeUnknown || !notAppended
		switch {
		case outcomeUnknown && s.waitUntilLogged(ctx, t):
			return -1, nil
		case outcomeUnknown && ctx.Err() != nil:
			return 0, result.Wrap(err, result.AppendOutcomeUnknown, "the log may hold the ticket")
		case !outcomeUnknown && (ctx.Err() != nil || time.Now().After(retryUntil)):
			return 0, result.Wrap(err, result.LogUnavailable, "nothing was appended")
		}
		sleep(ctx, appendRetryInterval)
	}
}

// appears reports whether the ticket shows up in the log within a short time.
func (s *Server) waitUntilLogged(ctx context.Context, t ticket.Ticket) bool {
	ctx, cancel := context.WithTimeout(ctx, appendConfirmTimeout)
	defer cancel()
	for {
		s.opts.Config.Wake()
		if _, known := s.opts.Config.Lookup(t); known {
			return true
		}
		if !sleep(ctx, phasePollInterval) {
			return false
		}
	}
}

// await polls the ticket's status until the phase is reached or the context ends.
func (s *Server) waitForPhase(ctx context.Context, t ticket.Ticket, offset int64, phase pb.TicketPhase) *pb.TicketStatus {
	for {
		status := s.ticketStatus(t, offset)
		if status.Phase == pb.TicketPhase_TICKET_PHASE_REJECTED || status.Phase >= phase {
			return status
		}
		if !sleep(ctx, phasePollInterval) {
			status.ResultCode = uint32(result.TicketNotAcceptedInTime)
			status.Detail = "the ticket is in the log and was not seen further in time"
			return status
		}
	}
}

// pause waits, and reports false when the context ended first.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
