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

func newSession(ctx context.Context, commandLine *cli, options Options) *session {
	return &session{
		ctx:     ctx,
		daemons: commandLine.Daemon,
		dial:    options.NewDialer(string(commandLine.Secret)),
		json:    commandLine.Output == formatJSON,
		stdout:  options.Stdout,
		stderr:  options.Stderr,
		version: options.Version,
	}
}

// failure tells how far the tries of a call came.
type callError struct {
	sentTo      []string    // daemons that may have carried out the request
	refusalCode result.Code // of the first daemon that refused the request; OK for none
	errors      []string
}

// note adds the error of a daemon that was reached, and the code that came with it.
func (e *callError) addError(address string, err error) {
	code := result.Code(drpcerr.Code(err))
	if code.Known() && code.Class() == result.NotRun && code != result.OK {
		e.refusalCode = cmp.Or(e.refusalCode, code)
		return
	}
	e.sentTo = append(e.sentTo, address)
}

// refused returns the error of a request that daemons answered and none carried out, or nil.
func (e *callError) refusalError() error {
	if e.refusalCode == result.OK || len(e.sentTo) > 0 {
		return nil
	}
	return withExit(result.ExitCode(e.refusalCode), errors.Wrapf(e, "%v", e.refusalCode))
}

// Error names every daemon with its error.
func (e *callError) Error() string { return strings.Join(e.errors, "; ") }

// call does one request at the daemons in turn until one answers. Each has an
// equal part of the time left. The error is a *failure but for a usage error.
func call[T any](s *session, do func(context.Context, pb.DRPCOperatorClient) (T, error)) (T, string, error) {
	var zero T
	if len(s.daemons) == 0 {
		return zero, "", withExit(ExitUsage, errors.New("no daemon given: use --daemon or FILBERTRILL_DAEMON"))
	}
	callErr := &callError{}
	for i, address := range s.daemons {
		reply, sent, err := callDaemon(s, address, len(s.daemons)-i, do)
		if err == nil {
			return reply, address, nil
		}
		if sent {
			callErr.addError(address, err)
		}
		callErr.errors = append(callErr.errors, fmt.Sprintf("%s: %v", address, err))
	}
	return zero, "", callErr
}

// callOne reports whether the request may have reached the daemon.
func callDaemon[T any](
	s *session, address string, remaining int, do func(context.Context, pb.DRPCOperatorClient) (T, error),
) (reply T, sent bool, err error) {
	ctx, cancel := s.attemptContext(remaining)
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
func (s *session) attemptContext(remaining int) (context.Context, context.CancelFunc) {
	deadline, ok := s.ctx.Deadline()
	if !ok {
		return context.WithCancel(s.ctx)
	}
	return context.WithTimeout(s.ctx, time.Until(deadline)/time.Duration(remaining))
}

// query is call for requests that change nothing.
func query[T any](s *session, do func(context.Context, pb.DRPCOperatorClient) (T, error)) (T, error) {
	reply, _, err := call(s, do)
	return reply, queryError(err)
}

func queryError(err error) error {
	var callErr *callError
	if !errors.As(err, &callErr) {
		return err
	}
	if refusalErr := callErr.refusalError(); refusalErr != nil {
		return refusalErr
	}
	if len(callErr.sentTo) == 0 {
		return withExit(ExitNoDaemon, errors.Wrap(err, "no daemon can be reached"))
	}
	return withExit(ExitNoDaemon, errors.Wrap(err, "no daemon answered"))
}

// changeError is the error of a request that may have taken effect.
func changeError(operation string, err error) error {
	var callErr *callError
	if !errors.As(err, &callErr) {
		return err
	}
	if refusalErr := callErr.refusalError(); refusalErr != nil {
		return refusalErr
	}
	if len(callErr.sentTo) == 0 {
		return withExit(ExitNoDaemon, errors.Wrapf(err, "nothing sent: no daemon can be reached"))
	}
	return withExit(ExitPending, errors.Wrapf(err,
		"outcome unknown: the request went to %s and no answer came; %s again is safe",
		strings.Join(callErr.sentTo, ", "), operation))
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
func (s *session) table(header []string, rows [][]string) error {
	w := tabwriter.NewWriter(s.stdout, 0, 0, columnGap, ' ', 0)
	for _, row := range append([][]string{header}, rows...) {
		if _, err := fmt.Fprintln(w, strings.Join(row, "\t")); err != nil {
			return err
		}
	}
	return w.Flush()
}

// print writes the value as JSON or the rows as a table.
func (s *session) print(value any, header []string, rows [][]string) error {
	if s.json {
		return s.printJSON(value)
	}
	return s.table(header, rows)
}
