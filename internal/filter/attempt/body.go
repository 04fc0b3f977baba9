package attempt

import (
	"encoding/json"

	"github.com/filbertrill/filbertrill/internal/result"
)

// streamBody returns a copy of a chat completion request that asks for a stream with the token usage
// at its end, whatever the caller asked for.
func streamBody(body []byte) ([]byte, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		return nil, result.Wrap(err, result.BodyMalformed, "the body is not a JSON object")
	}
	options := map[string]json.RawMessage{}
	if raw, ok := fields["stream_options"]; ok {
		if err := json.Unmarshal(raw, &options); err != nil {
			return nil, result.Wrap(err, result.BodyMalformed, "stream_options is not a JSON object")
		}
	}
	if options == nil {
		options = map[string]json.RawMessage{}
	}
	options["include_usage"] = json.RawMessage("true")
	encoded, err := json.Marshal(options)
	if err != nil {
		return nil, result.Wrap(err, result.BodyMalformed, "stream_options cannot be encoded")
	}
	fields["stream"] = json.RawMessage("true")
	fields["stream_options"] = encoded
	return json.Marshal(fields)
}
