package attempt

import (
	"encoding/json"

	"github.com/filbertrill/filbertrill/internal/result"
)

// streamBody returns the body that asks the engine for a stream with its usage at the end.
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
		return nil, result.Wrap(err, result.BodyMalformed, "stream_options can't be encoded")
	}
	fields["stream"] = json.RawMessage("true")
	fields["stream_options"] = encoded
	return json.Marshal(fields)
}
