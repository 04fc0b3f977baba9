// Package eventstream follows the server-sent events of a streamed answer. It decides which bytes of a server are
// forwarded, so that the caller gets each event once and in order, however the events fall into reads. It does no I/O.
package eventstream

import (
	"bytes"
	"strconv"

	"github.com/cockroachdb/errors"
)

// maxFirstID is the largest ID of the first event of a stream. Servers number the events of a stream from 0 or 1, without
// gaps.
const maxFirstID = 1

// ErrNoEvent is returned by Tracker.EndAnswer for an answer without an event that the caller lacks.
var ErrNoEvent = errors.New("stream ends without an event that continues it")

// Tracker holds the caller's position in a stream, over the answers of all servers that send a part of it. The zero value is
// a stream of which the caller has no event.
type Tracker struct {
	lastID    uint64 // of the last event that the caller has
	hasEvents bool   // the caller has events
	delivered int    // events forwarded
	answer    answerPosition
}

// answerPosition is the position in the answer of one server.
type answerPosition struct {
	lastID    uint64 // of its last event
	hasEvents bool
	delivered int // events forwarded
}

// Batch is the outcome of Tracker.Accept.
type Batch struct {
	Forward  []byte // must be written to the caller, also if Accept returns an error
	Consumed int    // bytes of data that were examined
	Events   int    // complete events among them, also such that the caller has already
}

// NewTracker returns a tracker for a caller that has the events up to the one with the ID, none if the text is empty. It returns
// an error if the text is not the ID of an event.
func NewTracker(lastEventID string) (Tracker, error) {
	if lastEventID == "" {
		return Tracker{}, nil
	}
	id, err := parseID(lastEventID)
	if err != nil {
		return Tracker{}, err
	}
	return Tracker{lastID: id, hasEvents: true}, nil
}

// LastEventID returns the ID of the last event that the caller has, and an empty text if it has none.
func (t *Tracker) LastEventID() string {
	if !t.hasEvents {
		return ""
	}
	return strconv.FormatUint(t.lastID, 10)
}

// Delivered returns the number of events that were forwarded.
func (t *Tracker) Delivered() int { return t.delivered }

// DeliveredOfAnswer returns the number of events of the current server's answer that were forwarded.
func (t *Tracker) DeliveredOfAnswer() int { return t.answer.delivered }

// StartAnswer begins the answer of a further server.
func (t *Tracker) StartAnswer() { t.answer = answerPosition{} }

// Accept examines the complete events at the start of data. An answer may begin with events that the caller has already, and
// from then on each event must follow the one before. At the first event that does not, or that is malformed, Accept stops
// and returns an error. Nothing of that answer may be used after it.
func (t *Tracker) Accept(data []byte) (Batch, error) {
	batch, begin := Batch{}, 0 // of what is forwarded
	for {
		e, err := nextEvent(data[batch.Consumed:])
		if err == nil && e.size > 0 && !e.comment {
			err = t.advance(e.id)
		}
		if err != nil || e.size == 0 {
			batch.Forward = data[begin:batch.Consumed]
			return batch, err
		}
		if !e.comment {
			batch.Events++
		}
		batch.Consumed += e.size
		if t.answer.delivered == 0 { // the event is a comment or was skipped
			begin = batch.Consumed
		}
	}
}

// advance moves the position to the next event of the answer.
func (t *Tracker) advance(id uint64) error {
	switch {
	case t.answer.hasEvents && id != t.answer.lastID+1:
		return errors.Newf("event %d follows event %d", id, t.answer.lastID)
	case t.hasEvents && id > t.lastID+1:
		return errors.Newf("answer continues with event %d, the caller's last one is %d", id, t.lastID)
	case !t.hasEvents && id > maxFirstID:
		return errors.Newf("stream begins with event %d", id)
	}
	t.answer.lastID, t.answer.hasEvents = id, true
	if t.hasEvents && id <= t.lastID {
		return nil // the caller has it
	}
	t.lastID, t.hasEvents = id, true
	t.delivered++
	t.answer.delivered++
	return nil
}

// EndAnswer checks the end of a server's answer. rest is the data after the last event. It returns an error if the stream
// can't be complete: rest holds a part of an event, or the answer has no event that the caller lacks. A caller that has all
// events already can't be told from a server that fails.
func (t *Tracker) EndAnswer(rest []byte) error {
	if len(bytes.TrimSpace(rest)) > 0 {
		return errors.Newf("stream ends within an event, after %d bytes of it", len(rest))
	}
	if t.answer.delivered == 0 {
		return ErrNoEvent
	}
	return nil
}
