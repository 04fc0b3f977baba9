package http1

import (
	"bytes"
	"regexp"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

// ErrInvalidHead marks errors for heads that are not those of an answer.
var ErrInvalidHead = errors.New("head of the answer is not valid")

const (
	minStatus          = 100
	maxStatus          = 599
	switchingProtocols = 101
	firstFinalStatus   = 200
)

// HeadChecker checks the head of an answer as it arrives. What net/http would drop, merge or pass on makes the head invalid: a status that is
// no HTTP status, names that are no tokens, folded lines, control bytes, and fields that contradict each other about the length of the
// body (RFC 9110, section 5; RFC 9112, sections 4 to 6). A line that holds a status line makes it invalid, too: a head that has broken off was
// joined with the next one. The zero value is at the start of a head. It keeps an incomplete line only.
type HeadChecker struct {
	partial []byte // line without its end
	lines   int
	minor   byte // version of the answer is 1.minor
	status  int

	contentLength string // empty for none
	chunked       bool
}

// Status returns the status of the head, 0 before its first line is complete.
func (c *HeadChecker) Status() int { return c.status }

// Buffered returns the bytes of memory of an incomplete line.
func (c *HeadChecker) Buffered() int { return cap(c.partial) }

// Chunked reports whether the head announces a body in chunks.
func (c *HeadChecker) Chunked() bool { return c.chunked }

// Check reads the next bytes of a head. It returns how many of them belong to the head, and whether the head is complete. Errors are
// marked ErrInvalidHead.
func (c *HeadChecker) Check(p []byte) (n int, complete bool, err error) {
	for n < len(p) {
		end := bytes.IndexByte(p[n:], '\n')
		if end < 0 {
			c.partial = append(c.partial, p[n:]...)
			return len(p), false, nil
		}
		line := p[n : n+end]
		n += end + 1
		if len(c.partial) > 0 {
			line = append(c.partial, line...)
			c.partial = nil
		}
		line = bytes.TrimSuffix(line, []byte("\r"))
		if complete, err = c.checkLine(line); complete || err != nil {
			return n, complete, errors.Mark(err, ErrInvalidHead)
		}
	}
	return n, false, nil
}

// checkLine checks a line without its end, and returns whether it ends the head.
func (c *HeadChecker) checkLine(line []byte) (complete bool, err error) {
	c.lines++
	switch {
	case c.lines == 1:
		return false, c.checkStatusLine(line)
	case len(line) == 0:
		return true, c.checkFraming()
	}
	return false, c.checkField(line)
}

// checkStatusLine checks "HTTP/1.x SP status SP reason". Servers that leave the reason out often leave out the space before it, too.
func (c *HeadChecker) checkStatusLine(line []byte) error {
	const prefix, versionBytes, statusBytes = "HTTP/1.", 8, 3
	if len(line) < versionBytes+1+statusBytes || !bytes.HasPrefix(line, []byte(prefix)) || !isDigit(line[versionBytes-1]) || line[versionBytes] != ' ' {
		return errors.Newf("status line %.64q is not that of an HTTP/1 answer", line)
	}
	c.minor = line[versionBytes-1] - '0'
	text, reason := line[versionBytes+1:versionBytes+1+statusBytes], line[versionBytes+1+statusBytes:]
	status, err := strconv.Atoi(string(text))
	if err != nil || !isDigit(text[0]) || status < minStatus || status > maxStatus {
		return errors.Newf("status %q is no HTTP status", text)
	}
	if len(reason) > 0 && (reason[0] != ' ' || !isFieldText(reason) || holdsStatusLine(reason)) {
		return errors.Newf("status line %.64q is not that of an HTTP/1 answer", line)
	}
	if status == switchingProtocols {
		return errors.New("server switches to another protocol, which was not requested")
	}
	c.status = status
	return nil
}

// checkField checks a field line.
func (c *HeadChecker) checkField(line []byte) error {
	name, value, err := parseField(line)
	if err != nil {
		return err
	}
	switch {
	case strings.EqualFold(string(name), "Content-Length"):
		if !isLength(value) || c.contentLength != "" && c.contentLength != string(value) {
			return errors.Newf("content length %.64q is not valid", value)
		}
		c.contentLength = string(value)
	case strings.EqualFold(string(name), "Transfer-Encoding"):
		if c.chunked || !strings.EqualFold(string(value), "chunked") {
			return errors.Newf("transfer coding %.64q was not requested", value)
		}
		c.chunked = true
	}
	return nil
}

// checkFraming checks that the fields of a complete head agree on where the body ends.
func (c *HeadChecker) checkFraming() error {
	switch {
	case c.chunked && c.contentLength != "":
		return errors.New("answer has both a content length and a transfer coding")
	case c.chunked && c.minor == 0:
		return errors.New("answer in HTTP/1.0 has a transfer coding")
	}
	return nil
}

// parseField returns the name and the value of a field line, or an error if the line is none.
func parseField(line []byte) (name, value []byte, err error) {
	name, value, ok := bytes.Cut(line, []byte(":"))
	if !ok || !isToken(name) { // a folded line begins with a space
		return nil, nil, errors.Newf("field line %.64q has no valid name", line)
	}
	if value = bytes.Trim(value, " \t"); !isFieldText(value) {
		return nil, nil, errors.Newf("value of field %.64q has control characters", name)
	}
	if holdsStatusLine(value) {
		return nil, nil, errors.Newf("field %.64q holds the status line of another answer", name)
	}
	return name, value, nil
}

func isDigit(b byte) bool { return '0' <= b && b <= '9' }

// statusLine is the begin of a status line.
var statusLine = regexp.MustCompile(`HTTP/1\.[0-9] [0-9]{3}( |$)`)

// holdsStatusLine reports whether the text of a line holds another answer's status line.
func holdsStatusLine(text []byte) bool {
	return bytes.Contains(text, []byte("HTTP/1.")) && statusLine.Match(text)
}

// isLength reports whether the text has digits only, for a number of 63 bits.
func isLength(text []byte) bool {
	for _, b := range text {
		if !isDigit(b) {
			return false
		}
	}
	_, err := strconv.ParseInt(string(text), 10, 64)
	return err == nil
}

// isToken reports whether the text is a token (RFC 9110, section 5.6.2).
func isToken(text []byte) bool {
	for _, b := range text {
		if !isDigit(b) && (b < 'a' || b > 'z') && (b < 'A' || b > 'Z') && !strings.ContainsRune("!#$%&'*+-.^_`|~", rune(b)) {
			return false
		}
	}
	return len(text) > 0
}

// isFieldText reports whether the text has no control characters but tabs. Bytes beyond ASCII are allowed.
func isFieldText(text []byte) bool {
	for _, b := range text {
		if b < ' ' && b != '\t' || b == 0x7f {
			return false
		}
	}
	return true
}
