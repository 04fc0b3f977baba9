package answer

import (
	"time"

	"github.com/filbertrill/filbertrill/internal/result"
)

// Bounds of the tries to resume between two new events of an answer.
const (
	MaxConnectionLosses = 8 // after broken connections
	MaxIdleTimeouts     = 2 // after silent connections

	firstDelay = 50 * time.Millisecond
	maxDelay   = 1600 * time.Millisecond
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
	opts       Options
	nextOffset int
	resumes    int
	silences   int
	final      bool // the event that tells why the answer ends was forwarded
	over       bool
}

// New returns the machine of an attempt that is about to start.
func New(opts Options) *Machine { return &Machine{opts: opts, nextOffset: opts.NextOffset} }

// Next returns the offset of the next event wanted.
func (m *Machine) NextOffset() int { return m.nextOffset }

// Begun reports whether an event of the answer was taken in.
func (m *Machine) Started() bool { return m.opts.StartedElsewhere || m.nextOffset > m.opts.NextOffset }

// Step takes in an event. After Finish, Retry, Fail or Stop every further event is ignored.
func (m *Machine) Step(now time.Time, e Event) Action {
	if m.over {
		return Action{Kind: Ignore}
	}
	a := m.decide(now, e)
	switch a.Kind {
	case Finish, Retry, Fail, Stop:
		m.over = true
	}
	return a
}

func (m *Machine) decide(now time.Time, e Event) Action {
	switch e := e.(type) {
	case Received:
		return m.received(now, e)
	case StreamEnded:
		return m.ended(now)
	case Connected:
		return m.connected()
	case ConnectionLost:
		return m.broken(now)
	case IdleTimeout:
		return m.silent(now)
	case AttemptUnknown:
		return m.giveUp(now, result.ServerFailed, result.AnswerLost, false)
	case EngineError:
		return m.giveUp(now, result.ServerFailed, result.ServerError, true)
	case ErrorStatus:
		return m.giveUp(now, result.ServerFailed, result.ServerError, false)
	case NotSent:
		return m.giveUp(now, result.StreamBroken, result.NoServerJoined, false)
	case DeadlineExceeded:
		return m.late()
	case CallerGone, CallerSlow:
		return Action{Kind: Stop, Cancel: true}
	}
	return Action{Kind: Ignore}
}

// received forwards the next event. A repeat and an event of another attempt are
// dropped; after a gap the stream is resumed from the last event forwarded.
func (m *Machine) received(now time.Time, e Received) Action {
	if e.Offset == NoOffset {
		return m.giveUp(now, result.ServerFailed, result.ServerError, true)
	}
	if e.AttemptID != m.opts.AttemptID || e.Offset < m.nextOffset {
		return Action{Kind: Ignore}
	}
	if e.Offset > m.nextOffset {
		return m.broken(now)
	}
	m.nextOffset++
	m.final = m.final || e.Final
	m.resumes = 0
	m.silences = 0
	return Action{Kind: Forward}
}

// ended takes the end marker for the end only after the final event. A continued answer
// may have had that before.
func (m *Machine) ended(now time.Time) Action {
	if m.final || m.opts.StartedElsewhere {
		return Action{Kind: Finish}
	}
	return m.broken(now)
}

// connected counts as life before the first event, while the engine may hold the
// request in its queue. Later only a new event does.
func (m *Machine) connected() Action {
	if !m.Started() {
		m.silences = 0
	}
	return Action{Kind: Ignore}
}

func (m *Machine) broken(now time.Time) Action {
	m.resumes++
	if m.resumes > MaxConnectionLosses {
		return m.giveUp(now, result.StreamBroken, result.AnswerLost, true)
	}
	return m.resume(delay(m.resumes))
}

func (m *Machine) silent(now time.Time) Action {
	m.silences++
	if m.silences > MaxIdleTimeouts {
		return m.giveUp(now, result.AnswerIdleLimit, result.ServerSilent, true)
	}
	return m.resume(0)
}

func (m *Machine) late() Action {
	if m.Started() {
		return Action{Kind: Ignore}
	}
	return Action{Kind: Fail, Code: result.ServerSilent, Cancel: true}
}

func (m *Machine) resume(after time.Duration) Action {
	return Action{Kind: Resume, Delay: after, LastOffset: m.nextOffset - 1}
}

// giveUp runs the request anew where that is safe, and fails otherwise: with the first
// code when the caller has part of the answer, else with the second.
func (m *Machine) giveUp(now time.Time, partial, unknown result.Code, cancel bool) Action {
	told := m.Started() && !m.opts.Buffered
	if told {
		return Action{Kind: Fail, Code: partial, Cancel: cancel}
	}
	if m.mayRetry(now, unknown) {
		return Action{Kind: Retry, Code: unknown, Cancel: cancel}
	}
	return Action{Kind: Fail, Code: unknown, Cancel: cancel}
}

// mayRetry reports whether another server may run the request: it is repeatable, or it
// never reached the first one.
func (m *Machine) mayRetry(now time.Time, code result.Code) bool {
	safe := m.opts.Repeatable || code.Class() == result.NotRun
	return safe && now.Before(m.opts.Deadline)
}

// delay returns the wait before the nth try to resume; the first is immediate.
func delay(n int) time.Duration {
	if n <= 1 {
		return 0
	}
	return min(firstDelay<<(n-2), maxDelay)
}
