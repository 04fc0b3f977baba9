package answer

import (
	"time"

	"github.com/filbertrill/filbertrill/internal/result"
)

// Limits on resuming a stream. The counts restart with each new event.
const (
	MaxConnectionLosses = 8 // successive lost connections before giving up
	MaxIdleTimeouts     = 2 // successive idle timeouts before giving up, or seeking another backend server

	initialBackoff = 50 * time.Millisecond
	maxBackoff     = 1600 * time.Millisecond
)

// Options describes an attempt.
type Options struct {
	AttemptID        string
	NextOffset       int       // offset of the first event to forward
	StartedElsewhere bool      // another daemon sent an earlier part of the answer
	Buffered         bool      // the caller receives nothing until the answer is complete
	Repeatable       bool      // the request may run more than once
	Deadline         time.Time // for the first event
}

// Machine is the state machine of one attempt. Create it with New. It is not safe for concurrent use.
type Machine struct {
	opts             Options
	nextOffset       int
	connectionLosses int
	idleTimeouts     int
	finalForwarded   bool // the event with the finish reason, or one behind it, was forwarded by this or another daemon
	eventLost        bool // an event with a malformed ID has come since the last one forwarded
	done             bool
}

// New returns the state machine of an attempt that has no connection yet.
func New(opts Options) *Machine { return &Machine{opts: opts, nextOffset: opts.NextOffset} }

// NextOffset returns the offset of the next event to forward.
func (m *Machine) NextOffset() int { return m.nextOffset }

// LastOffset returns the offset after which a connection resumes the stream, -1 for the start. As long as all forwarded
// events came from another daemon, the engine sends the last of them again: only that shows whether it was the final one.
func (m *Machine) LastOffset() int {
	if m.startedElsewhereOnly() {
		return max(m.nextOffset-2, -1)
	}
	return m.nextOffset - 1
}

// startedElsewhereOnly reports whether another daemon forwarded all events that the caller has.
func (m *Machine) startedElsewhereOnly() bool {
	return m.opts.StartedElsewhere && m.nextOffset == m.opts.NextOffset
}

// Started reports whether an event of the answer was forwarded, by this or another daemon.
func (m *Machine) Started() bool { return m.opts.StartedElsewhere || m.nextOffset > m.opts.NextOffset }

// Step processes an event and returns the action to carry out. After Finish, Retry, Fail or Stop it
// returns Ignore for every event.
func (m *Machine) Step(now time.Time, e Event) Action {
	if m.done {
		return Action{Kind: Ignore}
	}
	a := m.decide(now, e)
	switch a.Kind {
	case Finish, Retry, Fail, Stop:
		m.done = true
	}
	return a
}

func (m *Machine) decide(now time.Time, e Event) Action {
	switch e := e.(type) {
	case Received:
		return m.handleReceived(now, e)
	case StreamEnded:
		return m.handleStreamEnded(now)
	case Connected:
		return m.handleConnected()
	case ConnectionLost:
		return m.handleConnectionLost(now)
	case IdleTimeout:
		return m.handleIdleTimeout(now)
	case Replaced:
		return m.retryOrFail(now, result.ServerFailed, result.ServerSilent, true)
	case AttemptUnknown:
		return m.retryOrFail(now, result.ServerFailed, result.AnswerLost, false)
	case EngineError:
		return m.retryOrFail(now, result.ServerFailed, result.ServerError, true)
	case ErrorStatus:
		return m.retryOrFail(now, result.ServerFailed, result.ServerError, false)
	case NotSent:
		return m.retryOrFail(now, result.StreamBroken, result.NoServerJoined, false)
	case DeadlineExceeded:
		return m.handleDeadlineExceeded()
	case CallerGone, CallerSlow:
		return Action{Kind: Stop, Cancel: true}
	}
	return Action{Kind: Ignore}
}

