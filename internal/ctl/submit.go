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

// answerShare is the part of the time left that the daemon may wait for the
// phase; the rest is for the way back of its answer.
const phaseWaitFraction = 0.9

// submitCommand submits a ticket.
type submitCommand struct {
	File string `arg:"" help:"Ticket file in YAML or JSON."`
	Wait string `help:"Phase to wait for: logged, valid, accepted or in-force." enum:"logged,valid,accepted,in-force" default:"accepted"`
}

// submitted is the result of a submit.
type submitResult struct {
	ticketView
	Daemon   string `json:"daemon"` // empty when none answered
	WaitFor  string `json:"waitFor"`
	Reached  bool   `json:"reached"`
	Sent     bool   `json:"sent"` // false: no daemon got the ticket
	ExitCode int    `json:"exitCode"`
}

// Run submits the ticket. A daemon that gives no answer is followed by the next
// one, for the log takes the same ticket twice without a second effect.
func (c *submitCommand) Run(s *session) error {
	t, err := readTicket(c.File)
	var problems ticket.Problems
	if errors.As(err, &problems) {
		return withExit(ExitInvalid, errors.Newf("nothing sent: the ticket has faults\n%v", problems))
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
			return nil, errors.New("the answer has no status")
		}
		return reply.GetStatus(), nil
	})
}

// waitTime is how long the daemon may wait for the phase; zero without a deadline.
func phaseWaitTimeout(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return 0
	}
	return time.Duration(float64(time.Until(deadline)) * phaseWaitFraction)
}

// judge returns the exit code and what to tell the operator.
func submitOutcome(status *pb.TicketStatus, waitFor pb.TicketPhase) (code int, message string) {
	phase := status.GetPhase()
	resultCode := result.Code(status.GetResultCode())
	switch {
	case phase == pb.TicketPhase_TICKET_PHASE_REJECTED:
		return ExitRejected, withResultCode(resultCode, "rejected: the ticket has no effect")
	case phase != pb.TicketPhase_TICKET_PHASE_UNKNOWN && phase >= waitFor:
		return ExitOK, ""
	case phase != pb.TicketPhase_TICKET_PHASE_UNKNOWN:
		return ExitPending, withResultCode(resultCode, "stopped at "+phaseName(phase)+" before "+phaseName(waitFor)+
			": the ticket is in the log and goes on; submit again is safe")
	case resultCode != result.OK && resultCode.Class() == result.NotRun:
		return result.ExitCode(resultCode), withResultCode(resultCode, "nothing was logged")
	}
	return ExitPending, withResultCode(resultCode, "outcome unknown: the daemon can't tell whether the log took the ticket; submit again is safe")
}

// coded puts the daemon's result code before the message.
func withResultCode(code result.Code, message string) string {
	if code == result.OK {
		return message
	}
	return code.String() + ": " + message
}

// submitFailed prints the result of a submit without an answer for scripts.
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
