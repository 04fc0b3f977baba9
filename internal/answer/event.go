// Package answer holds the pure decisions on one answer of a model engine: which events
// reach the caller, when a broken or silent stream is resumed, when the request is run
// again on another backend server, and when the answer fails. It has no clock, socket,
// goroutine or lock: callers pass the time and an event, and carry out the action.
package answer

import (
	"time"

	"github.com/filbertrill/filbertrill/internal/result"
)

// Event is something that happened to the running attempt.
type Event interface{ isEvent() }

// NoOffset is the offset of an event that names none.
const NoOffset = -1

// Received is an event of the engine's stream.
type Received struct {
	AttemptID string // that the event names; empty when its id is malformed
	Offset    int    // place in the answer, from 0; NoOffset when the event has no id
	Final     bool   // it tells why the answer ends
}

// Ended is the end marker of the engine's stream.
type StreamEnded struct{}

// Connected tells that the engine accepted the connection and knows the attempt.
type Connected struct{}

// Broken tells that the connection ended before the end marker.
type ConnectionLost struct{}

// Silent tells that the connection carried nothing for the idle limit.
type IdleTimeout struct{}

// Forgotten tells that the engine does not know the attempt that was to be resumed.
type AttemptUnknown struct{}

// Failed tells that the engine reported a failure of the attempt.
type EngineError struct{}

// Refused tells that the engine answered the request with an error status.
type ErrorStatus struct{}

// NotSent tells that no byte of the request can have reached the backend server.
type NotSent struct{}

// Late tells that the answer did not begin before its deadline.
type DeadlineExceeded struct{}

// CallerGone tells that the caller closed its connection.
type CallerGone struct{}

// CallerSlow tells that the caller did not read for the write limit.
type CallerSlow struct{}

func (Received) isEvent()         {}
func (StreamEnded) isEvent()      {}
func (Connected) isEvent()        {}
func (ConnectionLost) isEvent()   {}
func (IdleTimeout) isEvent()      {}
func (AttemptUnknown) isEvent()   {}
func (EngineError) isEvent()      {}
func (ErrorStatus) isEvent()      {}
func (NotSent) isEvent()          {}
func (DeadlineExceeded) isEvent() {}
func (CallerGone) isEvent()       {}
func (CallerSlow) isEvent()       {}

// Kind tells what to do.
type ActionKind int

// The kinds of actions.
const (
	Ignore  ActionKind = iota // drop the event and read on
	Forward                   // pass the event to the caller
	Finish                    // pass the end marker to the caller
	Resume                    // close the connection and resume after the delay
	Retry                     // run the request anew on another backend server, else fail with Code
	Fail                      // tell the caller of Code
	Stop                      // end without a word, since the caller does not listen
)

// Action is what follows from an event.
type Action struct {
	Kind       ActionKind
	Delay      time.Duration // of Resume
	LastOffset int           // of Resume: offset of the last event forwarded, NoOffset for none
	Code       result.Code   // of Retry and Fail
	Cancel     bool          // end the attempt at the engine, which may still run it
}
