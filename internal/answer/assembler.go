package answer

import (
	"bytes"
	"encoding/json"

	"github.com/cockroachdb/errors"
)

// objectWhole is the "object" field of a whole answer.
const objectWhole = "chat.completion"

// Whole assembles a whole answer from the chunks of a stream. Fields that it does not
// know are kept. Its zero value is empty.
type Assembler struct {
	fields  map[string]any
	choices []map[string]any // by index
}

// fixedFields are strings that a later chunk repeats rather than continues.
var fixedFields = map[string]bool{"role": true, "id": true, "type": true}

// maxChoices bounds the index of a choice, against a faulty engine.
const maxChoices = 128

var errChunk = errors.New("chunk is malformed")

// Add takes in the JSON of the next chunk.
func (w *Assembler) Add(data string) error {
	decoder := json.NewDecoder(bytes.NewReader([]byte(data)))
	decoder.UseNumber() // numbers keep their digits
	var chunk map[string]any
	if err := decoder.Decode(&chunk); err != nil {
		return errors.CombineErrors(errChunk, err)
	}
	choices, _ := chunk["choices"].([]any)
	delete(chunk, "choices")
	if w.fields == nil {
		w.fields = map[string]any{}
	}
	for name, value := range chunk {
		if value != nil || w.fields[name] == nil {
			w.fields[name] = value
		}
	}
	for _, raw := range choices {
		if err := w.addChoice(raw); err != nil {
			return err
		}
	}
	return nil
}

func (w *Assembler) addChoice(raw any) error {
	choice, ok := raw.(map[string]any)
	if !ok {
		return errChunk
	}
	index := indexOf(choice)
	if index < 0 || index >= maxChoices {
		return errors.Wrap(errChunk, "index of a choice")
	}
	for len(w.choices) <= index {
		w.choices = append(w.choices, map[string]any{"index": len(w.choices), "message": map[string]any{}})
	}
	into := w.choices[index]
	delta, _ := choice["delta"].(map[string]any)
	merge(into["message"].(map[string]any), delta)
	delete(choice, "delta")
	delete(choice, "index")
	merge(into, choice)
	return nil
}

// indexOf returns the "index" field: 0 when absent, -1 when it is not a number.
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

// merge adds the fields of a part: strings are continued, lists appended, objects
// merged; any other value replaces the earlier one.
func merge(into, part map[string]any) {
	for name, value := range part {
		into[name] = merged(name, into[name], value)
	}
}

func merged(name string, old, value any) any {
	switch value := value.(type) {
	case nil:
		return old
	case string:
		if before, ok := old.(string); ok && !fixedFields[name] {
			return before + value
		}
	case map[string]any:
		if before, ok := old.(map[string]any); ok {
			merge(before, value)
			return before
		}
	case []any:
		before, _ := old.([]any)
		return mergeLists(name, before, value)
	}
	return value
}

// mergeLists appends the elements. Tool calls carry an index, under which their parts belong together.
func mergeLists(name string, before, parts []any) any {
	if before == nil {
		before = []any{}
	}
	if name != "tool_calls" {
		return append(before, parts...)
	}
	for _, raw := range parts {
		call, ok := raw.(map[string]any)
		if !ok {
			return append(before, raw)
		}
		index := indexOf(call)
		delete(call, "index")
		if index >= 0 && index < len(before) {
			if known, ok := before[index].(map[string]any); ok {
				merge(known, call)
				continue
			}
		}
		before = append(before, call)
	}
	return before
}

// JSON returns the whole answer.
func (w *Assembler) JSON() ([]byte, error) {
	answer := map[string]any{}
	for name, value := range w.fields {
		answer[name] = value
	}
	answer["object"] = objectWhole
	choices := w.choices
	if choices == nil {
		choices = []map[string]any{}
	}
	answer["choices"] = choices
	data, err := json.Marshal(answer)
	return data, errors.Wrap(err, "encode answer")
}
