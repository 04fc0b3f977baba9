package ctl

import (
	"context"
	"strconv"

	"github.com/cockroachdb/errors"

	"github.com/filbertrill/filbertrill/internal/peer/pb"
)

// showCommand prints one ticket.
type showCommand struct {
	Number uint64 `arg:"" help:"Number of the ticket."`
}

// Run prints the ticket. It fails with ExitRejected for a rejected ticket and with ExitPending
// for an unknown one.
func (c *showCommand) Run(s *session) error {
	status, err := query(s, func(ctx context.Context, client pb.DRPCOperatorClient) (*pb.TicketStatus, error) {
		return client.ShowTicket(ctx, &pb.ShowTicketRequest{Number: c.Number})
	})
	if err != nil {
		return err
	}
	view := newTicketView(status)
	if s.json {
		err = s.printJSON(view)
	} else {
		err = s.printTicket(view)
	}
	if err != nil {
		return err
	}
	return showExitError(status.GetPhase())
}

func showExitError(phase pb.TicketPhase) error {
	switch phase {
	case pb.TicketPhase_TICKET_PHASE_REJECTED:
		return withExit(ExitRejected, errors.New("rejected: the ticket has no effect"))
	case pb.TicketPhase_TICKET_PHASE_UNKNOWN:
		return withExit(ExitPending, errors.New("unknown: the daemon does not know the ticket"))
	}
	return nil
}

// listCommand lists the newest tickets.
type listCommand struct {
	Limit uint32 `help:"Maximum number of tickets to list." default:"50"`
}

// Run lists the tickets in the order in which the daemon returns them.
func (c *listCommand) Run(s *session) error {
	reply, err := query(s, func(ctx context.Context, client pb.DRPCOperatorClient) (*pb.ListTicketsReply, error) {
		return client.ListTickets(ctx, &pb.ListTicketsRequest{Limit: c.Limit})
	})
	if err != nil {
		return err
	}
	views := make([]ticketView, 0, len(reply.GetTickets()))
	var rows [][]string
	for _, status := range reply.GetTickets() {
		view := newTicketView(status)
		views = append(views, view)
		rows = append(rows, []string{
			strconv.FormatUint(view.Number, 10),
			view.formatOffset(),
			view.Phase,
			orDash(view.Detail),
		})
	}
	return s.print(views, []string{"NUMBER", "OFFSET", "PHASE", "DETAIL"}, rows)
}
