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

// neverKnown is the age of knowledge that the daemon never had.
const neverKnown = -1

func (s *Server) newStatus(number uint64) *pb.TicketStatus {
	return &pb.TicketStatus{
		Number:     number,
		Offset:     -1,
		Phase:      pb.TicketPhase_TICKET_PHASE_UNKNOWN,
		AnsweredBy: s.opts.SelfID,
		KnownAgeMs: s.knownAge(time.Now()),
	}
}

func (s *Server) knownAge(now time.Time) int64 {
	k := s.opts.Config.Freshness(now)
	if !k.Established {
		return neverKnown
	}
	return k.Age.Milliseconds()
}

// statusOf tells how far this very ticket has come; another one of its number is not
// taken for it. The offset is that of a record of it, or -1.
func (s *Server) statusOf(t ticket.Ticket, offset int64) *pb.TicketStatus {
	status := s.newStatus(t.Number)
	status.Digest = ticket.Digest(t)
	if offset >= 0 {
		status.Offset = offset
		status.Phase = pb.TicketPhase_TICKET_PHASE_LOGGED
	}
	if verdict, known := s.opts.Config.Lookup(t); known {
		s.judge(status, verdict)
	}
	return status
}

// statusOfNumber tells of the ticket that took the number.
func (s *Server) statusOfNumber(number uint64) *pb.TicketStatus {
	status := s.newStatus(number)
	verdict, digest, known := s.opts.Config.Verdict(number)
	status.Digest = digest
	if known {
		s.judge(status, verdict)
	}
	return status
}

func (s *Server) judge(status *pb.TicketStatus, verdict ticket.Verdict) {
	status.Offset = verdict.Offset
	if verdict.Outcome == ticket.OutcomeRejected {
		status.Phase = pb.TicketPhase_TICKET_PHASE_REJECTED
		status.ResultCode = uint32(rejection(verdict.Reason))
		status.Detail = rejectionDetail(verdict)
		return
	}
	status.Phase = pb.TicketPhase_TICKET_PHASE_VALID
	s.countApplied(status, time.Now())
}

func rejectionDetail(v ticket.Verdict) string {
	if v.Detail == "" {
		return string(v.Reason)
	}
	return string(v.Reason) + ": " + v.Detail
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

// countApplied raises the phase by the members whose heartbeats tell that they applied the
// offset. Accepted is counted of every member known, in force of those that are not suspected.
func (s *Server) countApplied(status *pb.TicketStatus, now time.Time) {
	roster := s.opts.Config.Roster(now)
	liveMissing := roster.MaybeStarting
	for _, m := range roster.Members {
		status.OldestFactMs = max(status.OldestFactMs, s.factAge(m, now))
		if s.appliedBy(m) >= status.Offset {
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

func (s *Server) appliedBy(m member.Status) int64 {
	if m.Member.Id != s.opts.SelfID {
		return m.Member.AppliedOffset
	}
	own, _ := s.opts.Config.Applied()
	return own
}

// factAge is the age of what is known of a member, in milliseconds.
func (s *Server) factAge(m member.Status, now time.Time) int64 {
	if m.Member.Id == s.opts.SelfID {
		return 0
	}
	return now.Sub(m.Heard).Milliseconds()
}

// ShowTicket returns what is known of a ticket.
func (s *Server) ShowTicket(_ context.Context, in *pb.ShowTicketRequest) (*pb.TicketStatus, error) {
	return s.statusOfNumber(in.Number), nil
}

// ListTickets returns the newest tickets.
func (s *Server) ListTickets(_ context.Context, in *pb.ListTicketsRequest) (*pb.ListTicketsReply, error) {
	out := &pb.ListTicketsReply{}
	for _, number := range s.opts.Config.Numbers(int(in.Limit)) {
		out.Tickets = append(out.Tickets, s.statusOfNumber(number))
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
	known := s.opts.Config.Freshness(now)
	out := &pb.StatusReply{
		AnsweredBy:    s.opts.SelfID,
		AppliedOffset: applied,
		LogAgeMs:      neverKnown,
		CutOff:        known.CutOff,
		KnownAgeMs:    s.knownAge(now),
		KnownBy:       string(known.Source),
		Delegate:      s.opts.Config.IsDelegate(now),
		KnownMembers:  uint32(s.opts.Config.Roster(now).Size),
	}
	if !read.IsZero() {
		out.LogAgeMs = now.Sub(read).Milliseconds()
	}
	if err != nil {
		out.LogError = err.Error()
	}
	for _, m := range s.opts.Members.All() {
		record := proto.Clone(m.Member).(*pb.Member)
		record.ConfigDigest = s.opts.Config.DigestOf(record.Id) // a relayed record may carry an older one
		status := &pb.MemberStatus{Member: record, AgeMs: now.Sub(m.Heard).Milliseconds()}
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
