package ctl

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/filbertrill/filbertrill/internal/peer/pb"
	"github.com/filbertrill/filbertrill/internal/result"
	"github.com/filbertrill/filbertrill/internal/ticket"
)

// phaseWaitFraction is the fraction of the remaining time that the daemon may wait for the
// phase. The rest is for its reply to arrive.
const phaseWaitFraction = 0.9

// submitCommand submits a ticket.
type submitCommand struct {
	File string `arg:"" help:"Ticket file in YAML or JSON."`
	Wait string `help:"Phase to wait for: logged, valid, accepted or in-force." enum:"logged,valid,accepted,in-force" default:"accepted"`
}

// submitResult is the output of a submit.
type submitResult struct {
	ticketView
	Daemon   string `json:"daemon"` // address of the daemon that answered; empty if none did
	WaitFor  string `json:"waitFor"`
	Reached  bool   `json:"reached"`
	Sent     bool   `json:"sent"` // whether a daemon may have received the ticket
	ExitCode int    `json:"exitCode"`
}

// Run submits the ticket and prints its status. If a daemon gives no answer, the ticket is sent
// to the next one, which is safe because a ticket that is logged twice takes effect only once.
func (c *submitCommand) Run(s *session) error {
	t, err := readTicket(c.File)
	var problems ticket.Problems
	if errors.As(err, &problems) {
		return withExit(ExitInvalid, errors.Newf("nothing sent: the ticket is invalid\n%v", problems))
	}
	if err != nil {
		return err
	}
	data, err := json.Marshal(t)
	if err != nil {
		return errors.Wrap(err, "encode ticket")
	}
	waitFor := phaseByName(c.Wait)
	status, daemon, err := submit(s, data, waitFor)
	if err != nil {
		return s.reportSubmitFailure(t.Number, c.Wait, err)
	}
	code, message := submitOutcome(status, waitFor)
	if err := s.printSubmitResult(submitResult{
		ticketView: newTicketView(status),
		Daemon:     daemon,
		WaitFor:    c.Wait,
		Reached:    code == ExitOK,
		Sent:       true,
		ExitCode:   code,
	}); err != nil {
		return err
	}
	if code == ExitOK {
		return nil
	}
	return withExit(code, errors.New(message))
}

func submit(s *session, data []byte, waitFor pb.TicketPhase) (*pb.TicketStatus, string, error) {
	return call(s, func(ctx context.Context, client pb.DRPCOperatorClient) (*pb.TicketStatus, error) {
		request := &pb.SubmitTicketRequest{Ticket: data, WaitFor: waitFor, TimeoutMs: phaseWaitTimeout(ctx).Milliseconds()}
		reply, err := client.SubmitTicket(ctx, request)
		if err != nil {
			return nil, err
		}
		if reply.GetStatus() == nil {
			return nil, errors.New("the reply has no ticket status")
		}
		return reply.GetStatus(), nil
	})
}

// phaseWaitTimeout returns how long the daemon may wait for the phase, or 0 if ctx has no
// deadline.
func phaseWaitTimeout(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return 0
	}
	return time.Duration(float64(time.Until(deadline)) * phaseWaitFraction)
}

// submitOutcome returns the exit code and the error message, empty on success, of a submit.
func submitOutcome(status *pb.TicketStatus, waitFor pb.TicketPhase) (code int, message string) {
	phase := status.GetPhase()
	resultCode := result.Code(status.GetResultCode())
	switch {
	case phase == pb.TicketPhase_TICKET_PHASE_REJECTED:
		return ExitRejected, withResultCode(resultCode, "rejected: the ticket has no effect")
	case phase != pb.TicketPhase_TICKET_PHASE_UNKNOWN && phase >= waitFor:
		return ExitOK, ""
	case phase != pb.TicketPhase_TICKET_PHASE_UNKNOWN:
		return ExitPending, withResultCode(resultCode, "the ticket reached phase "+phaseName(phase)+", not yet "+phaseName(waitFor)+
			": it is in the log and its processing continues; it is safe to submit it again")
	case resultCode != result.OK && resultCode.Class() == result.NotRun:
		return result.ExitCode(resultCode), withResultCode(resultCode, "nothing was logged")
	}
	return ExitPending, withResultCode(resultCode, "outcome unknown: the daemon does not know whether the ticket is in the log; it is safe to submit it again")
}

// withResultCode prefixes the message with the daemon's result code unless that is OK.
func withResultCode(code result.Code, message string) string {
	if code == result.OK {
		return message
	}
	return code.String() + ": " + message
}

// reportSubmitFailure returns the error, with its exit code, of a submit that failed at every
// daemon. With JSON output it also prints a result for scripts.
func (s *session) reportSubmitFailure(number uint64, waitFor string, err error) error {
	err = changeError("submit", err)
	var exitErr *exitError
	if !s.json || !errors.As(err, &exitErr) || exitErr.code == ExitUsage {
		return err
	}
	printErr := s.printJSON(submitResult{
		ticketView: newTicketView(&pb.TicketStatus{Number: number}),
		WaitFor:    waitFor,
		Sent:       exitErr.code == ExitPending,
		ExitCode:   exitErr.code,
	})
	if printErr != nil {
		return printErr
	}
	return err
}

func (s *session) printSubmitResult(result submitResult) error {
	if s.json {
		return s.printJSON(result)
	}
	return s.printTicket(result.ticketView)
}
