package bounded_test

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/iotest"

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

// Guards against strings that are cut within an escape sequence, or though they are as long as the limit.
func TestLongStringsAreCut(t *testing.T) {
	const maxBytes = 40
	for _, unit := range []string{"x", "ä", `\n`, `\"`, `\\`, `\u00e4`, `\ud83d\ude00`, `\u0022`, "x\u2028"} {
		for prefix := range 8 {
			long := strings.Repeat("p", prefix) + strings.Repeat(unit, 30)
			short := strings.Repeat("s", maxBytes)
			answer := fmt.Sprintf(`{"list":["%s","%s",{"%s":["%s"]},7]}`, short, long, long, short)
			for name, source := range map[string]io.Reader{
				"whole": strings.NewReader(answer), "bytes": iotest.OneByteReader(strings.NewReader(answer)),
				"halves": iotest.HalfReader(strings.NewReader(answer)), "with the end": iotest.DataErrReader(strings.NewReader(answer)),
			} {
				cut, err := io.ReadAll(bounded.CutStrings(source, maxBytes))
				assert.NoError(t, err)
				var decoded struct{ List []any }
				if !assert.NoError(t, json.Unmarshal(cut, &decoded), "%s: %s", name, cut) || !assert.Len(t, decoded.List, 4) {
					continue
				}
				assert.Equal(t, short, decoded.List[0])
				if prefix+30*len(unit) <= maxBytes {
					assert.NotContains(t, string(cut), bounded.CutMark)
					continue
				}
				assert.True(t, strings.HasSuffix(decoded.List[1].(string), bounded.CutMark), "%s: %s", name, cut)
				assert.LessOrEqual(t, len(decoded.List[1].(string)), maxBytes+len(`\ud83d`))
				assert.Equal(t, 7., decoded.List[3])
			}
		}
	}
}

// Guards against reading a string without end until the call times out.
func TestStringWithoutEndIsAnError(t *testing.T) {
	endless := io.MultiReader(strings.NewReader(`{"a":"`), repeated('x'))
	_, err := io.Copy(io.Discard, bounded.CutStrings(endless, 1000))
	assert.ErrorIs(t, err, bounded.ErrTooLong)
}

// repeated is an endless series of a byte.
type repeated byte

func (b repeated) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = byte(b)
	}
	return len(p), nil
}
