package backend

import (
	"encoding/json"
	"io"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/tmaxmax/go-sse"

	"github.com/filbertrill/filbertrill/internal/answer"
)

// maxTrailerBytes bounds what is read after the end marker, so that the connection can be reused.
const maxTrailerBytes = 4 << 10

// maxEventBytes bounds one event of a stream.
const maxEventBytes = 4 << 20

// doneData is the data of the end marker.
const doneData = "[DONE]"

// errorType is the type of an event that reports a failure.
const errorType = "error"

// errorPrefix begins the data of an error that an engine sends without a type.
const errorPrefix = `{"error"`

// Stream is one connection that carries the events of an attempt.
type Stream struct {
	body    io.ReadCloser
	attempt string
}

// Message is one server-sent event and what it means for the answer.
type Message struct {
	Event answer.Event // Received, Ended or Failed
	Data  string       // JSON of a chunk
}

// Guard watches the reads of a stream.
type ReadHooks interface {
	// BeforeRead is called when every event read so far has been yielded. Its error ends the read.
	BeforeRead() error
	AfterRead()
}

// Events yields the events until the connection ends. An error means that it broke; an
// end without the end marker is one as well.
func (s *Stream) Events(guard ReadHooks) func(func(Message, error) bool) {
	return func(yield func(Message, error) bool) {
		defer func() { _ = s.body.Close() }()
		for raw, err := range sse.Read(&guardedReader{reader: s.body, guard: guard}, &sse.ReadConfig{MaxEventSize: maxEventBytes}) {
			if err != nil {
				yield(Message{}, errors.Wrap(err, "read event"))
				return
			}
			message := parse(raw)
			if !yield(message, nil) {
				s.trail(message)
				return
			}
		}
		yield(Message{}, errors.Wrap(io.ErrUnexpectedEOF, "read event"))
	}
}

// trail reads to the end of the connection's answer after the end marker, so that the
// connection can be reused.
func (s *Stream) trail(last Message) {
	if _, ended := last.Event.(answer.StreamEnded); ended {
		_, _ = io.CopyN(io.Discard, s.body, maxTrailerBytes)
	}
}

func parse(raw sse.Event) Message {
	message := Message{Data: raw.Data}
	switch {
	case raw.Data == doneData:
		message.Event = answer.StreamEnded{}
	case raw.Type == errorType || strings.HasPrefix(raw.Data, errorPrefix):
		message.Event = answer.EngineError{}
	default:
		event := received(raw.LastEventID)
		event.Final = hasValue(raw.Data, "finish_reason")
		message.Event = event
	}
	return message
}

// received reads an event id, "attempt:offset". A malformed one belongs to no attempt.
func received(id string) answer.Received {
	if id == "" {
		return answer.Received{Offset: answer.NoOffset}
	}
	colon := strings.LastIndexByte(id, ':')
	if colon < 0 {
		return answer.Received{}
	}
	offset, err := strconv.ParseUint(id[colon+1:], 10, 31)
	if err != nil {
		return answer.Received{}
	}
	return answer.Received{AttemptID: id[:colon], Offset: int(offset)}
}

// hasValue reports whether the JSON has a field of the name that is not null. In a JSON string the
// quotes would be escaped, so a scan is enough.
func hasValue(data, name string) bool {
	for {
		at := strings.Index(data, `"`+name+`"`)
		if at < 0 {
			return false
		}
		data = data[at+len(name)+2:]
		value := strings.TrimLeft(data, " \t\r\n:")
		if !strings.HasPrefix(value, "null") {
			return true
		}
	}
}

// Usage is the count of tokens that an engine reports at the end of an answer.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
}

// UsageOf returns the usage that a chunk reports, and whether the chunk holds nothing else.
func ParseUsage(data string) (usage Usage, only, found bool) {
	if !hasValue(data, "usage") {
		return Usage{}, false, false
	}
	var chunk struct {
		Choices []json.RawMessage `json:"choices"`
		Usage   *Usage            `json:"usage"`
	}
	if json.Unmarshal([]byte(data), &chunk) != nil || chunk.Usage == nil {
		return Usage{}, false, false
	}
	return *chunk.Usage, len(chunk.Choices) == 0, true
}

type guardedReader struct {
	reader io.Reader
	guard  ReadHooks
}

// Read tells the guard before and after.
func (r *guardedReader) Read(p []byte) (int, error) {
	if err := r.guard.BeforeRead(); err != nil {
		return 0, err
	}
	n, err := r.reader.Read(p)
	r.guard.AfterRead()
	return n, err
}
