// Package answer contains the state machine for the answer of a model engine. It decides which
// events are forwarded to the caller, when an interrupted stream is resumed, when the request is
// retried on another backend server, and when the answer fails. It does no I/O and has no clock:
// users pass the time and an event, and carry out the returned action.
//
// It also assembles the chunks of a stream into a non-streamed answer.
package answer

import (
	"time"

	"github.com/filbertrill/filbertrill/internal/result"
)

// Event is an input of a Machine: one of the event types in this package.
type Event interface{ isEvent() }

// NoOffset is the offset of a stream event that has no id.
const NoOffset = -1

// Received means that the engine's stream delivered an event.
type Received struct {
	AttemptID string // attempt in the event's id; empty if the id is malformed
	Offset    int    // position in the answer, starting at 0; NoOffset if the event has no id
	Final     bool   // the event has a finish reason or follows the one that has it
}

// StreamEnded means that the engine's stream delivered the end marker.
type StreamEnded struct{}

// Connected means that the engine accepted the connection and knows the attempt.
type Connected struct{}

// ConnectionLost means that the connection ended before the end marker.
type ConnectionLost struct{}

// IdleTimeout means that the connection received no data for the idle limit.
type IdleTimeout struct{}

// Replaced means that another backend server has accepted the request, and nothing of this attempt is forwarded any more.
type Replaced struct{}

// AttemptUnknown means that the engine does not know the attempt to resume.
type AttemptUnknown struct{}

// EngineError means that the engine's stream reported that the attempt failed.
type EngineError struct{}

// ErrorStatus means that the engine answered the request that starts the attempt with an HTTP error status.
type ErrorStatus struct{}

// NotSent means that no byte of the request can have reached the backend server.
type NotSent struct{}

// DeadlineExceeded means that no event arrived before the deadline.
type DeadlineExceeded struct{}

// CallerGone means that the caller closed its connection.
type CallerGone struct{}

// CallerSlow means that a write to the caller blocked for longer than the write limit.
type CallerSlow struct{}

func (Received) isEvent()         {}
func (StreamEnded) isEvent()      {}
func (Connected) isEvent()        {}
func (ConnectionLost) isEvent()   {}
func (IdleTimeout) isEvent()      {}
func (Replaced) isEvent()         {}
func (AttemptUnknown) isEvent()   {}
func (EngineError) isEvent()      {}
func (ErrorStatus) isEvent()      {}
func (NotSent) isEvent()          {}
func (DeadlineExceeded) isEvent() {}
func (CallerGone) isEvent()       {}
func (CallerSlow) isEvent()       {}

// ActionKind is the type of an Action.
type ActionKind int

// Kinds of actions.
const (
	Ignore  ActionKind = iota // drop the event and continue reading
	Forward                   // forward the event to the caller
	Finish                    // complete the answer to the caller
	Resume                    // resume on a new connection after the delay
	Retry                     // retry on another backend server; fail with Code if that is not possible
	Fail                      // fail the answer with Code
	Stop                      // end without a reply, because the caller is gone or does not read
)

// Action is the decision of a Machine on an event.
type Action struct {
	Kind       ActionKind
	Delay      time.Duration // for Resume
	LastOffset int           // for Resume: offset of the last forwarded event, NoOffset if there is none
	Seek       bool          // for Resume: pass Replaced when another backend server has accepted the request
	Code       result.Code   // for Retry and Fail
	Cancel     bool          // cancel the attempt at the engine, which may still run it
}
