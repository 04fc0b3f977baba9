package result

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
)

// Error is an error with a result code.
type Error struct {
	Code       Code
	Message    string        // sent to the caller
	RetryAfter time.Duration // minimum delay before a retry; 0 if unknown
	cause      error         // nil or an error with a stack trace; never sent to the caller
}

// New returns an error with the code and a formatted message.
func New(code Code, format string, args ...any) *Error {
	message := fmt.Sprintf(format, args...)
	return &Error{Code: code, Message: message, cause: errors.NewWithDepth(1, message)}
}

// NewWithoutStack returns an error with the code and a formatted message, without a stack trace. Use it
// for errors that are returned thousands of times a second and whose code identifies their origin.
func NewWithoutStack(code Code, format string, args ...any) *Error {
	return &Error{Code: code, Message: fmt.Sprintf(format, args...)}
}

// Wrap returns an error with the code, a formatted message and err as its cause. The caller receives
// only the message.
func Wrap(err error, code Code, format string, args ...any) *Error {
	message := fmt.Sprintf(format, args...)
	if err == nil {
		return &Error{Code: code, Message: message, cause: errors.NewWithDepth(1, message)}
	}
	return &Error{Code: code, Message: message, cause: errors.WithStackDepth(err, 1)}
}

// WithRetryAfter returns a copy of the error that asks the caller to wait for d before a retry.
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

// Class returns the class of the error's code.
func (e *Error) Class() Class { return e.Code.Class() }

// From returns the outermost Error in the chain of err, or an error with the code Internal if there is
// none. It returns nil if err is nil.
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

// CodeOf returns the code of From(err), or OK if err is nil.
func CodeOf(err error) Code {
	if err == nil {
		return OK
	}
	return From(err).Code
}
