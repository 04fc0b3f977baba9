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

// maxTrailerBytes is the maximum number of bytes read after the end marker.
const maxTrailerBytes = 4 << 10

// maxEventBytes is the maximum size of one event.
const maxEventBytes = 256 << 10

// endMarker is the data of the last event of a complete stream.
const endMarker = "[DONE]"

// errorEventType is the type of an event that reports a failure.
const errorEventType = "error"

// errorDataPrefix is the start of the data of an error event that an engine sends without a type.
const errorDataPrefix = `{"error"`

// Stream is the event stream of an attempt on one connection.
type Stream struct {
	body      io.ReadCloser
	attemptID string
}

// Message is one server-sent event.
type Message struct {
	Event answer.Event // answer.Received, answer.StreamEnded or answer.EngineError
	Data  string       // data of the event, the JSON of a chunk for answer.Received
}

// ReadHooks are callbacks that a Stream calls around each read from its connection.
type ReadHooks interface {
	// BeforeRead is called after every event read so far has been yielded. An error ends the stream.
	BeforeRead() error
	// AfterRead is called when the read has returned.
	AfterRead()
}

// Events yields the messages of the stream and closes it afterwards. The consumer stops at the end
// marker. If the connection ends before that, the last item is an error.
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

// Close closes a stream whose events are not read.
func (s *Stream) Close() { _ = s.body.Close() }

// discardTrailer reads up to maxTrailerBytes of the response after the end marker, so that the
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
		_, usageOnly, _ := ParseUsage(raw.Data)
		event.Final = usageOnly || hasNonNullField(raw.Data, "finish_reason")
		message.Event = event
	}
	return message
}

// parseEventID parses an event id of the form "attempt:offset". The result has no attempt id if the
// event id is malformed.
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

// hasNonNullField reports whether the JSON has a field with this name, at any depth, that is not null.
// It searches for the quoted name instead of decoding the JSON: inside a JSON string the quotes would
// be escaped.
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

// Usage is the token usage that an engine reports at the end of an answer.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
}

// ParseUsage returns the token usage in a chunk. usageOnly reports whether the chunk has no choices.
// found is false if the chunk has no usage or is malformed.
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

// hookedReader is a reader that calls hooks around each read.
type hookedReader struct {
	reader io.Reader
	hooks  ReadHooks
}

// Read implements io.Reader.
func (r *hookedReader) Read(p []byte) (int, error) {
	if err := r.hooks.BeforeRead(); err != nil {
		return 0, err
	}
	n, err := r.reader.Read(p)
	r.hooks.AfterRead()
	return n, err
}
