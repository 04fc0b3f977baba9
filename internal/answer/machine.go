package answer

import (
	"time"

	"github.com/filbertrill/filbertrill/internal/result"
)

// Bounds of the tries to resume between two new events of an answer.
const (
	MaxConnectionLosses = 8 // after broken connections
	MaxIdleTimeouts     = 2 // after silent connections

	initialBackoff = 50 * time.Millisecond
	maxBackoff     = 1600 * time.Millisecond
)

// Options describe an attempt.
type Options struct {
	AttemptID        string
	NextOffset       int       // offset of the first event wanted
	StartedElsewhere bool      // an earlier part of the answer was sent by another daemon
	Buffered         bool      // nothing is sent to the caller before the answer is whole
	Repeatable       bool      // the request may run again on another backend server
	Deadline         time.Time // for the first event
}

// Machine decides on one attempt. Its zero value is not valid.
type Machine struct {
	opts             Options
	nextOffset       int
	connectionLosses int
	idleTimeouts     int
	finalForwarded   bool // the event that tells why the answer ends was forwarded
	done             bool
}

// New returns the machine of an attempt that is about to start.
func New(opts Options) *Machine { return &Machine{opts: opts, nextOffset: opts.NextOffset} }

// Next returns the offset of the next event wanted.
func (m *Machine) NextOffset() int { return m.nextOffset }

// Begun reports whether an event of the answer was taken in.
func (m *Machine) Started() bool { return m.opts.StartedElsewhere || m.nextOffset > m.opts.NextOffset }

// Step takes in an event. After Finish, Retry, Fail or Stop every further event is ignored.
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

// received forwards the next event. A repeat and an event of another attempt are
// dropped; after a gap the stream is resumed from the last event forwarded.
func (m *Machine) handleReceived(now time.Time, e Received) Action {
	if e.Offset == NoOffset {
		return m.retryOrFail(now, result.ServerFailed, result.ServerError, true)
	}
	if e.AttemptID != m.opts.AttemptID || e.Offset < m.nextOffset {
		return Action{Kind: Ignore}
	}
	if e.Offset > m.nextOffset {
		return m.handleConnectionLost(now)
	}
	m.nextOffset++
	m.finalForwarded = m.finalForwarded || e.Final
	m.connectionLosses = 0
	m.idleTimeouts = 0
	return Action{Kind: Forward}
}

// ended takes the end marker for the end only after the final event. A continued answer
// may have had that before.
func (m *Machine) handleStreamEnded(now time.Time) Action {
	if m.finalForwarded || m.opts.StartedElsewhere {
		return Action{Kind: Finish}
	}
	return m.handleConnectionLost(now)
}

// connected counts as life before the first event, while the engine may hold the
// request in its queue. Later only a new event does.
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

func (m *Machine) handleIdleTimeout(now time.Time) Action {
	m.idleTimeouts++
	if m.idleTimeouts > MaxIdleTimeouts {
		return m.retryOrFail(now, result.AnswerIdleLimit, result.ServerSilent, true)
	}
	return m.resume(0)
}

func (m *Machine) handleDeadlineExceeded() Action {
	if m.Started() {
		return Action{Kind: Ignore}
	}
	return Action{Kind: Fail, Code: result.ServerSilent, Cancel: true}
}

func (m *Machine) resume(delay time.Duration) Action {
	return Action{Kind: Resume, Delay: delay, LastOffset: m.nextOffset - 1}
}

// giveUp runs the request anew where that is safe, and fails otherwise: with the first
// code when the caller has part of the answer, else with the second.
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

// mayRetry reports whether another server may run the request: it is repeatable, or it
// never reached the first one.
func (m *Machine) canRetry(now time.Time, code result.Code) bool {
	safe := m.opts.Repeatable || code.Class() == result.NotRun
	return safe && now.Before(m.opts.Deadline)
}

// delay returns the wait before the nth try to resume; the first is immediate.
func resumeBackoff(losses int) time.Duration {
	if losses <= 1 {
		return 0
	}
	return min(initialBackoff<<(losses-2), maxBackoff)
}
