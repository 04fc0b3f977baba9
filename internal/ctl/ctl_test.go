package ctl

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"os"
	"path/filepath"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
	"storj.io/drpc/drpcerr"

	"github.com/filbertrill/filbertrill/internal/peer/pb"
	"github.com/filbertrill/filbertrill/internal/result"
	"github.com/filbertrill/filbertrill/internal/ticket"
)

const testSecret = "open-sesame"

const testTicket = `number: 7
author: a
reason: r
accounts: [{id: x, keyHashes: []}]
`

var errConnectionLost = errors.New("connection lost")

// fakeDaemon replies with the values of its fields. Methods that it does not override panic.
type fakeDaemon struct {
	pb.DRPCOperatorClient
	ticketStatus  *pb.TicketStatus
	statusReply   *pb.StatusReply
	snapshot      []byte
	drainState    pb.MemberState
	err           error
	submitRequest *pb.SubmitTicketRequest
}

func (f *fakeDaemon) SubmitTicket(_ context.Context, in *pb.SubmitTicketRequest) (*pb.SubmitTicketReply, error) {
	f.submitRequest = in
	return &pb.SubmitTicketReply{Status: f.ticketStatus}, f.err
}

func (f *fakeDaemon) ShowTicket(context.Context, *pb.ShowTicketRequest) (*pb.TicketStatus, error) {
	return f.ticketStatus, f.err
}

func (f *fakeDaemon) ListTickets(context.Context, *pb.ListTicketsRequest) (*pb.ListTicketsReply, error) {
	return &pb.ListTicketsReply{Tickets: []*pb.TicketStatus{f.ticketStatus}}, f.err
}

func (f *fakeDaemon) Status(context.Context, *pb.StatusRequest) (*pb.StatusReply, error) {
	return f.statusReply, f.err
}

func (f *fakeDaemon) Config(context.Context, *pb.ConfigRequest) (*pb.ConfigReply, error) {
	return &pb.ConfigReply{Snapshot: f.snapshot}, f.err
}

func (f *fakeDaemon) Drain(_ context.Context, in *pb.DrainRequest) (*pb.DrainReply, error) {
	return &pb.DrainReply{Member: in.GetMember(), State: f.drainState}, f.err
}

// Close makes fakeDaemon the io.Closer of its own connection.
func (f *fakeDaemon) Close() error { return nil }

// runResult is the outcome of one command.
type runResult struct {
	code           int
	stdout, stderr string
}

// runWith runs a command against the daemons, keyed by address. Other addresses refuse connections.
func runWith(t *testing.T, daemons map[string]*fakeDaemon, args ...string) runResult {
	t.Helper()
	t.Setenv("FILBERTRILL_SECRET", testSecret)
	var stdout, stderr bytes.Buffer
	code := Run(context.Background(), args, Options{
		Stdout: &stdout,
		Stderr: &stderr,
		NewDialer: func(secret string) Dialer {
			require.Equal(t, testSecret, secret)
			return func(_ context.Context, address string) (pb.DRPCOperatorClient, io.Closer, error) {
				if daemon, ok := daemons[address]; ok {
					return daemon, daemon, nil
				}
				return nil, nil, errors.New("refused")
			}
		},
	})
	require.NotContains(t, stdout.String()+stderr.String(), testSecret)
	return runResult{code: code, stdout: stdout.String(), stderr: stderr.String()}
}

const (
	firstAddress  = "127.0.0.1:1"
	secondAddress = "127.0.0.1:2"
)

func submitArgs(t *testing.T, extra ...string) []string {
	file := filepath.Join(t.TempDir(), "t.yaml")
	require.NoError(t, os.WriteFile(file, []byte(testTicket), 0o600))
	return append([]string{"--daemon", firstAddress, "--daemon", secondAddress, "ticket", "submit", file}, extra...)
}

