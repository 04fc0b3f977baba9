// Package ctl is the logic of the operators' tool filbertrillctl.
package ctl

import (
	"context"
	"io"
	"net/netip"
	"time"

	"github.com/alecthomas/kong"
	"github.com/cockroachdb/errors"

	"github.com/filbertrill/filbertrill/internal/peer/pb"
)

// Dialer opens a connection to the operator service of a daemon. An error
// means that no request was sent.
type Dialer func(ctx context.Context, address string) (pb.DRPCOperatorClient, io.Closer, error)

// Options are what the tool takes from its surroundings.
type Options struct {
	Stdout io.Writer
	Stderr io.Writer
	// NewDialer returns the dialer for the secret that daemons and operators share.
	NewDialer func(secret string) Dialer
	Version   string
}

// The forms of output.
const (
	formatText = "text"
	formatJSON = "json"
)

// secret is text that is never printed.
type secret string

// String hides the secret.
func (secret) String() string { return "(hidden)" }

// cli is the command line.
type cli struct {
	Daemon  []string      `help:"Peer address of a daemon, ip:port. Repeat it to name more; they are tried in order." env:"FILBERTRILL_DAEMON" placeholder:"IP:PORT"`
	Secret  secret        `help:"Secret shared with the daemons. Prefer the environment: other users can read command lines." env:"FILBERTRILL_SECRET"`
	Output  string        `help:"Form of output: text or json." enum:"text,json" default:"text"`
	Timeout time.Duration `help:"Time for the whole command." default:"30s"`

	Ticket   ticketCommands  `cmd:"" help:"Check, submit and follow change tickets."`
	Status   statusCommand   `cmd:"" help:"Show what one daemon knows of the fleet and the log."`
	Members  membersCommand  `cmd:"" help:"List the members."`
	Accounts accountsCommand `cmd:"" help:"List the client accounts."`
	Servers  serversCommand  `cmd:"" help:"List the backend servers."`
	Entries  entriesCommand  `cmd:"" help:"List the addresses for clients."`
	Drain    drainCommand    `cmd:"" help:"Ask a member to finish its requests and leave."`
	Version  versionCommand  `cmd:"" help:"Show the version of this tool."`
}

type ticketCommands struct {
	Verify verifyCommand `cmd:"" help:"Check ticket files without a daemon."`
	Submit submitCommand `cmd:"" help:"Submit a ticket and wait for a phase."`
	Show   showCommand   `cmd:"" help:"Show one ticket."`
	List   listCommand   `cmd:"" help:"List the newest tickets."`
}

// Run carries out one command line and returns its exit code. It ends early
// when the context is cancelled.
func Run(ctx context.Context, args []string, options Options) int {
	var commandLine cli
	exited, exitCode := false, ExitOK
	parser, err := kong.New(&commandLine,
		kong.Name("filbertrillctl"),
		kong.Description("Operators' tool of the filbertrill router fleet."),
		kong.Writers(options.Stdout, options.Stderr),
		kong.Exit(func(code int) { exited, exitCode = true, code }),
	)
	if err != nil {
		return report(options.Stderr, err)
	}
	command, err := parser.Parse(args)
	if exited {
		return exitCode
	}
	if err == nil {
		err = commandLine.check()
	}
	if err != nil {
		return report(options.Stderr, withExit(ExitUsage, err))
	}
	ctx, cancel := context.WithTimeout(ctx, commandLine.Timeout)
	defer cancel()
	s := newSession(ctx, &commandLine, options)
	return report(options.Stderr, command.Run(s))
}

// check finds the faults of global flags that kong can't see.
func (c *cli) check() error {
	if c.Timeout <= 0 {
		return errors.New("--timeout must be above 0")
	}
	for _, address := range c.Daemon {
		if _, err := netip.ParseAddrPort(address); err != nil {
			return errors.Newf("--daemon %q must be an IP address and a port", address)
		}
	}
	return nil
}
