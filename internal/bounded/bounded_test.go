package bounded_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/filbertrill/filbertrill/internal/bounded"
)

// Guards against bounds that cut off an answer as long as its limit, or a long list of values within theirs.
func TestAnswersUpToTheLimitAreRead(t *testing.T) {
	text := strings.Repeat("x", 1000)
	data, err := bounded.ReadAll(strings.NewReader(text), 1000)
	assert.NoError(t, err)
	assert.Len(t, data, 1000)
	_, err = bounded.ReadAll(strings.NewReader(text), 999)
	assert.ErrorIs(t, err, bounded.ErrTooLong)

	for _, valueBytes := range []int{1, 10, 500, 511, 512, 513, 900, 996} {
		value := strings.Repeat("x", valueBytes)
		answer := "[" + strings.Repeat(fmt.Sprintf("%q,\n", value), 2000) + fmt.Sprintf("%q]", value)
		entries := 0
		d := bounded.NewDecoder(strings.NewReader(answer), len(answer), 1000)
		err := d.List(2001, func() error {
			var s string
			entries++
			return d.Decode(&s)
		})
		assert.NoError(t, err, valueBytes)
		assert.NoError(t, d.End(), valueBytes)
		assert.Equal(t, 2001, entries)
	}
}

func TestAnswersBeyondTheLimitAreErrors(t *testing.T) {
	for name, answer := range map[string]string{
		"value":     `{"a":"` + strings.Repeat("x", 5000) + `"}`,
		"name":      `{"` + strings.Repeat("x", 5000) + `":1}`,
		"number":    `{"a":1` + strings.Repeat("0", 5000) + `}`,
		"space":     strings.Repeat(" ", 5000) + `{}`,
		"nesting":   `{"a":` + strings.Repeat("[", 5000) + strings.Repeat("]", 5000) + `}`,
		"fields":    `{` + strings.Repeat(`"a":1,`, 1000) + `"a":1}`,
		"all":       `{` + strings.Repeat(`"a":"`+strings.Repeat("x", 900)+`",`, 30) + `"a":1}`,
		"half":      `{"a":1`,
		"something": `{} x`,
		"list":      `[]`,
		"nothing":   ``,
	} {
		d := bounded.NewDecoder(strings.NewReader(answer), 20_000, 1000)
		assert.Error(t, d.Object(func(string) error { return d.Skip() }), name)
	}
	d := bounded.NewDecoder(strings.NewReader("[1,2,3]"), 100, 100)
	assert.Error(t, d.List(2, d.Skip))
}
