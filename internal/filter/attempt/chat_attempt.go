package attempt

import (
	"context"
	"log/slog"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/filbertrill/filbertrill/internal/answer"
	"github.com/filbertrill/filbertrill/internal/backend"
	"github.com/filbertrill/filbertrill/internal/ticket"
)

// run is one attempt of a chat completion on one backend server.
type chatAttempt struct {
	engine    *backend.Engine
	logger    *slog.Logger
	server    ticket.Server
	attemptID string
	body      []byte // nil when an answer that another daemon began is continued
	machine   *answer.Machine
	sink      sink
	watchdog  *watchdog
	meter     *meter
	err       error // the last one of a connection
	// rejection is the engine's answer to a request that it takes for wrong; nil for any other.
	rejection *backend.StatusError
}

// do carries out the attempt and returns the action that ends it. The attempt is
// cancelled at the engine where the action asks for it.
func (a *chatAttempt) run(ctx context.Context) answer.Action {
	action := a.connectFirst(ctx)
	for action.Kind == answer.Resume {
		a.meter.recordInterruption()
		a.logger.Debug("Resuming an answer.", "attempt", a.attemptID, "server", a.server.ID, "last", action.Last, "error", errorText(a.err))
		if !sleep(ctx, action.Delay) {
			action = a.step(answer.CallerGone{})
			break
		}
		action = a.resume(ctx, action.Last)
	}
	if action.Cancel {
		go a.cancel()
	}
	return action
}

func (a *chatAttempt) connectFirst(ctx context.Context) answer.Action {
	if a.body == nil {
		return a.resume(ctx, a.machine.Next()-1)
	}
	return a.connect(ctx, true, func(ctx context.Context) (*backend.Stream, error) {
		return a.engine.Start(ctx, a.server.Address, a.attemptID, a.body)
	})
}

func (a *chatAttempt) resume(ctx context.Context, last int) answer.Action {
	return a.connect(ctx, false, func(ctx context.Context) (*backend.Stream, error) {
		return a.engine.Resume(ctx, a.server.Address, a.attemptID, last)
	})
}

func (a *chatAttempt) step(e answer.Event) answer.Action { return a.machine.Step(time.Now(), e) }

// connect relays one connection and returns the action that ends it.
func (a *chatAttempt) connect(ctx context.Context, starting bool, open func(context.Context) (*backend.Stream, error)) answer.Action {
	connCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	defer a.watchdog.watch(cancel)()
	stream, err := open(connCtx)
	if starting && a.recordRejection(err) {
		return answer.Action{Kind: answer.Stop}
	}
	if err != nil {
		return a.endConnection(eventForError(ctx, connCtx, err, starting), err)
	}
	a.step(answer.Connected{})
	for message, err := range stream.Events(a.watchdog) {
		if err != nil {
			return a.endConnection(eventForError(ctx, connCtx, err, false), err)
		}
		action := a.handleMessage(message)
		if action.Kind != answer.Ignore && action.Kind != answer.Forward {
			return action
		}
	}
	return a.endConnection(answer.Broken{}, nil)
}

// rejected reports whether the engine answered that the request is wrong.
func (a *chatAttempt) recordRejection(err error) bool {
	var status *backend.StatusError
	if !errors.As(err, &status) || !isClientError(status) {
		return false
	}
	a.rejection = status
	return true
}

// lost ends a connection. An event that the machine has no use for, such as a deadline
// that ran out just when the answer began, still leaves a broken connection.
func (a *chatAttempt) endConnection(e answer.Event, err error) answer.Action {
	a.err = err
	action := a.step(e)
	if action.Kind == answer.Ignore {
		return a.step(answer.Broken{})
	}
	return action
}

// message takes in one message and returns what the machine decides.
func (a *chatAttempt) handleMessage(message backend.Message) answer.Action {
	offset := a.machine.Next()
	action := a.step(message.Event)
	switch action.Kind {
	case answer.Forward:
		a.watchdog.deadline = time.Time{}
		a.meter.recordEvent(message.Data)
		return a.handleSinkError(action, a.sink.forward(offset, message.Data))
	case answer.Finish:
		a.watchdog.timer.Reset(trailerTimeout)
		return a.handleSinkError(action, a.sink.finish())
	}
	return action
}

// delivered turns a failure of the sink into what follows from it.
func (a *chatAttempt) handleSinkError(action answer.Action, err error) answer.Action {
	if err == nil {
		return action
	}
	a.err = err
	if action.Kind == answer.Finish {
		return answer.Action{Kind: answer.Stop}
	}
	var caller callerError
	if errors.As(err, &caller) {
		return a.step(eventForCallerError(err))
	}
	return a.step(answer.Failed{})
}

// cancel ends the attempt at the engine, so that its slot is free. A lost call is tried again.
func (a *chatAttempt) cancel() {
	for range maxCancelAttempts {
		ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
		err := a.engine.Cancel(ctx, a.server.Address, a.attemptID)
		cancel()
		if err == nil {
			return
		}
		a.logger.Debug("Cancelling an attempt failed.", "attempt", a.attemptID, "server", a.server.ID, "error", errorText(err))
	}
}

// Tries to cancel an attempt.
const (
	maxCancelAttempts = 3
	cancelTimeout     = 2 * time.Second
)

// sleep waits, and reports false when the context ended first.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
