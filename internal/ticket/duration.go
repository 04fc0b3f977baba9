package ticket

import (
	"encoding/json"
	"time"

	"gopkg.in/yaml.v3"
)

// Duration is a time.Duration that is encoded as text such as "30s" in JSON and YAML.
type Duration time.Duration

// Std returns the duration as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// String formats the duration as time.Duration does.
func (d Duration) String() string { return time.Duration(d).String() }

// MarshalJSON encodes the duration as a string.
func (d Duration) MarshalJSON() ([]byte, error) { return json.Marshal(d.String()) }

// UnmarshalJSON decodes the duration from a string. It rejects numbers.
func (d *Duration) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return err
	}
	return d.parse(text)
}

// MarshalYAML encodes the duration as a string.
func (d Duration) MarshalYAML() (any, error) { return d.String(), nil }

// UnmarshalYAML decodes the duration from a string.
func (d *Duration) UnmarshalYAML(node *yaml.Node) error { return d.parse(node.Value) }

func (d *Duration) parse(text string) error {
	parsed, err := time.ParseDuration(text)
	if err != nil {
		return err
	}
	*d = Duration(parsed)
	return nil
}
