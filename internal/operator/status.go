package operator

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/filbertrill/filbertrill/internal/member"
	"github.com/filbertrill/filbertrill/internal/peer/pb"
	"github.com/filbertrill/filbertrill/internal/result"
	"github.com/filbertrill/filbertrill/internal/ticket"
)

// unknownAgeMs is reported as an age if there was no such event since the daemon started.
const unknownAgeMs = -1

// newTicketStatus returns the status of a ticket of which nothing is known.
func (s *Server) newTicketStatus(number uint64) *pb.TicketStatus {
	return &pb.TicketStatus{
		Number:     number,
		Offset:     -1,
		Phase:      pb.TicketPhase_TICKET_PHASE_UNKNOWN,
		AnsweredBy: s.opts.SelfID,
		KnownAgeMs: s.configAgeMs(time.Now()),
	}
}

// configAgeMs returns the time in milliseconds since the daemon last had every accepted
// ticket, or unknownAgeMs if it never had.
func (s *Server) configAgeMs(now time.Time) int64 {
	knowledge := s.opts.Config.Freshness(now)
	if !knowledge.Ready {
		return unknownAgeMs
	}
	return knowledge.Age.Milliseconds()
}

// ticketStatus returns the status of the ticket, which it identifies by number and digest, so
// that another ticket with the same number is not mistaken for it. The offset is that of a
// record of the ticket, or -1 if unknown.
func (s *Server) ticketStatus(t ticket.Ticket, offset int64) *pb.TicketStatus {
	status := s.newTicketStatus(t.Number)
	status.Digest = ticket.Digest(t)
	if offset >= 0 {
		status.Offset = offset
		status.Phase = pb.TicketPhase_TICKET_PHASE_LOGGED
	}
	if verdict, known := s.opts.Config.Lookup(t); known {
		s.setVerdict(status, verdict)
	}
	return status
}

// ticketStatusByNumber returns the status of the first ticket with the number.
func (s *Server) ticketStatusByNumber(number uint64) *pb.TicketStatus {
	status := s.newTicketStatus(number)
	verdict, digest, known := s.opts.Config.Verdict(number)
	status.Digest = digest
	if known {
		s.setVerdict(status, verdict)
	}
	return status
}

// setVerdict sets the offset and the phase of the status, and the result code and detail of a
// rejection.
func (s *Server) setVerdict(status *pb.TicketStatus, verdict ticket.Verdict) {
	status.Offset = verdict.Offset
	if verdict.Outcome == ticket.OutcomeRejected {
		status.Phase = pb.TicketPhase_TICKET_PHASE_REJECTED
		status.ResultCode = uint32(rejectionCode(verdict.Reason))
		status.Detail = rejectionDetail(verdict)
		return
	}
	status.Phase = pb.TicketPhase_TICKET_PHASE_VALID
	s.countAppliedMembers(status, time.Now())
}

func rejectionDetail(v ticket.Verdict) string {
	if v.Detail == "" {
		return string(v.Reason)
	}
	return string(v.Reason) + ": " + v.Detail
}

