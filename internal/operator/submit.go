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

// SubmitTicket appends a ticket to the log and waits until it reaches the requested phase.
// Failures are returned in the status, not as an error.
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

// refreshMembers updates the list of instances in the background, so that the majority of
// members is computed with instances that have just started. It closes the returned channel
// when the update has finished.
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

// appendFailedStatus returns the status of a ticket that is not in the log, or may not be.
func (s *Server) appendFailedStatus(t ticket.Ticket, err error) *pb.TicketStatus {
	status := s.newTicketStatus(t.Number)
	status.Digest = ticket.Digest(t)
	status.ResultCode = uint32(result.CodeOf(err))
	status.Detail = err.Error()
	return status
}

// ensureAppended appends the ticket to the log unless there is a verdict on it already. It
// returns the offset of the new record, or -1 if there is a verdict. An append with unknown
// outcome is retried until there is a verdict; a second record of a ticket has no effect.
func (s *Server) ensureAppended(ctx context.Context, t ticket.Ticket) (int64, error) {
	record, err := ticket.Encode(t)
	if err != nil {
		return 0, result.Wrap(err, result.TicketMalformed, "the ticket can't be encoded")
	}
	if len(record) > logservice.MaxValueBytes {
		return 0, result.New(result.TicketMalformed, "the ticket has %d bytes, more than %d", len(record), logservice.MaxValueBytes)
	}
	retryUntil := time.Now().Add(appendRetryTimeout)
	outcomeUnknown := false
	for {
		if _, known := s.opts.Config.Lookup(t); known {
			return -1, nil
		}
		offsets, err := s.opts.Log.Append(ctx, s.opts.Topic, [][]byte{record})
		if err == nil {
			s.opts.Config.ApplyAppended(logservice.Record{Offset: offsets[0], Value: record})
			return offsets[0], nil
		}
		notAppended := errors.Is(err, logservice.ErrNotAppended)
		outcomeUnknown = outcomeUnknown || !notAppended
		switch {
		case outcomeUnknown && s.waitForVerdict(ctx, t):
			return -1, nil
		case outcomeUnknown && ctx.Err() != nil:
			return 0, result.Wrap(err, result.AppendOutcomeUnknown, "the log may hold the ticket")
		case !outcomeUnknown && (ctx.Err() != nil || time.Now().After(retryUntil)):
			return 0, result.Wrap(err, result.LogUnavailable, "nothing was appended")
		}
		sleep(ctx, appendRetryInterval)
	}
}

// waitForVerdict reads the log and reports whether there is a verdict on the ticket within
// appendConfirmTimeout.
func (s *Server) waitForVerdict(ctx context.Context, t ticket.Ticket) bool {
	ctx, cancel := context.WithTimeout(ctx, appendConfirmTimeout)
	defer cancel()
	for {
		s.opts.Config.Wake()
		if _, known := s.opts.Config.Lookup(t); known {
			return true
		}
		if !sleep(ctx, statusPollInterval) {
			return false
		}
	}
}

// waitForPhase polls the ticket's status until it reaches the phase, is rejected, or the
// context ends.
func (s *Server) waitForPhase(ctx context.Context, t ticket.Ticket, offset int64, phase pb.TicketPhase) *pb.TicketStatus {
	for {
		status := s.ticketStatus(t, offset)
		if status.Phase == pb.TicketPhase_TICKET_PHASE_REJECTED || status.Phase >= phase {
			return status
		}
		if !sleep(ctx, statusPollInterval) {
			status.ResultCode = uint32(result.TicketNotAcceptedInTime)
			status.Detail = "the ticket is in the log but did not reach the requested phase before the timeout"
			return status
		}
	}
}

// sleep waits for the duration. It returns false if the context ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
