package ctl

import (
	"fmt"
	"io"

	"github.com/cockroachdb/errors"

	"github.com/filbertrill/filbertrill/internal/result"
)

// Exit codes of filbertrillctl. They share their values with the exit codes of result codes.
const (
	ExitOK       = result.ExitOK
	ExitFailed   = result.ExitNotRun   // local failure, or a request that would fail again
	ExitUsage    = result.ExitSettings // invalid command line
	ExitInvalid  = result.ExitNotRun   // invalid ticket file
	ExitRejected = result.ExitNotRun   // the ticket was rejected
	ExitPending  = result.ExitUnknown  // not finished yet, or outcome unknown
	ExitNoDaemon = result.ExitTryLater // no daemon could be reached or none answered; nothing was changed
)

// exitError attaches an exit code to an error. With a nil cause, no message is printed.
type exitError struct {
	code  int
	cause error
}

// Error returns the message of the cause.
func (e *exitError) Error() string {
	if e.cause == nil {
		return fmt.Sprintf("exit code %d", e.code)
	}
	return e.cause.Error()
}

// Unwrap returns the cause.
func (e *exitError) Unwrap() error { return e.cause }

func withExit(code int, cause error) error { return &exitError{code: code, cause: cause} }

// report prints err, if any, and returns its exit code: ExitFailed unless it wraps an exitError.
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
