package ticket

import (
	"encoding/json"
	"time"

	"gopkg.in/yaml.v3"
)

// Duration is a time span that reads and writes as text such as "30s".
type Duration time.Duration

// Std returns the span as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// String returns the span in the form of time.Duration.
func (d Duration) String() string { return time.Duration(d).String() }

// MarshalJSON writes the span as a string.
func (d Duration) MarshalJSON() ([]byte, error) { return json.Marshal(d.String()) }

// UnmarshalJSON reads the span from a string; a number is an error.
func (d *Duration) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return err
	}
	return d.set(text)
}

// MarshalYAML writes the span as a string.
func (d Duration) MarshalYAML() (any, error) { return d.String(), nil }

// UnmarshalYAML reads the span from a string.
func (d *Duration) UnmarshalYAML(node *yaml.Node) error { return d.set(node.Value) }

func (d *Duration) set(text string) error {
	parsed, err := time.ParseDuration(text)
	if err != nil {
		return err
	}
	*d = Duration(parsed)
	return nil
}
