package eventstream

import (
	"bytes"
	"math"
	"strconv"

	"github.com/cockroachdb/errors"
)

// knownFields are the fields of the standard (HTML, section "Server-sent events"). Servers may add others.
var knownFields = map[string]bool{"data": true, "event": true, "id": true, "retry": true}

// event is what a Tracker needs to know of a server-sent event.
type event struct {
	size    int // in bytes, with the empty line that ends it
	id      uint64
	comment bool // it has comments or empty lines only
}

// nextEvent parses the event at the start of data. It returns a size of 0 if the event is not complete, and an error if it
// is malformed: lines are not fields of an event, or it doesn't have exactly one numeric ID and data. Lines end
// with LF or CR LF.
func nextEvent(data []byte) (event, error) {
	e, hasID, hasData := event{comment: true}, false, false
	for offset := 0; ; {
		length := bytes.IndexByte(data[offset:], '\n')
		if length < 0 {
			return event{}, nil
		}
		line := bytes.TrimSuffix(data[offset:offset+length], []byte("\r"))
		offset += length + 1
		if len(line) == 0 {
			e.size = offset
			if !e.comment && !(hasID && hasData) {
				return event{}, errors.Newf("event has no ID or no data: %.40q", data[:offset])
			}
			return e, nil
		}
		if line[0] == ':' {
			continue
		}
		e.comment = false
		name, value, hasValue := bytes.Cut(line, []byte(":"))
		if !isFieldName(name) || !hasValue && !knownFields[string(name)] || bytes.IndexByte(line, '\r') >= 0 {
			return event{}, errors.Newf("line is not a field of an event: %.40q", line)
		}
		switch string(name) {
		case "data":
			hasData = true
		case "id":
			id, err := parseID(string(bytes.TrimPrefix(value, []byte(" "))))
			if err != nil {
				return event{}, err
			}
			if hasID {
				return event{}, errors.Newf("event has a second ID: %.40q", line)
			}
			e.id, hasID = id, true
		}
	}
}

// parseID parses the ID of an event. It must be less than the largest number of 64 bits, so that a next one exists.
func parseID(text string) (uint64, error) {
	id, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, errors.Newf("event ID is not a number of 64 bits: %.40q", text)
	}
	if id == math.MaxUint64 {
		return 0, errors.Newf("event ID is too large: %d", id)
	}
	return id, nil
}

// isFieldName reports whether the name of a field consists of letters, digits, hyphens and underscores.
func isFieldName(name []byte) bool {
	for _, c := range name {
		if !('a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || '0' <= c && c <= '9' || c == '-' || c == '_') {
			return false
		}
	}
	return len(name) > 0
}
