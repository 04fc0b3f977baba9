package answer

import (
	"bytes"
	"encoding/json"

	"github.com/cockroachdb/errors"
)

// objectWhole is the "object" field of a whole answer.
const completionObject = "chat.completion"

// Whole assembles a whole answer from the chunks of a stream. Fields that it does not
// know are kept. Its zero value is empty.
type Assembler struct {
	fields  map[string]any
	choices []map[string]any // by index
}

// fixedFields are strings that a later chunk repeats rather than continues.
var repeatedFields = map[string]bool{"role": true, "id": true, "type": true}

// maxChoices bounds the index of a choice, against a faulty engine.
const maxChoices = 128

var errMalformedChunk = errors.New("chunk is malformed")

// Add takes in the JSON of the next chunk.
func (a *Assembler) Add(data string) error {
	decoder := json.NewDecoder(bytes.NewReader([]byte(data)))
	decoder.UseNumber() // numbers keep their digits
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
		if value != nil || a.fields[name] == nil {
			a.fields[name] = value
		}
	}
	for _, raw := range choices {
		if err := a.addChoice(raw); err != nil {
			return err
		}
	}
	return nil
}

func (a *Assembler) addChoice(raw any) error {
	choice, ok := raw.(map[string]any)
	if !ok {
		return errMalformedChunk
	}
	index := indexOf(choice)
	if index < 0 || index >= maxChoices {
		return errors.Wrap(errMalformedChunk, "index of a choice")
	}
	for len(a.choices) <= index {
		a.choices = append(a.choices, map[string]any{"index": len(a.choices), "message": map[string]any{}})
	}
	target := a.choices[index]
	delta, _ := choice["delta"].(map[string]any)
	merge(target["message"].(map[string]any), delta)
	delete(choice, "delta")
	delete(choice, "index")
	merge(target, choice)
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
func merge(target, part map[string]any) {
	for name, value := range part {
		target[name] = mergeValue(name, target[name], value)
	}
}

func mergeValue(name string, old, value any) any {
	switch value := value.(type) {
	case nil:
		return old
	case string:
		if existing, ok := old.(string); ok && !repeatedFields[name] {
			return existing + value
		}
	case map[string]any:
		if existing, ok := old.(map[string]any); ok {
			merge(existing, value)
			return existing
		}
	case []any:
		existing, _ := old.([]any)
		return mergeLists(name, existing, value)
	}
	return value
}

// mergeLists appends the elements. Tool calls carry an index, under which their parts belong together.
func mergeLists(name string, list, parts []any) any {
	if list == nil {
		list = []any{}
	}
	if name != "tool_calls" {
		return append(list, parts...)
	}
	for _, raw := range parts {
		call, ok := raw.(map[string]any)
		if !ok {
			return append(list, raw)
		}
		index := indexOf(call)
		delete(call, "index")
		if index >= 0 && index < len(list) {
			if existing, ok := list[index].(map[string]any); ok {
				merge(existing, call)
				continue
			}
		}
		list = append(list, call)
	}
	return list
}

// JSON returns the whole answer.
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
	return data, errors.Wrap(err, "encode answer")
}
