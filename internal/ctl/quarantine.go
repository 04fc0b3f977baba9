package ctl

import (
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/filbertrill/filbertrill/internal/exchange"
	"github.com/filbertrill/filbertrill/internal/exchange/pb"
	"github.com/filbertrill/filbertrill/internal/quarantine"
)

// quarantineCommands show and clear the prompt parts and requests that daemons on the platform suspect of ending servers.
type quarantineCommands struct {
	List quarantineListCommand `cmd:"" help:"List the suspected prompt parts and requests."`
	Lift quarantineLiftCommand `cmd:"" help:"Clear a suspected prompt part or request in the whole fleet. It is sent again."`
}

// quarantineListCommand lists the suspects.
type quarantineListCommand struct{}

// quarantined is a suspected prompt part or request in the output.
type quarantined struct {
	Kind    string    `json:"kind"`
	ID      string    `json:"id"`
	Since   time.Time `json:"since"`
	Until   time.Time `json:"until"`
	Servers []string  `json:"servers"`
}

// Run lists the suspects with the evidence: the hashes of the servers that ended under them.
func (*quarantineListCommand) Run(s *session) error {
	var list *pb.QuarantineList
	err := s.tryDaemons(func(address string) (err error) {
		list, err = exchange.ListQuarantine(s.ctx, address)
		return err
	})
	if err != nil {
		return err
	}
	suspects := make([]quarantined, 0, len(list.Suspects))
	rows := make([][]string, 0, len(list.Suspects))
	for _, p := range list.Suspects {
		view := quarantined{
			Kind: quarantine.Kind(p.Kind).String(), ID: formatHash(p.Id), Since: time.UnixMilli(p.SinceUnixMs).UTC(), Until: time.UnixMilli(p.UntilUnixMs).UTC(),
		}
		for _, server := range p.Servers {
			view.Servers = append(view.Servers, formatHash(server))
		}
		suspects = append(suspects, view)
		rows = append(rows, []string{view.Kind, view.ID, view.Since.Format(time.RFC3339), view.Until.Format(time.RFC3339), strconv.Itoa(len(view.Servers))})
	}
	return s.print(suspects, []string{"KIND", "ID", "SINCE", "NEXT TRIAL", "ENDED SERVERS"}, rows)
}

// quarantineLiftCommand clears a suspected prompt part or request.
type quarantineLiftCommand struct {
	ID string `arg:"" help:"Hash of the part or digest of the request, as listed and logged."`
}

// Run clears the suspect. It fails with ExitRejected if the daemon doesn't suspect it.
func (c *quarantineLiftCommand) Run(s *session) error {
	id, err := strconv.ParseUint(c.ID, 16, 64)
	if err != nil {
		return withExit(ExitUsage, errors.Wrapf(err, "id %q", c.ID))
	}
	held := false
	err = s.tryDaemons(func(address string) (err error) {
		held, err = exchange.LiftQuarantine(s.ctx, address, id)
		return err
	})
	if err != nil {
		return err
	}
	if !held {
		return withExit(ExitRejected, errors.Newf("%s is not suspected", c.ID))
	}
	return s.print(map[string]string{"id": c.ID, "state": "lifted"}, []string{"ID", "STATE"}, [][]string{{c.ID, "lifted"}})
}

// formatHash formats the hash of a prompt part, request or server as in the logs.
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