// handleReceived forwards the event if it has the next offset. It drops duplicates and events of other
// attempts. A gap in the offsets resumes the stream after the last forwarded event.
func (m *Machine) handleReceived(now time.Time, e Received) Action {
	if e.Offset == NoOffset {
		return m.retryOrFail(now, result.ServerFailed, result.ServerError, true)
	}
	if e.AttemptID != m.opts.AttemptID || e.Offset < m.nextOffset {
		m.eventLost = m.eventLost || e.AttemptID == ""
		m.finalForwarded = m.finalForwarded || (m.startedElsewhereOnly() && e.AttemptID == m.opts.AttemptID && e.Final)
		return Action{Kind: Ignore}
	}
	if e.Offset > m.nextOffset {
		return m.handleConnectionLost(now)
	}
	m.nextOffset++
	m.eventLost = false
	m.finalForwarded = m.finalForwarded || e.Final
	m.connectionLosses = 0
	m.idleTimeouts = 0
	return Action{Kind: Forward}
}

// handleStreamEnded accepts the end marker only after the event with the finish reason.
func (m *Machine) handleStreamEnded(now time.Time) Action {
	if !m.eventLost && m.finalForwarded {
		return Action{Kind: Finish}
	}
	m.eventLost = false // the engine sends the event again
	return m.handleConnectionLost(now)
}

// handleConnected resets the count of idle timeouts before the first event, because the engine may
// keep the request in its queue. Later only a new event resets it.
func (m *Machine) handleConnected() Action {
	if !m.Started() {
		m.idleTimeouts = 0
	}
	return Action{Kind: Ignore}
}

func (m *Machine) handleConnectionLost(now time.Time) Action {
	m.connectionLosses++
	if m.connectionLosses > MaxConnectionLosses {
		return m.retryOrFail(now, result.StreamBroken, result.AnswerLost, true)
	}
	return m.resume(resumeBackoff(m.connectionLosses))
}

// handleIdleTimeout resumes the stream. The idle limit ends a running answer only: until the answer starts, or while another
// server may still take over, the engine is given up for another one that has accepted the request, or at the deadline.
func (m *Machine) handleIdleTimeout(now time.Time) Action {
	m.idleTimeouts++
	if m.idleTimeouts <= MaxIdleTimeouts {
		return m.resume(0)
	}
	mayMove := m.opts.Repeatable && now.Before(m.opts.Deadline) && (m.opts.Buffered || !m.Started())
	if m.Started() && !mayMove {
		return m.retryOrFail(now, result.AnswerIdleLimit, result.ServerSilent, true)
	}
	a := m.resume(0)
	a.Seek = mayMove
	return a
}

func (m *Machine) handleDeadlineExceeded() Action {
	if m.Started() {
		return Action{Kind: Ignore}
	}
	return Action{Kind: Fail, Code: result.ServerSilent, Cancel: true}
}

func (m *Machine) resume(delay time.Duration) Action {
	return Action{Kind: Resume, Delay: delay, LastOffset: m.LastOffset()}
}

// retryOrFail fails with partialCode if the caller has received a part of the answer. Otherwise it
// retries the request if that is safe, and fails with code if not.
func (m *Machine) retryOrFail(now time.Time, partialCode, code result.Code, cancel bool) Action {
	callerHasPart := m.Started() && !m.opts.Buffered
	if callerHasPart {
		return Action{Kind: Fail, Code: partialCode, Cancel: cancel}
	}
	if m.canRetry(now, code) {
		return Action{Kind: Retry, Code: code, Cancel: cancel}
	}
	return Action{Kind: Fail, Code: code, Cancel: cancel}
}

// canRetry reports whether another server may run the request: the deadline has not passed, and the
// request is repeatable or never reached the first server.
func (m *Machine) canRetry(now time.Time, code result.Code) bool {
	safe := m.opts.Repeatable || code.Class() == result.NotRun
	return safe && now.Before(m.opts.Deadline)
}

// resumeBackoff returns the delay before resuming after a number of successive connection losses. It is
// 0 for the first, then doubles from initialBackoff up to maxBackoff.
func resumeBackoff(losses int) time.Duration {
	if losses <= 1 {
		return 0
	}
	return min(initialBackoff<<(losses-2), maxBackoff)
}
