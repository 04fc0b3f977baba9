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

// HeaderResumeToken is the header with the token that a caller sends to another daemon to resume an
// answer.
const HeaderResumeToken = "X-Resume-Token"

// writeDeadlineStep is the minimum time between two updates of the write deadline. It avoids a system
// call for each event.
const writeDeadlineStep = time.Second

// sink writes the events of an answer to the caller. Events are passed in order.
type sink interface {
	// forward writes or buffers an event. It returns a callerError, or another error if the event
	// is malformed.
	forward(offset int, data string) error
	// flush sends buffered events to the caller.
	flush() error
	// finish completes the answer.
	finish() error
}

// eventSink streams the events to the caller.
type eventSink struct {
	w             *filter.Writer
	writeLimit    time.Duration
	includeUsage  bool   // the caller asked for the token usage
	resumeToken   string // value of HeaderResumeToken
	onStart       func() // called after the header was sent
	deadlineSetAt time.Time
	unflushed     bool
	buffer        []byte // reused for each event
}

func (s *eventSink) forward(offset int, data string) error {
	if err := s.start(); err != nil {
		return err
	}
	if _, only, found := backend.ParseUsage(data); found && only && !s.includeUsage {
		return nil
	}
	s.buffer = append(s.buffer[:0], "id: "...)
	s.buffer = strconv.AppendInt(s.buffer, int64(offset), 10)
	s.buffer = append(s.buffer, "\ndata: "...)
	s.buffer = append(s.buffer, data...)
	s.buffer = append(s.buffer, "\n\n"...)
	return s.write(s.buffer)
}

func (s *eventSink) start() error {
	if s.w.Started() {
		return nil
	}
	s.w.Header().Set(HeaderResumeToken, s.resumeToken)
	if err := s.w.StartEventStream(); err != nil {
		return callerError{err}
	}
	s.unflushed = true
	s.onStart()
	return nil
}

func (s *eventSink) write(data []byte) error {
	s.extendWriteDeadline(time.Now())
	s.unflushed = true
	if _, err := s.w.Write(data); err != nil {
		return callerError{err}
	}
	return nil
}

// extendWriteDeadline keeps the write deadline between writeLimit and writeLimit plus
// writeDeadlineStep from now.
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
	if err := s.start(); err != nil {
		return err
	}
	if err := s.write([]byte("data: [DONE]\n\n")); err != nil {
		return err
	}
	s.unflushed = false
	if err := s.w.EndEventStream(); err != nil {
		return callerError{err}
	}
	s.w.SetWriteDeadline(time.Time{})
	return nil
}

// bufferedSink buffers the answer and writes it as one JSON object when it is complete.
type bufferedSink struct {
	w          *filter.Writer
	writeLimit time.Duration
	buffered   answer.Assembler
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

// eventForCallerError returns CallerSlow if a write to the caller timed out, otherwise CallerGone.
func eventForCallerError(err error) answer.Event {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return answer.CallerSlow{}
	}
	return answer.CallerGone{}
}
