package ctl

import (
	"fmt"
	"io"

	"github.com/cockroachdb/errors"

	"github.com/filbertrill/filbertrill/internal/result"
)

// The exit codes. They are those of the result codes.
const (
	ExitOK       = result.ExitOK
	ExitFailed   = result.ExitNotRun   // failed on this side, or would fail again
	ExitUsage    = result.ExitSettings // the command line is wrong
	ExitInvalid  = result.ExitNotRun   // the ticket file has faults
	ExitRejected = result.ExitNotRun   // the ticket was rejected
	ExitPending  = result.ExitUnknown  // not there yet, or the outcome is unknown
	ExitNoDaemon = result.ExitTryLater // no daemon could be reached; nothing was sent
)

// exitError is an error with an exit code. A nil cause prints nothing.
type exitError struct {
	code  int
	cause error
}

// Error returns the text of the cause.
func (e *exitError) Error() string {
	if e.cause == nil {
		return fmt.Sprintf("exit code %d", e.code)
	}
	return e.cause.Error()
}

// Unwrap returns the cause.
func (e *exitError) Unwrap() error { return e.cause }

func withExit(code int, cause error) error { return &exitError{code: code, cause: cause} }

// report prints the error and returns its exit code.
func report(w io.Writer, err error) int {
	if err == nil {
		return ExitOK
	}
	var exitErr *exitError
	if !errors.As(err, &exitErr) {
		exitErr = &exitError{code: ExitFailed, cause: err}
	}
	if exitErr.cause != nil {
		fmt.Fprintf(w, "filbertrillctl: %v\n", exitErr.cause)
	}
	return exitErr.code
}
