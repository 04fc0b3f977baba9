package answer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/filbertrill/filbertrill/internal/result"
)

var start = time.Unix(1000, 0)

func newMachine(modify func(*Options)) *Machine {
	opts := Options{AttemptID: "a", Repeatable: true, Deadline: start.Add(time.Minute)}
	if modify != nil {
		modify(&opts)
	}
	return New(opts)
}

// TestForwardsEachOffsetOnce runs random sequences of events. The forwarded offsets must be 0, 1, 2, …,
// and a request must not be retried after the caller received a part of its answer.
func TestForwardsEachOffsetOnce(t *testing.T) {
	events := []Event{StreamEnded{}, Connected{}, ConnectionLost{}, IdleTimeout{}, Replaced{}, AttemptUnknown{}, EngineError{}, ErrorStatus{}, NotSent{}, DeadlineExceeded{}, CallerGone{}}
	rapid.Check(t, func(t *rapid.T) {
		buffered := rapid.Bool().Draw(t, "buffered")
		m := newMachine(func(o *Options) { o.Buffered = buffered })
		forwarded, done, final := 0, false, false
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			var e Event = Received{
				AttemptID: rapid.SampledFrom([]string{"a", "a", "a", "b", ""}).Draw(t, "attempt"),
				Offset:    rapid.IntRange(max(0, forwarded-2), forwarded+1).Draw(t, "offset"),
				Final:     rapid.IntRange(0, 3).Draw(t, "final") == 0,
			}
			if rapid.IntRange(0, 5).Draw(t, "other") == 0 {
				e = rapid.SampledFrom(events).Draw(t, "event")
			}
			now := start.Add(time.Duration(rapid.IntRange(0, 90).Draw(t, "now")) * time.Second)
			action := m.Step(now, e)
			if done {
				require.Equal(t, Ignore, action.Kind)
			}
			switch action.Kind {
			case Forward:
				received := e.(Received)
				require.Equal(t, "a", received.AttemptID)
				require.Equal(t, forwarded, received.Offset)
				final = final || received.Final
				forwarded++
			case Finish:
				require.True(t, final)
				done = true
			case Resume:
				require.Equal(t, forwarded-1, action.LastOffset)
				require.False(t, action.Seek && forwarded > 0 && !buffered)
			case Retry:
				require.True(t, forwarded == 0 || buffered)
				require.True(t, now.Before(start.Add(time.Minute)))
				done = true
			case Fail:
				partial := action.Code.Class() == result.Partial
				require.Equal(t, forwarded > 0 && !buffered, partial, action.Code.String())
				done = true
			case Stop:
				done = true
			}
		}
	})
}

func TestResumesAreBounded(t *testing.T) {
	cases := []struct {
		event      Event
		maxResumes int
		code       result.Code
	}{
		{ConnectionLost{}, MaxConnectionLosses, result.StreamBroken},
		{Received{AttemptID: "a", Offset: 7}, MaxConnectionLosses, result.StreamBroken},
		{IdleTimeout{}, MaxIdleTimeouts, result.AnswerIdleLimit},
		{AttemptUnknown{}, 0, result.ServerFailed},
		{EngineError{}, 0, result.ServerFailed},
	}
	for _, c := range cases {
		m := newMachine(nil)
		require.Equal(t, Forward, m.Step(start, Received{AttemptID: "a"}).Kind)
		for range c.maxResumes {
			a := m.Step(start, c.event)
			require.Equal(t, Resume, a.Kind)
			require.Equal(t, 0, a.LastOffset)
			m.Step(start, Connected{})
		}
		a := m.Step(start, c.event)
		require.Equal(t, Action{Kind: Fail, Code: c.code, Cancel: a.Cancel}, a)
	}
}

func TestUnrepeatableRequestIsNotRetried(t *testing.T) {
	for _, e := range []Event{AttemptUnknown{}, EngineError{}, ErrorStatus{}} {
		m := newMachine(func(o *Options) { o.Repeatable = false })
		require.Equal(t, Fail, m.Step(start, e).Kind)
	}
	m := newMachine(func(o *Options) { o.Repeatable = false })
	require.Equal(t, Action{Kind: Retry, Code: result.NoServerJoined}, m.Step(start, NotSent{}))
}

func TestIdleTimeoutBeforeFirstEvent(t *testing.T) {
	m := newMachine(nil)
	for range 5 { // each reconnect succeeds, so the engine has the request in its queue
		require.Equal(t, Resume, m.Step(start, IdleTimeout{}).Kind)
		m.Step(start, Connected{})
	}
	require.Equal(t, Action{Kind: Fail, Code: result.ServerSilent, Cancel: true}, m.Step(start, DeadlineExceeded{}))

	m = newMachine(nil)
	for range MaxIdleTimeouts {
		require.Equal(t, Action{Kind: Resume, LastOffset: NoOffset}, m.Step(start, IdleTimeout{}))
	}
	for range 5 {
		require.Equal(t, Action{Kind: Resume, LastOffset: NoOffset, Seek: true}, m.Step(start, IdleTimeout{}))
	}
	require.Equal(t, Action{Kind: Retry, Code: result.ServerSilent, Cancel: true}, m.Step(start, Replaced{}))

	m = newMachine(func(o *Options) { o.Repeatable = false })
	for range 5 {
		require.Equal(t, Action{Kind: Resume, LastOffset: NoOffset}, m.Step(start, IdleTimeout{}))
	}
	require.Equal(t, Action{Kind: Fail, Code: result.ServerSilent, Cancel: true}, m.Step(start, DeadlineExceeded{}))
}

