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
const deadlineStep = time.Second

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
	w          *filter.Writer
	writeLimit time.Duration
	usage      bool   // the caller asked for the usage
	token      string // resume token
	begin      func() // called before the first event
	limited    time.Time
	pending    bool
	buffer     []byte
}

func (s *eventSink) forward(offset int, data string) error {
	s.start()
	if _, only, found := backend.UsageOf(data); found && only && !s.usage {
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
	s.w.Header().Set(HeaderResumeToken, s.token)
	s.w.StartEventStream()
	s.pending = true
	s.begin()
}

func (s *eventSink) write(data []byte) error {
	s.limit(time.Now())
	s.pending = true
	if _, err := s.w.Write(data); err != nil {
		return callerError{err}
	}
	return nil
}

// limit keeps the write deadline between the limit and the limit plus a step.
func (s *eventSink) limit(now time.Time) {
	if now.Sub(s.limited) < deadlineStep {
		return
	}
	s.limited = now
	s.w.SetWriteDeadline(now.Add(s.writeLimit + deadlineStep))
}

func (s *eventSink) flush() error {
	if !s.pending {
		return nil
	}
	s.pending = false
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
type wholeSink struct {
	w          *filter.Writer
	writeLimit time.Duration
	whole      answer.Whole
}

func (s *wholeSink) forward(_ int, data string) error { return s.whole.Add(data) }

func (s *wholeSink) flush() error { return nil }

func (s *wholeSink) finish() error {
	data, err := s.whole.JSON()
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
func callerEvent(err error) answer.Event {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return answer.CallerSlow{}
	}
	return answer.CallerGone{}
}