// rejectionCode returns the result code for a rejection with the reason.
func rejectionCode(reason ticket.Reason) result.Code {
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

// countAppliedMembers adds the members to the status that have and have not applied its
// offset according to their heartbeats. The phase becomes ACCEPTED if a majority of all known
// members has applied it, and IN_FORCE if also every member that is not suspected has applied
// it and no listed instance may still be starting.
func (s *Server) countAppliedMembers(status *pb.TicketStatus, now time.Time) {
	roster := s.opts.Config.Roster(now)
	liveMissing := roster.MaybeStarting
	for _, m := range roster.Members {
		status.OldestFactMs = max(status.OldestFactMs, s.heartbeatAgeMs(m, now))
		if s.memberAppliedOffset(m) >= status.Offset {
			status.AppliedBy = append(status.AppliedBy, m.Member.Id)
			continue
		}
		status.Missing = append(status.Missing, m.Member.Id)
		if !s.opts.Members.Suspected(m, now) {
			liveMissing++
		}
	}
	if 2*len(status.AppliedBy) <= roster.Size {
		return
	}
	status.Phase = pb.TicketPhase_TICKET_PHASE_ACCEPTED
	if liveMissing == 0 {
		status.Phase = pb.TicketPhase_TICKET_PHASE_IN_FORCE
	}
}

// memberAppliedOffset returns the applied offset in a member's last heartbeat. For this daemon
// it returns the current one.
func (s *Server) memberAppliedOffset(m member.Status) int64 {
	if m.Member.Id != s.opts.SelfID {
		return m.Member.AppliedOffset
	}
	ownOffset, _ := s.opts.Config.Applied()
	return ownOffset
}

// heartbeatAgeMs returns the age in milliseconds of a member's last heartbeat; 0 for this daemon.
func (s *Server) heartbeatAgeMs(m member.Status, now time.Time) int64 {
	if m.Member.Id == s.opts.SelfID {
		return 0
	}
	return now.Sub(m.LastSeen).Milliseconds()
}

// ShowTicket returns the status of the ticket with the requested number.
func (s *Server) ShowTicket(_ context.Context, in *pb.ShowTicketRequest) (*pb.TicketStatus, error) {
	return s.ticketStatusByNumber(in.Number), nil
}

// ListTickets returns the status of the tickets with the highest numbers, in descending order.
func (s *Server) ListTickets(_ context.Context, in *pb.ListTicketsRequest) (*pb.ListTicketsReply, error) {
	out := &pb.ListTicketsReply{}
	for _, number := range s.opts.Config.Numbers(int(in.Limit)) {
		out.Tickets = append(out.Tickets, s.ticketStatusByNumber(number))
	}
	return out, nil
}

// Config returns a snapshot of the configuration.
func (s *Server) Config(context.Context, *pb.ConfigRequest) (*pb.ConfigReply, error) {
	data, applied, err := s.opts.Config.Snapshot()
	if err != nil {
		return nil, err
	}
	return &pb.ConfigReply{Snapshot: data, AppliedOffset: applied}, nil
}

// Status returns the status of the daemon and of the members and backend servers that it knows.
func (s *Server) Status(context.Context, *pb.StatusRequest) (*pb.StatusReply, error) {
	now := time.Now()
	applied, _ := s.opts.Config.Applied()
	lastRead, logErr := s.opts.Config.LogHealth()
	knowledge := s.opts.Config.Freshness(now)
	out := &pb.StatusReply{
		AnsweredBy:    s.opts.SelfID,
		AppliedOffset: applied,
		LogAgeMs:      unknownAgeMs,
		CutOff:        knowledge.CutOff,
		KnownAgeMs:    s.configAgeMs(now),
		KnownBy:       string(knowledge.Source),
		Delegate:      s.opts.Config.IsDelegate(now),
		KnownMembers:  uint32(s.opts.Config.Roster(now).Size),
	}
	if !lastRead.IsZero() {
		out.LogAgeMs = now.Sub(lastRead).Milliseconds()
	}
	if logErr != nil {
		out.LogError = logErr.Error()
	}
	for _, m := range s.opts.Members.All() {
		record := proto.Clone(m.Member).(*pb.Member)
		record.ConfigDigest = s.opts.Config.DigestOf(record.Id) // the digest in a relayed record may be older
		status := &pb.MemberStatus{Member: record, AgeMs: now.Sub(m.LastSeen).Milliseconds()}
		status.Reason = s.opts.Members.SuspicionReason(m, now)
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

// addServers adds the backend servers of the current configuration.
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

// Drain starts draining this daemon. It rejects a request that names another member.
func (s *Server) Drain(_ context.Context, in *pb.DrainRequest) (*pb.DrainReply, error) {
	if in.Member != s.opts.SelfID {
		return nil, result.New(result.MemberUnknown, "this daemon is %s; send the request to %s", s.opts.SelfID, in.Member)
	}
	s.opts.Drain()
	return &pb.DrainReply{Member: in.Member, State: pb.MemberState_MEMBER_STATE_DRAINING}, nil
}