// Guards against a run that is given up for its silence, or kept for ever, where no other server takes the request.
func TestIdleTimeoutInBufferedAnswer(t *testing.T) {
	begun := func(repeatable bool) *Machine {
		m := newMachine(func(o *Options) { o.Buffered, o.Repeatable = true, repeatable })
		require.Equal(t, Forward, m.Step(start, Received{AttemptID: "a"}).Kind)
		for range MaxIdleTimeouts {
			require.Equal(t, Action{Kind: Resume}, m.Step(start, IdleTimeout{}))
			m.Step(start, Connected{})
		}
		return m
	}
	m := begun(true)
	for range 5 {
		require.Equal(t, Action{Kind: Resume, Seek: true}, m.Step(start, IdleTimeout{}))
	}
	require.Equal(t, Action{Kind: Retry, Code: result.ServerSilent, Cancel: true}, m.Step(start, Replaced{}))

	m = begun(true)
	require.Equal(t, Action{Kind: Resume, Seek: true}, m.Step(start, IdleTimeout{}))
	require.Equal(t, Action{Kind: Fail, Code: result.ServerSilent, Cancel: true}, m.Step(start.Add(time.Minute), IdleTimeout{}), "behind the deadline no other server may take over")

	m = begun(false)
	require.Equal(t, Action{Kind: Fail, Code: result.ServerSilent, Cancel: true}, m.Step(start, IdleTimeout{}), "no other server may take over")
}

// Guards against an engine's early end marker that is taken for proof that the caller has the last event.
func TestEndMarkerAloneDoesNotCompleteResumedAnswer(t *testing.T) {
	for _, next := range []int{0, 1, 3} {
		m := newMachine(func(o *Options) { o.NextOffset, o.StartedElsewhere, o.Repeatable = next, true, false })
		require.Equal(t, Resume, m.Step(start, StreamEnded{}).Kind, "next offset %d", next)
	}
}

// Guards against an answer that is taken up at another daemon and ends as complete without its last event.
func TestResumedAnswerEndsBehindItsLastEvent(t *testing.T) {
	resumed := func() *Machine {
		return newMachine(func(o *Options) { o.NextOffset, o.StartedElsewhere, o.Repeatable = 3, true, false })
	}
	m := resumed()
	require.Equal(t, 1, m.LastOffset(), "the engine sends the caller's last event again")
	require.Equal(t, Ignore, m.Step(start, Received{AttemptID: "a", Offset: 2, Final: true}).Kind)
	require.Equal(t, Finish, m.Step(start, StreamEnded{}).Kind, "the caller has the last event")

	m = resumed()
	require.Equal(t, Ignore, m.Step(start, Received{AttemptID: "a", Offset: 2}).Kind)
	require.Equal(t, Action{Kind: Resume, LastOffset: 1}, m.Step(start, StreamEnded{}), "the caller lacks the last event")
	require.Equal(t, Forward, m.Step(start, Received{AttemptID: "a", Offset: 3}).Kind)
	require.Equal(t, 3, m.LastOffset())

	m = resumed()
	require.Equal(t, Ignore, m.Step(start, Received{AttemptID: "b", Offset: 2, Final: true}).Kind, "another attempt")
	require.Equal(t, Resume, m.Step(start, StreamEnded{}).Kind)

	m = resumed()
	require.Equal(t, Ignore, m.Step(start, Received{AttemptID: "a", Offset: 2, Final: true}).Kind, "sent again")
	require.Equal(t, Ignore, m.Step(start, Received{}).Kind, "event with a malformed ID")
	require.Equal(t, Resume, m.Step(start, StreamEnded{}).Kind)
	require.Equal(t, Forward, m.Step(start, Received{AttemptID: "a", Offset: 3, Final: true}).Kind)
	require.Equal(t, Finish, m.Step(start, StreamEnded{}).Kind)

	m = resumed()
	require.Equal(t, Forward, m.Step(start, Received{AttemptID: "a", Offset: 3}).Kind)
	require.Equal(t, Resume, m.Step(start, StreamEnded{}).Kind, "without the event with the finish reason")

	m = resumed()
	require.Equal(t, Forward, m.Step(start, Received{AttemptID: "a", Offset: 3, Final: true}).Kind)
	require.Equal(t, Ignore, m.Step(start, Received{}).Kind, "event with a malformed ID")
	require.Equal(t, Resume, m.Step(start, StreamEnded{}).Kind)
}