func daemonWithPhase(phase pb.TicketPhase) *fakeDaemon {
	return &fakeDaemon{ticketStatus: &pb.TicketStatus{Number: 7, Offset: 3, Phase: phase, Detail: "d"}}
}

func TestSubmit(t *testing.T) {
	const (
		unknown  = pb.TicketPhase_TICKET_PHASE_UNKNOWN
		logged   = pb.TicketPhase_TICKET_PHASE_LOGGED
		rejected = pb.TicketPhase_TICKET_PHASE_REJECTED
		accepted = pb.TicketPhase_TICKET_PHASE_ACCEPTED
		inForce  = pb.TicketPhase_TICKET_PHASE_IN_FORCE
	)
	lost := &fakeDaemon{err: errConnectionLost}
	tests := map[string]struct {
		daemons map[string]*fakeDaemon
		wait    string
		code    int
		message string
	}{
		"accepted":                {map[string]*fakeDaemon{firstAddress: daemonWithPhase(accepted)}, "accepted", ExitOK, ""},
		"after the phase":         {map[string]*fakeDaemon{firstAddress: daemonWithPhase(inForce)}, "logged", ExitOK, ""},
		"before the phase":        {map[string]*fakeDaemon{firstAddress: daemonWithPhase(logged)}, "accepted", ExitPending, "the ticket reached phase logged, not yet accepted"},
		"not in force yet":        {map[string]*fakeDaemon{firstAddress: daemonWithPhase(accepted)}, "in-force", ExitPending, "the ticket reached phase accepted, not yet in-force"},
		"rejected":                {map[string]*fakeDaemon{firstAddress: daemonWithPhase(rejected)}, "logged", ExitRejected, "rejected"},
		"phase unknown":           {map[string]*fakeDaemon{firstAddress: daemonWithPhase(unknown)}, "logged", ExitPending, "it is safe to submit it again"},
		"second daemon":           {map[string]*fakeDaemon{secondAddress: daemonWithPhase(accepted)}, "accepted", ExitOK, ""},
		"second after a failure":  {map[string]*fakeDaemon{firstAddress: lost, secondAddress: daemonWithPhase(accepted)}, "accepted", ExitOK, ""},
		"failure, then no daemon": {map[string]*fakeDaemon{firstAddress: lost}, "accepted", ExitPending, "outcome unknown: the request was sent to 127.0.0.1:1 and no reply arrived; it is safe to repeat the submit"},
		"no status":               {map[string]*fakeDaemon{secondAddress: {}}, "accepted", ExitPending, "the request was sent to 127.0.0.1:2"},
		"no daemon":               {nil, "accepted", ExitNoDaemon, "nothing sent: no daemon can be reached"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			for _, output := range []string{"text", "json"} {
				got := runWith(t, test.daemons, submitArgs(t, "--wait", test.wait, "--output", output)...)
				require.Equal(t, test.code, got.code, got.stderr)
				require.Contains(t, got.stderr, test.message)
				if output == "text" {
					continue
				}
				var result submitResult
				require.NoError(t, json.Unmarshal([]byte(got.stdout), &result))
				require.Equal(t, test.code, result.ExitCode)
				require.Equal(t, test.code == ExitOK, result.Reached)
				require.Equal(t, test.code != ExitNoDaemon, result.Sent)
				require.Equal(t, uint64(7), result.Number)
			}
		})
	}
}

func TestSubmitResultCodes(t *testing.T) {
	tests := map[result.Code]int{
		result.LogUnavailable:       result.ExitTryLater,
		result.AppendOutcomeUnknown: result.ExitUnknown,
		result.TicketMalformed:      result.ExitNotRun,
	}
	for code, exit := range tests {
		daemon := &fakeDaemon{ticketStatus: &pb.TicketStatus{Number: 7, ResultCode: uint32(code)}}
		got := runWith(t, map[string]*fakeDaemon{firstAddress: daemon}, submitArgs(t)...)
		require.Equal(t, exit, got.code, got.stderr)
		require.Contains(t, got.stderr, code.String())
	}
}

