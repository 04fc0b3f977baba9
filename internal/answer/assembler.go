package answer

import (
	"bytes"
	"encoding/json"

	"github.com/cockroachdb/errors"
)

// completionObject is the "object" field of a non-streamed answer.
const completionObject = "chat.completion"

// Assembler merges the chunks of a stream into a non-streamed answer. It keeps unknown fields. The zero
// value is ready to use.
type Assembler struct {
	fields  map[string]any
	choices []map[string]any // by index
	bytes   int              // estimated memory of fields and choices
}

// repeatedFields are string fields whose value in a later chunk replaces the earlier one instead of being
// appended to it.
var repeatedFields = map[string]bool{"role": true, "id": true, "type": true}

// maxChoices limits the memory that a faulty engine can allocate with a large choice index.
const maxChoices = 128

const (
	// maxAnswerMemory limits the estimated memory of an answer in bytes: some 8 MB of text, or 10,000 tokens with five
	// alternatives each.
	maxAnswerMemory = 48 << 20
	// Estimated memory of a value, of an object and of a field of an object.
	valueBytes, objectBytes, fieldBytes = 48, 256, 100
	// textCopies is how many times text counts, as each chunk copies what it is appended to.
	textCopies = 6
)

// errAnswerTooLong ends an answer that takes more than maxAnswerMemory.
var errAnswerTooLong = errors.New("answer takes too much memory")

var errMalformedChunk = errors.New("chunk is malformed")

// Add merges the JSON of the next chunk into the answer. It returns an error if the chunk is malformed or the answer takes too much
// memory.
func (a *Assembler) Add(data string) error {
	decoder := json.NewDecoder(bytes.NewReader([]byte(data)))
	decoder.UseNumber() // keeps large integers exact
	var chunk map[string]any
	if err := decoder.Decode(&chunk); err != nil {
		return errors.CombineErrors(errMalformedChunk, err)
	}
	choices, _ := chunk["choices"].([]any)
	delete(chunk, "choices")
	if a.fields == nil {
		a.fields = map[string]any{}
	}
	for name, value := range chunk {
		if old, known := a.fields[name]; value != nil || !known {
			a.countField(name, known)
			a.bytes += memoryOf(value) - memoryOf(old)
			a.fields[name] = value
		}
	}
	for _, raw := range choices {
		if err := a.addChoice(raw); err != nil {
			return err
		}
	}
	if a.bytes > maxAnswerMemory {
		return errAnswerTooLong
	}
	return nil
}

// countField counts the memory of a field without its value, unless the field is known.
func (a *Assembler) countField(name string, known bool) {
	if !known {
		a.bytes += fieldBytes + len(name)
	}
}

// memoryOf returns the estimated memory of a decoded JSON value.
func memoryOf(value any) int {
	total := valueBytes
	switch value := value.(type) {
	case nil:
		return 0
	case string:
		total += len(value)
	case json.Number:
		total += len(value)
	case []any:
		total += len(value) * valueBytes
		for _, entry := range value {
			total += memoryOf(entry)
		}
	case map[string]any:
		total += objectBytes
		for name, field := range value {
			total += fieldBytes + len(name) + memoryOf(field)
		}
	}
	return total
}

func (a *Assembler) addChoice(raw any) error {
	choice, ok := raw.(map[string]any)
	if !ok {
		return errMalformedChunk
	}
	index := indexOf(choice)
	if index < 0 || index >= maxChoices {
		return errors.Wrap(errMalformedChunk, "choice index is not a number or out of range")
	}
	for len(a.choices) <= index {
		a.choices = append(a.choices, map[string]any{"index": len(a.choices), "message": map[string]any{}})
	}
	target := a.choices[index]
	delta, _ := choice["delta"].(map[string]any)
	a.merge(target["message"].(map[string]any), delta)
	delete(choice, "delta")
	delete(choice, "index")
	a.merge(target, choice)
	return nil
}

// indexOf returns the "index" field, 0 if it is missing, or -1 if it is not an integer.
func indexOf(fields map[string]any) int {
	raw, ok := fields["index"]
	if !ok {
		return 0
	}
	number, ok := raw.(json.Number)
	if !ok {
		return -1
	}
	index, err := number.Int64()
	if err != nil {
		return -1
	}
	return int(index)
}

// merge adds the fields of part to target. Strings and lists are appended, objects are merged
// recursively, and other values replace the earlier one.
func (a *Assembler) merge(target, part map[string]any) {
	for name, value := range part {
		old, known := target[name]
		a.countField(name, known)
		target[name] = a.mergeValue(name, old, value)
	}
}

func (a *Assembler) mergeValue(name string, old, value any) any {
	switch value := value.(type) {
	case nil:
		return old
	case string:
		if existing, ok := old.(string); ok && !repeatedFields[name] {
			a.bytes += textCopies * len(value)
			return existing + value
		}
	case map[string]any:
		if existing, ok := old.(map[string]any); ok {
			a.merge(existing, value)
			return existing
		}
	case []any:
		existing, ok := old.([]any)
		if !ok {
			a.bytes -= memoryOf(old)
		}
		return a.mergeLists(name, existing, value)
	}
	a.bytes += memoryOf(value) - memoryOf(old)
	return value
}

// mergeLists appends parts to list. Parts of a tool call are merged by their "index" field.
func (a *Assembler) mergeLists(name string, list, parts []any) any {
	if list == nil {
		list = []any{}
	}
	if name != "tool_calls" {
		a.bytes += memoryOf(parts)
		return append(list, parts...)
	}
	for _, raw := range parts {
		call, ok := raw.(map[string]any)
		if !ok {
			a.bytes += memoryOf(raw) + valueBytes
			return append(list, raw)
		}
		index := indexOf(call)
		delete(call, "index")
		if index >= 0 && index < len(list) {
			if existing, ok := list[index].(map[string]any); ok {
				a.merge(existing, call)
				continue
			}
		}
		a.bytes += memoryOf(call) + valueBytes
		list = append(list, call)
	}
	return list
}

// JSON returns the assembled answer.
func (a *Assembler) JSON() ([]byte, error) {
	answer := map[string]any{}
	for name, value := range a.fields {
		answer[name] = value
	}
	answer["object"] = completionObject
	choices := a.choices
	if choices == nil {
		choices = []map[string]any{}
	}
	answer["choices"] = choices
	data, err := json.Marshal(answer)
	return data, errors.Wrap(err, "encode chat completion")
}
