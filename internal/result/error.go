package result

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
)

// Error is an error with a result code.
type Error struct {
	Code       Code
	Message    string        // shown to the caller
	RetryAfter time.Duration // time until another try makes sense; 0 when not known
	cause      error         // with a stack; never shown to the caller
}

// New returns an error with the code and a formatted message.
func New(code Code, format string, args ...any) *Error {
	message := fmt.Sprintf(format, args...)
	return &Error{Code: code, Message: message, cause: errors.NewWithDepth(1, message)}
}

// Refuse returns an error with the code and a formatted message, without a stack: for
// decisions that are taken thousands of times a second, where the code says who took it.
func NewWithoutStack(code Code, format string, args ...any) *Error {
	return &Error{Code: code, Message: fmt.Sprintf(format, args...)}
}

// Wrap returns an error with the code and a formatted message that keeps err as
// its cause. The caller is shown the message only.
func Wrap(err error, code Code, format string, args ...any) *Error {
	message := fmt.Sprintf(format, args...)
	if err == nil {
		return &Error{Code: code, Message: message, cause: errors.NewWithDepth(1, message)}
	}
	return &Error{Code: code, Message: message, cause: errors.WithStackDepth(err, 1)}
}

// After returns a copy of the error that asks the caller to wait for d before another try.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	c := *e
	c.RetryAfter = d
	return &c
}

// Error returns the code, the message and the cause.
func (e *Error) Error() string {
	message := e.Code.String() + ": " + e.Message
	if e.cause == nil || e.cause.Error() == e.Message {
		return message
	}
	return message + ": " + e.cause.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }

// Class returns how far the request got.
func (e *Error) Class() Class { return e.Code.Class() }

// From returns the outermost Error in the chain of err. An err without one becomes
// Internal, whose class is Unknown. From(nil) is nil.
func From(err error) *Error {
	if err == nil {
		return nil
	}
	var e *Error
	if errors.As(err, &e) && e != nil {
		return e
	}
	return &Error{Code: Internal, Message: Internal.Description(), cause: err}
}

// CodeOf returns the code of From(err), and OK for nil.
func CodeOf(err error) Code {
	if err == nil {
		return OK
	}
	return From(err).Code
}