func TestDrainErrorExitCodes(t *testing.T) {
	tests := map[result.Code]int{
		result.OperatorUnauthenticated: result.ExitNotRun,
		result.MemberUnknown:           result.ExitNotRun,
		result.Internal:                result.ExitUnknown,
	}
	for code, exit := range tests {
		daemon := &fakeDaemon{err: drpcerr.WithCode(errConnectionLost, uint64(code))}
		got := runWith(t, map[string]*fakeDaemon{firstAddress: daemon}, "--daemon", firstAddress, "drain", "d1")
		require.Equal(t, exit, got.code, got.stderr)
	}
}

func TestSubmitSendsTheParsedTicket(t *testing.T) {
	daemon := daemonWithPhase(pb.TicketPhase_TICKET_PHASE_ACCEPTED)
	got := runWith(t, map[string]*fakeDaemon{firstAddress: daemon}, submitArgs(t)...)
	require.Equal(t, ExitOK, got.code, got.stderr)
	want, err := ticket.Parse("t", []byte(testTicket))
	require.NoError(t, err)
	sent, err := ticket.Parse("sent", daemon.submitRequest.GetTicket())
	require.NoError(t, err)
	require.Equal(t, want, sent)
	require.Equal(t, pb.TicketPhase_TICKET_PHASE_ACCEPTED, daemon.submitRequest.GetWaitFor())
	require.Positive(t, daemon.submitRequest.GetTimeoutMs())
	require.Equal(t, "ticket         7\nphase          accepted\noffset         3\nresult code    0\n"+
		"detail         d\napplied by     -\nmissing        -\ndigest         -\nanswered by    -\n"+
		"knowledge age  0s\noldest fact    0s\n", got.stdout)
}

func TestShowAndList(t *testing.T) {
	tests := map[pb.TicketPhase]int{
		pb.TicketPhase_TICKET_PHASE_UNKNOWN:  ExitPending,
		pb.TicketPhase_TICKET_PHASE_LOGGED:   ExitOK,
		pb.TicketPhase_TICKET_PHASE_REJECTED: ExitRejected,
	}
	for phase, code := range tests {
		daemons := map[string]*fakeDaemon{firstAddress: daemonWithPhase(phase)}
		got := runWith(t, daemons, "--daemon", firstAddress, "ticket", "show", "7")
		require.Equal(t, code, got.code)
		require.Contains(t, got.stdout, phaseName(phase))
	}
	got := runWith(t, map[string]*fakeDaemon{firstAddress: daemonWithPhase(pb.TicketPhase_TICKET_PHASE_VALID)}, "--daemon", firstAddress, "ticket", "list")
	require.Equal(t, ExitOK, got.code)
	require.Equal(t, "NUMBER  OFFSET  PHASE  DETAIL\n7       3       valid  d\n", got.stdout)
}

