package attempt

import (
	"os"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/filbertrill/filbertrill/internal/answer"
	"github.com/filbertrill/filbertrill/internal/backend"
	"github.com/filbertrill/filbertrill/internal/filter"
)

// HeaderResumeToken carries the token with which a caller continues its answer elsewhere.
const HeaderResumeToken = "X-Resume-Token"

// deadlineStep is how far the write deadline lags behind, to spare a system call for each event.
const writeDeadlineStep = time.Second

// sink receives the events of an answer in order.
type sink interface {
	// forward takes an event. Its error is a callerError, or tells that the event is malformed.
	forward(offset int, data string) error
	// flush sends what was taken.
	flush() error
	// finish ends the answer.
	finish() error
}

// eventSink passes the events to the caller at once.
type eventSink struct {
	w             *filter.Writer
	writeLimit    time.Duration
	includeUsage  bool   // the caller asked for the usage
	resumeToken   string // resume token
	onStart       func() // called before the first event
	deadlineSetAt time.Time
	unflushed     bool
	buffer        []byte
}

func (s *eventSink) forward(offset int, data string) error {
	s.start()
	if _, only, found := backend.UsageOf(data); found && only && !s.includeUsage {
		return nil
	}
	s.buffer = append(s.buffer[:0], "id: "...)
	s.buffer = strconv.AppendInt(s.buffer, int64(offset), 10)
	s.buffer = append(s.buffer, "\ndata: "...)
	s.buffer = append(s.buffer, data...)
	s.buffer = append(s.buffer, "\n\n"...)
	return s.write(s.buffer)
}

func (s *eventSink) start() {
	if s.w.Started() {
		return
	}
	s.w.Header().Set(HeaderResumeToken, s.resumeToken)
	s.w.StartEventStream()
	s.unflushed = true
	s.onStart()
}

func (s *eventSink) write(data []byte) error {
	s.extendWriteDeadline(time.Now())
	s.unflushed = true
	if _, err := s.w.Write(data); err != nil {
		return callerError{err}
	}
	return nil
}

// limit keeps the write deadline between the limit and the limit plus a step.
func (s *eventSink) extendWriteDeadline(now time.Time) {
	if now.Sub(s.deadlineSetAt) < writeDeadlineStep {
		return
	}
	s.deadlineSetAt = now
	s.w.SetWriteDeadline(now.Add(s.writeLimit + writeDeadlineStep))
}

func (s *eventSink) flush() error {
	if !s.unflushed {
		return nil
	}
	s.unflushed = false
	return s.w.Flush()
}

func (s *eventSink) finish() error {
	s.start()
	if err := s.write([]byte("data: [DONE]\n\n")); err != nil {
		return err
	}
	if err := s.flush(); err != nil {
		return callerError{err}
	}
	s.w.SetWriteDeadline(time.Time{})
	return nil
}

// wholeSink holds the answer back until it is whole.
type bufferedSink struct {
	w          *filter.Writer
	writeLimit time.Duration
	buffered   answer.Whole
}

func (s *bufferedSink) forward(_ int, data string) error { return s.buffered.Add(data) }

func (s *bufferedSink) flush() error { return nil }

func (s *bufferedSink) finish() error {
	data, err := s.buffered.JSON()
	if err != nil {
		return err
	}
	s.w.SetWriteDeadline(time.Now().Add(s.writeLimit))
	s.w.Header().Set("Content-Type", "application/json")
	s.w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	if _, err := s.w.Write(data); err != nil {
		return callerError{err}
	}
	if err := s.w.Flush(); err != nil {
		return callerError{err}
	}
	s.w.SetWriteDeadline(time.Time{})
	return nil
}

// callerEvent tells a caller that does not read from one that has gone.
func eventForCallerError(err error) answer.Event {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return answer.CallerSlow{}
	}
	return answer.CallerGone{}
}
