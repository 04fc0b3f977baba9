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

// columnGap is the number of spaces between the columns of a table.
const columnGap = 2

// session holds what one command needs: the daemons, the dialer and the output.
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

// callError is the error of a call that no daemon answered successfully.
type callError struct {
	sentTo      []string    // daemons that may have executed the request
	refusalCode result.Code // of the first daemon that refused the request; OK if none did
	errors      []string
}

// addError records the error of a daemon that was reached. A known result code of class NotRun
// proves that the daemon refused the request; after any other error it may have executed it.
func (e *callError) addError(address string, err error) {
	code := result.Code(drpcerr.Code(err))
	if code.Known() && code.Class() == result.NotRun && code != result.OK {
		e.refusalCode = cmp.Or(e.refusalCode, code)
		return
	}
	e.sentTo = append(e.sentTo, address)
}

// refusalError returns an error if a daemon refused the request and no daemon may have executed
// it, and nil otherwise.
func (e *callError) refusalError() error {
	if e.refusalCode == result.OK || len(e.sentTo) > 0 {
		return nil
	}
	return withExit(result.ExitCode(e.refusalCode), errors.Wrapf(e, "%v", e.refusalCode))
}

// Error lists the daemons with their errors.
func (e *callError) Error() string { return strings.Join(e.errors, "; ") }

// call sends a request to the daemons in order until one succeeds, and returns its reply and
// its address. The time that is left is divided equally among the remaining daemons. The error
// is a *callError, or a usage error if no daemon was given.
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

// callDaemon calls one daemon. It reports in sent whether the daemon may have received the request.
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

// attemptContext returns the context of one attempt, with an equal share of the time left before
// the deadline for each of the remaining attempts.
func (s *session) attemptContext(remaining int) (context.Context, context.CancelFunc) {
	deadline, ok := s.ctx.Deadline()
	if !ok {
		return context.WithCancel(s.ctx)
	}
	return context.WithTimeout(s.ctx, time.Until(deadline)/time.Duration(remaining))
}

// query is like call, for read-only requests.
func query[T any](s *session, do func(context.Context, pb.DRPCOperatorClient) (T, error)) (T, error) {
	reply, _, err := call(s, do)
	return reply, queryError(err)
}

// queryError adds the exit code to the error of a read-only request.
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

// changeError adds the exit code to the error of a request that may have taken effect.
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
		"outcome unknown: the request was sent to %s and no reply arrived; it is safe to repeat the %s",
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

// table writes the header and the rows in aligned columns.
func (s *session) table(header []string, rows [][]string) error {
	w := tabwriter.NewWriter(s.stdout, 0, 0, columnGap, ' ', 0)
	for _, row := range append([][]string{header}, rows...) {
		if _, err := fmt.Fprintln(w, strings.Join(row, "\t")); err != nil {
			return err
		}
	}
	return w.Flush()
}

// print writes the value as JSON, or the header and the rows as a table.
func (s *session) print(value any, header []string, rows [][]string) error {
	if s.json {
		return s.printJSON(value)
	}
	return s.table(header, rows)
}
