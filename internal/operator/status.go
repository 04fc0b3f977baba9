package operator

import (
	"context"
	"time"

	"github.com/filbertrill/filbertrill/internal/peer/pb"
	"github.com/filbertrill/filbertrill/internal/result"
	"github.com/filbertrill/filbertrill/internal/ticket"
)

// status tells how far a ticket has come. The offset is that of its record, or -1.
func (s *Server) status(number uint64, offset int64) *pb.TicketStatus {
	status := &pb.TicketStatus{Number: number, Offset: offset, Phase: pb.TicketPhase_TICKET_PHASE_UNKNOWN}
	if offset >= 0 {
		status.Phase = pb.TicketPhase_TICKET_PHASE_LOGGED
	}
	verdict, known := s.opts.Config.Verdict(number)
	if !known || (offset >= 0 && verdict.Offset > offset) {
		return status
	}
	status.Offset = verdict.Offset
	if verdict.Outcome == ticket.OutcomeRejected {
		status.Phase = pb.TicketPhase_TICKET_PHASE_REJECTED
		status.ResultCode = uint32(rejection(verdict.Reason))
		status.Detail = verdict.Detail
		return status
	}
	status.Phase = pb.TicketPhase_TICKET_PHASE_VALID
	s.countApplied(status)
	return status
}

func rejection(reason ticket.Reason) result.Code {
	switch reason {
	case ticket.ReasonConflict:
		return result.TicketNumberConflict
	case ticket.ReasonStale, ticket.ReasonForgotten:
		return result.TicketNumberStale
	case ticket.ReasonUnknownService:
		return result.TicketReferenceUnknown
	}
	return result.TicketMalformed
}

// countApplied raises the phase by the members whose heartbeats tell that they applied the offset.
func (s *Server) countApplied(status *pb.TicketStatus) {
	own, _ := s.opts.Config.Applied()
	for _, m := range s.opts.Members.All() {
		applied := m.Member.AppliedOffset
		if m.Member.Id == s.opts.SelfID {
			applied = own
		}
		if applied >= status.Offset {
			status.AppliedBy = append(status.AppliedBy, m.Member.Id)
		} else if m.Member.State != pb.MemberState_MEMBER_STATE_LEFT {
			status.Missing = append(status.Missing, m.Member.Id)
		}
	}
	if len(status.AppliedBy) > len(status.Missing) {
		status.Phase = pb.TicketPhase_TICKET_PHASE_ACCEPTED
	}
	if len(status.Missing) == 0 {
		status.Phase = pb.TicketPhase_TICKET_PHASE_IN_FORCE
	}
}

// ShowTicket returns what is known of a ticket.
func (s *Server) ShowTicket(_ context.Context, in *pb.ShowTicketRequest) (*pb.TicketStatus, error) {
	return s.status(in.Number, -1), nil
}

// ListTickets returns the newest tickets.
func (s *Server) ListTickets(_ context.Context, in *pb.ListTicketsRequest) (*pb.ListTicketsReply, error) {
	out := &pb.ListTicketsReply{}
	for _, number := range s.opts.Config.Numbers(int(in.Limit)) {
		out.Tickets = append(out.Tickets, s.status(number, -1))
	}
	return out, nil
}

// Config returns the whole configuration.
func (s *Server) Config(context.Context, *pb.ConfigRequest) (*pb.ConfigReply, error) {
	data, applied, err := s.opts.Config.Snapshot()
	if err != nil {
		return nil, err
	}
	return &pb.ConfigReply{Snapshot: data, AppliedOffset: applied}, nil
}

// Status returns what this daemon observes.
func (s *Server) Status(context.Context, *pb.StatusRequest) (*pb.StatusReply, error) {
	now := time.Now()
	applied, _ := s.opts.Config.Applied()
	read, err := s.opts.Config.LogHealth()
	out := &pb.StatusReply{AnsweredBy: s.opts.SelfID, AppliedOffset: applied, LogAgeMs: now.Sub(read).Milliseconds()}
	if err != nil {
		out.LogError = err.Error()
	}
	for _, m := range s.opts.Members.All() {
		status := &pb.MemberStatus{Member: m.Member, AgeMs: now.Sub(m.Heard).Milliseconds()}
		status.Reason = s.opts.Members.Reason(m, now)
		status.Suspected = status.Reason != ""
		out.Members = append(out.Members, status)
	}
	for _, m := range s.opts.Members.Live(now) {
		if m.State == pb.MemberState_MEMBER_STATE_LIVE {
			out.Entries = append(out.Entries, m.ClientAddress)
		}
	}
	s.addServers(out)
	return out, nil
}

func (s *Server) addServers(out *pb.StatusReply) {
	config := s.opts.Config.Current()
	if config == nil {
		return
	}
	for _, server := range config.Servers() {
		out.Servers = append(out.Servers, &pb.ServerStatus{
			Id:           server.ID,
			Service:      server.Service,
			Zone:         server.Zone,
			State:        string(server.State),
			Slots:        uint32(server.Slots),
			ChecksOrders: server.ChecksOrders,
		})
	}
}

// Drain begins the planned stop of the answering daemon.
func (s *Server) Drain(_ context.Context, in *pb.DrainRequest) (*pb.DrainReply, error) {
	if in.Member != s.opts.SelfID {
		return nil, result.New(result.MemberUnknown, "this daemon is %s; ask %s itself", s.opts.SelfID, in.Member)
	}
	s.opts.Drain()
	return &pb.DrainReply{Member: in.Member, State: pb.MemberState_MEMBER_STATE_DRAINING}, nil
}
