package ctl

import (
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/filbertrill/filbertrill/internal/exchange"
	"github.com/filbertrill/filbertrill/internal/exchange/pb"
)

// quarantineCommands show and clear the prompt parts that daemons on the platform suspect of ending servers.
type quarantineCommands struct {
	List quarantineListCommand `cmd:"" help:"List the suspected prompt parts."`
	Lift quarantineLiftCommand `cmd:"" help:"Clear a suspected prompt part in the whole fleet. Its requests are sent again."`
}

// quarantineListCommand lists the suspected prompt parts.
type quarantineListCommand struct{}

// quarantinedPart is a suspected prompt part in the output.
type quarantinedPart struct {
	Part    string    `json:"part"`
	Since   time.Time `json:"since"`
	Until   time.Time `json:"until"`
	Servers []string  `json:"servers"`
}

// Run lists the parts with the evidence: the hashes of the servers that ended under them.
func (*quarantineListCommand) Run(s *session) error {
	var list *pb.QuarantineList
	err := s.tryDaemons(func(address string) (err error) {
		list, err = exchange.ListQuarantine(s.ctx, address)
		return err
	})
	if err != nil {
		return err
	}
	parts := make([]quarantinedPart, 0, len(list.Parts))
	rows := make([][]string, 0, len(list.Parts))
	for _, p := range list.Parts {
		view := quarantinedPart{
			Part: formatHash(p.Part), Since: time.UnixMilli(p.SinceUnixMs).UTC(), Until: time.UnixMilli(p.UntilUnixMs).UTC(),
		}
		for _, server := range p.Servers {
			view.Servers = append(view.Servers, formatHash(server))
		}
		parts = append(parts, view)
		rows = append(rows, []string{view.Part, view.Since.Format(time.RFC3339), view.Until.Format(time.RFC3339), strconv.Itoa(len(view.Servers))})
	}
	return s.print(parts, []string{"PART", "SINCE", "NEXT TRIAL", "ENDED SERVERS"}, rows)
}

// quarantineLiftCommand clears a suspected prompt part.
type quarantineLiftCommand struct {
	Part string `arg:"" help:"Hash of the part, as listed and logged."`
}

// Run clears the part. It fails with ExitRejected if the daemon doesn't suspect it.
func (c *quarantineLiftCommand) Run(s *session) error {
	part, err := strconv.ParseUint(c.Part, 16, 64)
	if err != nil {
		return withExit(ExitUsage, errors.Wrapf(err, "part %q", c.Part))
	}
	held := false
	err = s.tryDaemons(func(address string) (err error) {
		held, err = exchange.LiftQuarantine(s.ctx, address, part)
		return err
	})
	if err != nil {
		return err
	}
	if !held {
		return withExit(ExitRejected, errors.Newf("part %s is not suspected", c.Part))
	}
	return s.print(map[string]string{"part": c.Part, "state": "lifted"}, []string{"PART", "STATE"}, [][]string{{c.Part, "lifted"}})
}

// formatHash formats the hash of a prompt part or server as in the logs.
func formatHash(hash uint64) string { return strconv.FormatUint(hash, 16) }

// tryDaemons calls the daemons in order until one answers.
func (s *session) tryDaemons(call func(address string) error) error {
	if len(s.daemons) == 0 {
		return withExit(ExitUsage, errors.New("no daemon given: use --daemon or FILBERTRILL_DAEMON"))
	}
	var err error
	for _, address := range s.daemons {
		if err = call(address); err == nil {
			return nil
		}
	}
	return withExit(ExitNoDaemon, err)
}
