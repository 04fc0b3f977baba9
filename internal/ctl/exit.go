package ctl

import (
	"fmt"
	"io"

	"github.com/cockroachdb/errors"
)

// The exit codes.
const (
	ExitOK       = 0
	ExitFailed   = 1
	ExitUsage    = 2
	ExitInvalid  = 3 // the ticket file has faults
	ExitRejected = 4 // the ticket was rejected
	ExitPending  = 5 // not there yet, or the outcome is unknown
	ExitNoDaemon = 6 // no daemon could be reached; nothing was sent
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
	var coded *exitError
	if !errors.As(err, &coded) {
		coded = &exitError{code: ExitFailed, cause: err}
	}
	if coded.cause != nil {
		fmt.Fprintf(w, "filbertrillctl: %v\n", coded.cause)
	}
	return coded.code
}