func TestQueries(t *testing.T) {
	s := ticket.NewState()
	change, err := ticket.Parse("t", []byte(`{"number":4,"author":"a","reason":"r",
		"accounts":[{"id":"x","keyHashes":[]}],
		"services":[{"id":"m","kind":"model"}],
		"servers":[{"id":"s","service":"m","address":"127.0.0.1:9","zone":"z","slots":2}]}`))
	require.NoError(t, err)
	record, err := ticket.Encode(change)
	require.NoError(t, err)
	require.Equal(t, ticket.OutcomeApplied, s.Apply(0, record).Outcome)
	snapshot, err := json.Marshal(s.Snapshot())
	require.NoError(t, err)
	daemons := map[string]*fakeDaemon{firstAddress: {
		snapshot: snapshot,
		statusReply: &pb.StatusReply{
			AnsweredBy: "d1",
			Members:    []*pb.MemberStatus{{Member: &pb.Member{Id: "d1", State: pb.MemberState_MEMBER_STATE_LIVE}}},
			Servers:    []*pb.ServerStatus{{Id: "s", Health: "up"}},
			Entries:    []string{"127.0.0.1:80"},
		},
	}}
	tests := map[string]string{
		"accounts": "ACCOUNT  PRESENCE  WEIGHT  KEYS  MAX QUEUED  MAX QUEUED BYTES  MAX IN FLIGHT  TICKET\n" +
			"x        active    1       0     256         67108864          0              4\n",
		"servers": "SERVER  SERVICE  ADDRESS      ZONE  SLOTS  CHECKS ORDERS  STATE   TICKET\n" +
			"s       m        127.0.0.1:9  z     2      false          joined  4\n",
		"entries": "ENTRY\n127.0.0.1:80\n",
		"members": "MEMBER  STATE  ZONE  PEER  CLIENTS  OFFSET  LOAD  AGE  SUSPECTED  REASON\n" +
			"d1      live   -     -     -        0       0     0s   false      -\n",
	}
	for command, want := range tests {
		got := runWith(t, daemons, "--daemon", firstAddress, command)
		require.Equal(t, ExitOK, got.code, got.stderr)
		require.Equal(t, want, got.stdout)
		got = runWith(t, daemons, "--daemon", firstAddress, "--output", "json", command)
		require.Equal(t, ExitOK, got.code, got.stderr)
		require.True(t, json.Valid([]byte(got.stdout)))
	}
	got := runWith(t, daemons, "--daemon", firstAddress, "status")
	require.Equal(t, ExitOK, got.code, got.stderr)
	require.Contains(t, got.stdout, "answered by: d1\n")
}

func TestQueryFailures(t *testing.T) {
	got := runWith(t, nil, "--daemon", firstAddress, "status")
	require.Equal(t, ExitNoDaemon, got.code)
	got = runWith(t, map[string]*fakeDaemon{firstAddress: {err: errConnectionLost}}, "--daemon", firstAddress, "status")
	require.Equal(t, ExitNoDaemon, got.code)
	require.Contains(t, got.stderr, "connection lost")
	got = runWith(t, map[string]*fakeDaemon{firstAddress: {snapshot: []byte("{")}}, "--daemon", firstAddress, "accounts")
	require.Equal(t, ExitFailed, got.code)
}

func TestDrain(t *testing.T) {
	tests := map[int]*fakeDaemon{
		ExitOK:      {drainState: pb.MemberState_MEMBER_STATE_DRAINING},
		ExitPending: {drainState: pb.MemberState_MEMBER_STATE_LIVE},
	}
	for code, daemon := range tests {
		got := runWith(t, map[string]*fakeDaemon{firstAddress: daemon}, "--daemon", firstAddress, "drain", "d1")
		require.Equal(t, code, got.code, got.stderr)
	}
	got := runWith(t, map[string]*fakeDaemon{firstAddress: {err: errConnectionLost}}, "--daemon", firstAddress, "drain", "d1")
	require.Equal(t, ExitPending, got.code)
	require.Contains(t, got.stderr, "it is safe to repeat the drain")
}

func TestOfflineExitCodes(t *testing.T) {
	file := filepath.Join(t.TempDir(), "t.yaml")
	require.NoError(t, os.WriteFile(file, []byte("number: 0\n"), 0o600))
	tests := []struct {
		code int
		args []string
	}{
		{ExitOK, []string{"version"}},
		{ExitFailed, []string{"ticket", "verify", file + ".missing"}},
		{ExitUsage, []string{"status"}},
		{ExitInvalid, []string{"ticket", "verify", file}},
	}
	for _, test := range tests {
		require.Equal(t, test.code, runWith(t, nil, test.args...).code, test.args)
	}
	require.Equal(t, ExitInvalid, runWith(t, nil, "--daemon", firstAddress, "ticket", "submit", file).code)
	require.Equal(t, ExitUsage, runWith(t, nil, "--colour", "version").code)
}
