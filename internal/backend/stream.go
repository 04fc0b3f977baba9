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
const endMarker = "[DONE]"

// errorType is the type of an event that reports a failure.
const errorEventType = "error"

// errorPrefix begins the data of an error that an engine sends without a type.
const errorDataPrefix = `{"error"`

// Stream is one connection that carries the events of an attempt.
type Stream struct {
	body      io.ReadCloser
	attemptID string
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
func (s *Stream) Events(hooks ReadHooks) func(func(Message, error) bool) {
	return func(yield func(Message, error) bool) {
		defer func() { _ = s.body.Close() }()
		for raw, err := range sse.Read(&hookedReader{reader: s.body, hooks: hooks}, &sse.ReadConfig{MaxEventSize: maxEventBytes}) {
			if err != nil {
				yield(Message{}, errors.Wrap(err, "read event"))
				return
			}
			message := parseMessage(raw)
			if !yield(message, nil) {
				s.discardTrailer(message)
				return
			}
		}
		yield(Message{}, errors.Wrap(io.ErrUnexpectedEOF, "read event"))
	}
}

// trail reads to the end of the connection's answer after the end marker, so that the
// connection can be reused.
func (s *Stream) discardTrailer(last Message) {
	if _, ended := last.Event.(answer.StreamEnded); ended {
		_, _ = io.CopyN(io.Discard, s.body, maxTrailerBytes)
	}
}

func parseMessage(raw sse.Event) Message {
	message := Message{Data: raw.Data}
	switch {
	case raw.Data == endMarker:
		message.Event = answer.StreamEnded{}
	case raw.Type == errorEventType || strings.HasPrefix(raw.Data, errorDataPrefix):
		message.Event = answer.EngineError{}
	default:
		event := parseEventID(raw.LastEventID)
		event.Final = hasNonNullField(raw.Data, "finish_reason")
		message.Event = event
	}
	return message
}

// received reads an event id, "attempt:offset". A malformed one belongs to no attempt.
func parseEventID(id string) answer.Received {
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
func hasNonNullField(data, name string) bool {
	for {
		start := strings.Index(data, `"`+name+`"`)
		if start < 0 {
			return false
		}
		data = data[start+len(name)+2:]
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
func ParseUsage(data string) (usage Usage, usageOnly, found bool) {
	if !hasNonNullField(data, "usage") {
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

type hookedReader struct {
	reader io.Reader
	hooks  ReadHooks
}

// Read tells the guard before and after.
func (r *hookedReader) Read(p []byte) (int, error) {
	if err := r.hooks.BeforeRead(); err != nil {
		return 0, err
	}
	n, err := r.reader.Read(p)
	r.hooks.AfterRead()
	return n, err
}
