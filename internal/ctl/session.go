package ctl

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"
	"storj.io/drpc/drpcerr"

	"github.com/filbertrill/filbertrill/internal/peer/pb"
	"github.com/filbertrill/filbertrill/internal/result"
)

// columnGap is the space between the columns of a table, in characters.
const columnGap = 2

// session is what a command works with.
type session struct {
	ctx     context.Context
	daemons []string
	dial    Dialer
	json    bool
	stdout  io.Writer
	stderr  io.Writer
	version string
}

func newSession(ctx context.Context, line *cli, options Options) *session {
	return &session{
		ctx:     ctx,
		daemons: line.Daemon,
		dial:    options.NewDialer(string(line.Secret)),
		json:    line.Output == formatJSON,
		stdout:  options.Stdout,
		stderr:  options.Stderr,
		version: options.Version,
	}
}

// failure tells how far the tries of a call came.
type failure struct {
	sent   []string    // daemons that may have carried out the request
	code   result.Code // of the first daemon that refused the request; OK for none
	errors []string
}

// note adds the error of a daemon that was reached, and the code that came with it.
func (f *failure) note(address string, err error) {
	code := result.Code(drpcerr.Code(err))
	if code.Known() && code.Class() == result.NotRun && code != result.OK {
		f.code = cmp.Or(f.code, code)
		return
	}
	f.sent = append(f.sent, address)
}

// refused returns the error of a request that daemons answered and none carried out, or nil.
func (f *failure) refused() error {
	if f.code == result.OK || len(f.sent) > 0 {
		return nil
	}
	return withExit(result.ExitCode(f.code), errors.Wrapf(f, "%v", f.code))
}

// Error names every daemon with its error.
func (f *failure) Error() string { return strings.Join(f.errors, "; ") }

// call does one request at the daemons in turn until one answers. Each has an
// equal part of the time left. The error is a *failure but for a usage error.
func call[T any](s *session, do func(context.Context, pb.DRPCOperatorClient) (T, error)) (T, string, error) {
	var none T
	if len(s.daemons) == 0 {
		return none, "", withExit(ExitUsage, errors.New("no daemon given: use --daemon or FILBERTRILL_DAEMON"))
	}
	failed := &failure{}
	for i, address := range s.daemons {
		reply, sent, err := callOne(s, address, len(s.daemons)-i, do)
		if err == nil {
			return reply, address, nil
		}
		if sent {
			failed.note(address, err)
		}
		failed.errors = append(failed.errors, fmt.Sprintf("%s: %v", address, err))
	}
	return none, "", failed
}

// callOne reports whether the request may have reached the daemon.
func callOne[T any](
	s *session, address string, left int, do func(context.Context, pb.DRPCOperatorClient) (T, error),
) (reply T, sent bool, err error) {
	ctx, cancel := s.attempt(left)
	defer cancel()
	client, closer, err := s.dial(ctx, address)
	if err != nil {
		return reply, false, errors.Wrap(err, "connect")
	}
	defer func() { _ = closer.Close() }()
	reply, err = do(ctx, client)
	return reply, true, err
}

// attempt returns a context with an equal part of the time left.
func (s *session) attempt(left int) (context.Context, context.CancelFunc) {
	deadline, ok := s.ctx.Deadline()
	if !ok {
		return context.WithCancel(s.ctx)
	}
	return context.WithTimeout(s.ctx, time.Until(deadline)/time.Duration(left))
}

// query is call for requests that change nothing.
func query[T any](s *session, do func(context.Context, pb.DRPCOperatorClient) (T, error)) (T, error) {
	reply, _, err := call(s, do)
	return reply, queryError(err)
}

func queryError(err error) error {
	var failed *failure
	if !errors.As(err, &failed) {
		return err
	}
	if refused := failed.refused(); refused != nil {
		return refused
	}
	if len(failed.sent) == 0 {
		return withExit(ExitNoDaemon, errors.Wrap(err, "no daemon can be reached"))
	}
	return withExit(ExitNoDaemon, errors.Wrap(err, "no daemon answered"))
}

// changeError is the error of a request that may have taken effect.
func changeError(what string, err error) error {
	var failed *failure
	if !errors.As(err, &failed) {
		return err
	}
	if refused := failed.refused(); refused != nil {
		return refused
	}
	if len(failed.sent) == 0 {
		return withExit(ExitNoDaemon, errors.Wrapf(err, "nothing sent: no daemon can be reached"))
	}
	return withExit(ExitPending, errors.Wrapf(err,
		"outcome unknown: the request went to %s and no answer came; %s again is safe",
		strings.Join(failed.sent, ", "), what))
}

// printJSON writes the value as indented JSON.
func (s *session) printJSON(value any) error {
	encoder := json.NewEncoder(s.stdout)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

func (s *session) printf(format string, args ...any) error {
	_, err := fmt.Fprintf(s.stdout, format, args...)
	return err
}

// table writes the rows in columns under the head.
func (s *session) table(head []string, rows [][]string) error {
	w := tabwriter.NewWriter(s.stdout, 0, 0, columnGap, ' ', 0)
	for _, row := range append([][]string{head}, rows...) {
		if _, err := fmt.Fprintln(w, strings.Join(row, "\t")); err != nil {
			return err
		}
	}
	return w.Flush()
}

// print writes the value as JSON or the rows as a table.
func (s *session) print(value any, head []string, rows [][]string) error {
	if s.json {
		return s.printJSON(value)
	}
	return s.table(head, rows)
}
