// Package ctl implements filbertrillctl, the command-line tool of operators.
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

// Options holds the process environment of a command: output streams, connections and version.
type Options struct {
	Stdout io.Writer
	Stderr io.Writer
	// NewDialer returns a Dialer that authenticates with the secret shared by daemons and
	// operators.
	NewDialer func(secret string) Dialer
	Version   string
}

// Output formats of the --output flag.
const (
	formatText = "text"
	formatJSON = "json"
)

// secret is a string that formats as a placeholder, so that help texts and logs don't reveal it.
type secret string

// String returns a placeholder instead of the secret.
func (secret) String() string { return "(hidden)" }

// cli declares the flags and commands of the command line for kong.
type cli struct {
	Daemon  []string      `help:"Peer address of a daemon, ip:port. May be repeated; daemons are tried in order." env:"FILBERTRILL_DAEMON" placeholder:"IP:PORT"`
	Secret  secret        `help:"Secret shared with the daemons. Prefer the environment variable: other users of the machine can read command lines." env:"FILBERTRILL_SECRET"`
	Output  string        `help:"Output format: text or json." enum:"text,json" default:"text"`
	Timeout time.Duration `help:"Timeout of the whole command." default:"30s"`

	Ticket     ticketCommands     `cmd:"" help:"Check, submit and follow change tickets."`
	Status     statusCommand      `cmd:"" help:"Show one daemon's view of the fleet and the log."`
	Members    membersCommand     `cmd:"" help:"List the members."`
	Accounts   accountsCommand    `cmd:"" help:"List the client accounts."`
	Servers    serversCommand     `cmd:"" help:"List the backend servers."`
	Entries    entriesCommand     `cmd:"" help:"List the addresses that clients connect to."`
	Drain      drainCommand       `cmd:"" help:"Ask a member to finish its requests and leave the fleet."`
	Quarantine quarantineCommands `cmd:"" help:"Show and clear the prompt parts and requests that daemons on the platform suspect of ending servers. Takes control addresses as --daemon."`
	Notices    noticesCommand     `cmd:"" help:"List what backend servers on the platform say of the requests that they take: that they leave, ask for a pause or name a limit. Takes control addresses as --daemon."`
	Fairness   fairnessCommand    `cmd:"" help:"Show how near client accounts came to receiving less than half of what others did, from logs of daemons on the platform. Distance is the share of the required half that the account received; below 1 it received less."`
	Version    versionCommand     `cmd:"" help:"Show the version of this tool."`
}

type ticketCommands struct {
	Verify verifyCommand `cmd:"" help:"Check ticket files without a daemon."`
	Submit submitCommand `cmd:"" help:"Submit a ticket and wait for a phase."`
	Show   showCommand   `cmd:"" help:"Show one ticket."`
	List   listCommand   `cmd:"" help:"List the newest tickets."`
}

// Run executes the command that args selects and returns its exit code. Cancelling ctx ends
// the command early.
func Run(ctx context.Context, args []string, options Options) int {
	var commandLine cli
	exited, exitCode := false, ExitOK
	parser, err := kong.New(&commandLine,
		kong.Name("filbertrillctl"),
		kong.Description("Operator tool for the filbertrill router fleet."),
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

// check validates the global flags beyond what kong checks.
func (c *cli) check() error {
	if c.Timeout <= 0 {
		return errors.New("--timeout must be positive")
	}
	for _, address := range c.Daemon {
		if _, err := netip.ParseAddrPort(address); err != nil {
			return errors.Newf("--daemon %q must be an IP address and a port", address)
		}
	}
	return nil
}
