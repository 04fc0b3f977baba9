package attempt

import (
	"context"
	"log/slog"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/filbertrill/filbertrill/internal/answer"
	"github.com/filbertrill/filbertrill/internal/backend"
	"github.com/filbertrill/filbertrill/internal/http1"
	"github.com/filbertrill/filbertrill/internal/ticket"
)

// chatAttempt is one attempt of a chat completion on one backend server.
type chatAttempt struct {
	engine    *backend.EngineClient
	logger    *slog.Logger
	server    ticket.Server
	attemptID string
	startedAt time.Time
	suspects  *suspects // nil if the attempt resumes an answer that another daemon started
	connected bool      // the header of the answer was received
	silent    bool      // a failure was recorded for the silence of the engine; written by the seeker's search
	broken    bool      // the engine broke a connection
	body      []byte    // nil if the attempt resumes an answer that another daemon started
	machine   *answer.Machine
	sink      sink
	watchdog  *watchdog
	meter     *meter
	seeker    *seeker // nil if the attempt can't be replaced
	accepted  *opened // the header of the answer, if it was received before run
	err       error   // last error of a connection
	exchange  http1.Exchange
	// rejection is the engine's answer if it rejected the request as invalid, otherwise nil.
	rejection *backend.StatusError
}

// run runs the attempt and returns the action that ends it. If that action has Cancel set, run cancels
// the attempt at the engine in the background.
func (a *chatAttempt) run(ctx context.Context) answer.Action {
	action := a.connectFirst(ctx)
	for action.Kind == answer.Resume {
		a.seekIf(action)
		a.meter.recordInterruption()
		a.logEnd(action)
		a.logger.Debug("Resuming the answer stream.", "attempt", a.attemptID, "server", a.server.ID, "last", action.LastOffset, "error", errorText(a.err))
		if !sleep(ctx, action.Delay) {
			action = a.step(eventForEnd(ctx))
			break
		}
		action = a.resume(ctx, action.LastOffset)
	}
	a.logEnd(action)
	if action.Cancel {
		go a.cancel()
	}
	return action
}

// logEnd logs the end of a connection, to which the action belongs.
func (a *chatAttempt) logEnd(action answer.Action) {
	endBasis, err := "", a.err
	if action.Kind == answer.Finish {
		endBasis, err = "end marker", nil
	}
	logAttempt(a.logger, a.attemptID, a.server.ID, &a.exchange, endBasis, err)
}

func (a *chatAttempt) connectFirst(ctx context.Context) answer.Action {
	if a.body == nil {
		return a.resume(ctx, a.machine.LastOffset())
	}
	return a.connect(ctx, true, a.start)
}

func (a *chatAttempt) resume(ctx context.Context, last int) answer.Action {
	return a.connect(ctx, false, func(ctx context.Context) (*backend.Stream, error) {
		return a.engine.Resume(ctx, a.server.Address, a.attemptID, last)
	})
}

func (a *chatAttempt) step(e answer.Event) answer.Action { return a.machine.Step(time.Now(), e) }

// connect opens a connection, relays its events and returns the action that ends the connection. If
// starting is true, open starts the attempt, otherwise it resumes it.
func (a *chatAttempt) connect(ctx context.Context, starting bool, open func(context.Context) (*backend.Stream, error)) answer.Action {
	connCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	a.watchdog.starting = starting
	defer a.watchdog.watch(cancel)()
	stream, err := open(http1.WithExchange(connCtx, &a.exchange))
	if starting && a.recordRejection(err) {
		return answer.Action{Kind: answer.Stop}
	}
	if err != nil {
		action := a.endConnection(eventForError(ctx, connCtx, err, starting), err)
		// The engine may read the request after it has said that it doesn't know it.
		action.Cancel = action.Cancel || (starting && errors.Is(err, backend.ErrAttemptUnknown))
		return action
	}
	a.watchdog.starting = false
	a.watchdog.recordEvent()
	a.step(answer.Connected{})
	a.connected = true
	for message, err := range stream.Events(a.watchdog) {
		if err != nil {
			return a.endConnection(eventForError(ctx, connCtx, err, false), err)
		}
		action := a.handleMessage(message)
		if action.Kind != answer.Ignore && action.Kind != answer.Forward {
			return action
		}
	}
	return a.endConnection(answer.ConnectionLost{}, nil)
}

// recordRejection stores err in a.rejection if it rejects the request as invalid, and reports whether
// it does.
func (a *chatAttempt) recordRejection(err error) bool {
	var status *backend.StatusError
	if !errors.As(err, &status) || !isClientError(status) || errors.Is(err, backend.ErrAttemptUnknown) {
		return false
	}
	a.rejection = status
	return true
}

// endConnection returns the action that follows the end of a connection. If the machine ignores the event,
// for example a deadline that passed just as the answer started, the connection counts as broken.
func (a *chatAttempt) endConnection(e answer.Event, err error) answer.Action {
	a.err = err
	a.broken = a.broken || isConnectionBroken(err) || (err == nil && e == answer.ConnectionLost{})
	action := a.step(e)
	if action.Kind == answer.Ignore {
		return a.step(answer.ConnectionLost{})
	}
	return action
}

// handleMessage passes a message to the machine, carries out its action and returns it.
func (a *chatAttempt) handleMessage(message backend.Message) answer.Action {
	if a.seeker != nil && !a.seeker.stop() {
		return a.step(answer.Replaced{})
	}
	offset := a.machine.NextOffset()
	action := a.step(message.Event)
	switch action.Kind {
	case answer.Forward:
		a.watchdog.deadline = time.Time{}
		a.watchdog.recordEvent()
		a.meter.recordEvent(message.Data)
		if offset == 1 && a.suspects != nil {
			a.suspects.recordPartsSound(a.server.ID, a.startedAt)
		}
		return a.handleSinkError(action, a.sink.forward(offset, message.Data))
	case answer.Finish:
		a.watchdog.timer.Reset(trailerTimeout)
		return a.handleSinkError(action, a.sink.finish())
	}
	return action
}

// handleSinkError returns the action that follows from an error of the sink, or the given action if
// err is nil.
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
	return a.step(answer.EngineError{})
}

// cancel cancels the attempt at the engine to free its slot. It retries failed calls. An engine that has not answered the request
// may read it after it has said that it doesn't know the attempt, so cancel asks it again.
func (a *chatAttempt) cancel() {
	for range maxCancelAttempts {
		ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
		err := a.engine.Cancel(ctx, a.server.Address, a.attemptID)
		cancel()
		unknown := errors.Is(err, backend.ErrAttemptUnknown)
		if err == nil || (unknown && a.connected) {
			return
		}
		if unknown {
			time.Sleep(recancelDelay)
			continue
		}
		a.logger.Debug("Failed to cancel the attempt at the engine.", "attempt", a.attemptID, "server", a.server.ID, "error", errorText(err))
	}
}

// Limits of cancel.
const (
	maxCancelAttempts = 3
	cancelTimeout     = 2 * time.Second
	recancelDelay     = 300 * time.Millisecond
)

// sleep waits for d. It reports false if ctx ends first.
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
