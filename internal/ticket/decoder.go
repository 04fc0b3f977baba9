package ticket

import (
	"fmt"
	"strconv"
	"strings"

	"gopkg.in/yaml.v3"
)

// YAML tags of scalar values.
const (
	tagString = "!!str"
	tagInt    = "!!int"
	tagFloat  = "!!float"
	tagBool   = "!!bool"
)

// decoder reads typed values from YAML nodes. It collects all problems instead
// of stopping at the first one.
type decoder struct {
	file     string
	problems Problems
}

func (d *decoder) report(line int, field, format string, args ...any) {
	problem := Problem{File: d.file, Line: line, Field: field, Message: fmt.Sprintf(format, args...)}
	d.problems = append(d.problems, problem)
}

// object decodes the fields of one YAML mapping. Its read methods record which
// fields they read; reportUnknownFields then reports the others.
type object struct {
	*decoder
	path       string
	line       int
	fields     map[string]*yaml.Node
	keys       []*yaml.Node
	readFields map[string]bool
}

// object returns the fields of a mapping node, or nil with a problem reported.
// The path is the location of the node in the document, empty for the root.
func (d *decoder) object(node *yaml.Node, path string) *object {
	o := &object{
		decoder:    d,
		path:       path,
		line:       node.Line,
		fields:     map[string]*yaml.Node{},
		readFields: map[string]bool{},
	}
	if node.Kind != yaml.MappingNode {
		d.report(node.Line, path, "must be a mapping of fields")
		return nil
	}
	for i := 0; i+1 < len(node.Content); i += 2 {
		key := node.Content[i]
		if _, exists := o.fields[key.Value]; exists {
			d.report(key.Line, o.fieldPath(key.Value), "field is given twice")
			continue
		}
		o.fields[key.Value] = node.Content[i+1]
		o.keys = append(o.keys, key)
	}
	return o
}

func (o *object) fieldPath(name string) string {
	if o.path == "" {
		return name
	}
	return o.path + "." + name
}

// fieldLine returns the line of the field's value, or that of the object if the
// field is missing.
func (o *object) fieldLine(name string) int {
	if node := o.fields[name]; node != nil {
		return node.Line
	}
	return o.line
}

func (o *object) reportField(name, format string, args ...any) {
	o.report(o.fieldLine(name), o.fieldPath(name), format, args...)
}

// readNode marks the field as read and returns its node, or nil if it is missing.
func (o *object) readNode(name string, required bool) *yaml.Node {
	o.readFields[name] = true
	node := o.fields[name]
	if node == nil && required {
		o.reportField(name, "is required")
	}
	return node
}

func (o *object) reportUnknownFields() {
	for _, key := range o.keys {
		if !o.readFields[key.Value] {
			o.report(key.Line, o.fieldPath(key.Value), "unknown field")
		}
	}
}

// scalar returns the text of a field whose YAML tag is one of tags. The expected
// type completes the message "must be ...". It returns false if the field is
// missing or has another type.
func (o *object) scalar(name string, required bool, expected string, tags ...string) (string, bool) {
	node := o.readNode(name, required)
	if node == nil {
		return "", false
	}
	if node.Kind == yaml.ScalarNode {
		for _, tag := range tags {
			if node.ShortTag() == tag {
				return node.Value, true
			}
		}
	}
	o.reportField(name, "must be %s", expected)
	return "", false
}

// requiredString reads a required string that is not blank.
func (o *object) requiredString(name string) (string, bool) {
	value, ok := o.scalar(name, true, "a string", tagString)
	if ok && strings.TrimSpace(value) == "" {
		o.reportField(name, "must not be empty")
		return "", false
	}
	return value, ok
}

// ticketNumber reads a required whole number from 1 to MaxNumber, or returns 0
// with a problem reported.
func (o *object) ticketNumber(name string) uint64 {
	text, ok := o.scalar(name, true, "a whole number", tagInt)
	if !ok {
		return 0
	}
	value, err := strconv.ParseUint(text, 10, 64)
	if err != nil || value == 0 || value > MaxNumber {
		o.reportField(name, "must be a whole number from 1 to %d", uint64(MaxNumber))
		return 0
	}
	return value
}

// int reads a whole number from lowest to highest. It returns the fallback if
// the field is missing or invalid.
func (o *object) int(name string, required bool, fallback, lowest, highest int64) int64 {
	text, ok := o.scalar(name, required, "a whole number", tagInt)
	if !ok {
		return fallback
	}
	value, err := strconv.ParseInt(text, 10, 64)
	if err != nil || value < lowest || value > highest {
		o.reportField(name, "must be a whole number from %d to %d", lowest, highest)
		return fallback
	}
	return value
}

// float reads a number above 0 and at most highest. It returns the fallback if
// the field is missing or invalid.
func (o *object) float(name string, fallback, highest float64) float64 {
	text, ok := o.scalar(name, false, "a number", tagInt, tagFloat)
	if !ok {
		return fallback
	}
	value, err := strconv.ParseFloat(text, 64)
	if err != nil || !(value > 0 && value <= highest) {
		o.reportField(name, "must be a number above 0 and at most %g", highest)
		return fallback
	}
	return value
}

// bool reads an optional Boolean that defaults to false.
func (o *object) bool(name string) bool {
	text, ok := o.scalar(name, false, "true or false", tagBool)
	return ok && strings.EqualFold(text, "true")
}

// duration reads a duration above 0 and at most MaxDuration. It returns the
// fallback if the field is missing or invalid.
func (o *object) duration(name string, fallback Duration) Duration {
	text, ok := o.scalar(name, false, `a duration such as "30s"`, tagString)
	if !ok {
		return fallback
	}
	var value Duration
	if err := value.parse(text); err != nil || value <= 0 || value > MaxDuration {
		o.reportField(name, `must be a duration such as "30s", above 0 and at most %s`, MaxDuration)
		return fallback
	}
	return value
}

// enum reads one of the values. It returns the first one if the field is
// missing or invalid.
func enum[T ~string](o *object, name string, required bool, values ...T) T {
	text, ok := o.scalar(name, required, "a string", tagString)
	if !ok {
		return values[0]
	}
	names := make([]string, len(values))
	for i, value := range values {
		if T(text) == value {
			return value
		}
		names[i] = string(value)
	}
	o.reportField(name, "must be one of: %s", strings.Join(names, ", "))
	return values[0]
}

// list returns the elements of a sequence, or nil if the field is missing or invalid.
func (o *object) list(name string, required bool) []*yaml.Node {
	node := o.readNode(name, required)
	if node == nil {
		return nil
	}
	if node.Kind != yaml.SequenceNode {
		o.reportField(name, "must be a list")
		return nil
	}
	return node.Content
}
