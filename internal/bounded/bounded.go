// Package bounded reads answers of other processes without keeping more of them than stated limits.
package bounded

import (
	"encoding/json"
	"io"

	"github.com/cockroachdb/errors"
)

const (
	// maxFields limits the fields of an object.
	maxFields = 1000
	// maxCutBytes limits what is cut off from the strings of an answer.
	maxCutBytes = 8 << 20
)

// ErrTooLong is the error of reading more of an answer or of a value in it than its limit.
var ErrTooLong = errors.New("answer or a value in it is too long")

// reader reads no more than value bytes, and no more than left bytes in all. Then it returns ErrTooLong.
type reader struct {
	reader      io.Reader
	value, left int
}

// Read implements io.Reader.
func (r *reader) Read(p []byte) (int, error) {
	limit := min(r.value, r.left)
	if limit <= 0 {
		n, err := r.reader.Read(make([]byte, 1))
		if n > 0 {
			return 0, ErrTooLong
		}
		return 0, err // the end, for an answer as long as its limit
	}
	n, err := r.reader.Read(p[:min(len(p), limit)])
	r.value -= n
	r.left -= n
	return n, err
}

// Decoder decodes a JSON object value by value as it arrives. Its own buffers take no more than six times maxValue.
type Decoder struct {
	json     *json.Decoder
	source   *reader
	maxValue int // bytes that may be read for one value, with the space around it
}

// NewDecoder returns a decoder that reads up to maxBytes.
func NewDecoder(r io.Reader, maxBytes, maxValue int) *Decoder {
	source := &reader{reader: r, left: maxBytes}
	return &Decoder{json.NewDecoder(source), source, maxValue}
}

// CutMark is the last character of a string that CutStrings has cut. Base64 does not contain it.
const CutMark = "!"

// CutStrings returns a reader of the same JSON text in which strings, names included, that take more than maxBytes as encoded end
// after about maxBytes with CutMark. So a long string does not make the rest of the text unreadable. It returns ErrTooLong when it has
// cut off more than maxCutBytes.
func CutStrings(r io.Reader, maxBytes int) io.Reader {
	return &stringCutter{reader: r, maxBytes: maxBytes}
}

type stringCutter struct {
	reader   io.Reader
	maxBytes int
	inString bool
	length   int  // bytes of the string so far
	escaped  bool // the next byte belongs to an escape sequence
	digits   int  // hexadecimal digits that the escape sequence still has
	cut      bool // the rest of the string is dropped
	cutBytes int  // of all strings
}

// Read implements io.Reader.
func (c *stringCutter) Read(p []byte) (int, error) {
	for len(p) > 0 {
		n, err := c.reader.Read(p)
		kept := 0
		for _, b := range p[:n] {
			if b, ok := c.next(b); ok {
				p[kept] = b
				kept++
			}
		}
		if c.cutBytes += n - kept; c.cutBytes > maxCutBytes {
			return kept, ErrTooLong
		}
		if kept > 0 || err != nil {
			return kept, err
		}
	}
	return 0, nil
}

// next returns what stands for the next byte of the text, or false for nothing.
func (c *stringCutter) next(b byte) (byte, bool) {
	const unicodeDigits = 4
	switch {
	case !c.inString:
		c.inString, c.length, c.cut = b == '"', 0, false
		return b, true
	case c.escaped:
		c.escaped = false
		if b == 'u' {
			c.digits = unicodeDigits
		}
	case c.digits > 0 && b != '"':
		c.digits--
	case b == '"':
		c.inString, c.digits = false, 0
		return b, true
	default:
		c.escaped = b == '\\'
		if !c.cut && c.length >= c.maxBytes {
			c.cut = true
			return CutMark[0], true
		}
	}
	c.length++
	return b, !c.cut
}

// ReadAll reads to the end, but no more than maxBytes.
func ReadAll(r io.Reader, maxBytes int) ([]byte, error) {
	return io.ReadAll(&reader{reader: r, value: maxBytes, left: maxBytes})
}

// token returns the next token.
func (d *Decoder) token() (json.Token, error) {
	d.source.value = d.maxValue
	return d.json.Token()
}

// Decode decodes the next value.
func (d *Decoder) Decode(target any) error {
	d.source.value = d.maxValue
	return d.json.Decode(target)
}

// more reports whether the object or list has another element.
func (d *Decoder) more() bool {
	d.source.value = d.maxValue
	return d.json.More()
}

// Object decodes an object, to which fields applies, with nothing behind it.
func (d *Decoder) Object(decode func(name string) error) error {
	if err := d.fields(decode); err != nil {
		return err
	}
	return d.End()
}

// End returns an error if there is more than space behind the last value.
func (d *Decoder) End() error {
	if _, err := d.token(); !errors.Is(err, io.EOF) {
		return errors.CombineErrors(err, errors.New("answer goes on behind its end"))
	}
	return nil
}

// fields calls decode with the name of each field of the object that comes next. decode decodes the value.
func (d *Decoder) fields(decode func(name string) error) error {
	if start, err := d.token(); err != nil || start != json.Delim('{') {
		return errors.CombineErrors(err, errors.New("answer is not an object"))
	}
	for fields := 0; d.more(); fields++ {
		if fields == maxFields {
			return errors.Newf("answer has more than %d fields", maxFields)
		}
		name, err := d.token()
		if err != nil {
			return err
		}
		text, _ := name.(string) // the decoder accepts no other names
		if err := decode(text); err != nil {
			return err
		}
	}
	_, err := d.token()
	return err
}

// List calls decode for each entry of the list that comes next, which may be null. decode decodes the entry. More than maxEntries
// entries are an error.
func (d *Decoder) List(maxEntries int, decode func() error) error {
	start, err := d.token()
	if err != nil || start == nil {
		return err
	}
	if start != json.Delim('[') {
		return errors.New("answer has no list")
	}
	for entries := 0; d.more(); entries++ {
		if entries == maxEntries {
			return errors.Newf("list has more than %d entries", maxEntries)
		}
		if err := decode(); err != nil {
			return err
		}
	}
	_, err = d.token()
	return err
}

// Skip skips the next value.
func (d *Decoder) Skip() error { return d.Decode(&json.RawMessage{}) }
