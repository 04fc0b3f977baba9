package http1

import (
	"bufio"
	"bytes"
	"io"
	"math/rand/v2"
	"net/http"
	"net/textproto"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// The grammar of RFC 9112, in which each byte is one character of the text.
var (
	// RFC 9112, section 4. Tolerated: no space before an empty reason, as most parsers do. RFC 9110, section 2.5: any minor version.
	// RFC 9110, section 15: statuses from 100 to 599 only.
	statusLineSyntax = regexp.MustCompile(`^HTTP/1\.([0-9]) ([1-5][0-9][0-9])(?: [\t \x21-\x7E\x{80}-\x{FF}]*)?$`)
	// RFC 9112, section 5, and RFC 9110, sections 5.1, 5.5 and 5.6.2. No folded lines: RFC 9112, section 5.2.
	fieldLineSyntax = regexp.MustCompile("^([!#$%&'*+.^_`|~0-9A-Za-z-]+):[ \t]*((?:[\\x21-\\x7E\\x{80}-\\x{FF}](?:[ \t\\x21-\\x7E\\x{80}-\\x{FF}]*[\\x21-\\x7E\\x{80}-\\x{FF}])?)?)[ \t]*$")
	// The begin of another answer: RFC 9112, section 4.
	joinedSyntax = regexp.MustCompile(`HTTP/1\.[0-9] [0-9][0-9][0-9](?: |$)`)
	// RFC 9110, section 8.6.
	lengthSyntax = regexp.MustCompile(`^[0-9]+$`)
)

// referenceHead is a head as RFC 9112 defines it.
type referenceHead struct {
	minor, status int
	fields        http.Header // with all fields of a name in order
	framing       string      // "none", "length", "chunks" or "connection", for the answer to a GET
	length        int64       // with "length"
	rest          []byte      // behind the head
}

// latin1 returns a text with one character for each byte.
func latin1(data []byte) string {
	runes := make([]rune, len(data))
	for i, b := range data {
		runes[i] = rune(b)
	}
	return string(runes)
}

// bytesOf is the reverse of latin1.
func bytesOf(text string) string {
	var b strings.Builder
	for _, r := range text {
		b.WriteByte(byte(r))
	}
	return b.String()
}

// readReference reads a head from the data. complete is false for a head without an end, of which valid is the part up to the last whole line.
func readReference(data []byte) (head referenceHead, complete, valid bool) {
	head.fields = http.Header{}
	for number := 0; ; number++ {
		text, rest, ok := bytes.Cut(data, []byte("\n")) // RFC 9112, section 2.2: a recipient may take a bare LF for the end of a line
		if !ok {
			return head, false, true
		}
		data = rest
		line := latin1(bytes.TrimSuffix(text, []byte("\r")))
		switch {
		case number == 0:
			match := statusLineSyntax.FindStringSubmatch(line)
			if match == nil || joinedSyntax.MatchString(line[len("HTTP/"):]) {
				return head, false, false
			}
			head.minor, _ = strconv.Atoi(match[1])
			head.status, _ = strconv.Atoi(match[2])
			if head.status == 101 { // RFC 9110, section 15.2.2: only for a request with Upgrade
				return head, false, false
			}
		case line == "":
			head.rest = data
			return head, true, head.frame()
		default:
			match := fieldLineSyntax.FindStringSubmatch(line)
			if match == nil || joinedSyntax.MatchString(match[2]) {
				return head, false, false
			}
			name := textproto.CanonicalMIMEHeaderKey(match[1])
			head.fields[name] = append(head.fields[name], bytesOf(match[2]))
			if !validFraming(name, head.fields[name]) {
				return head, false, false
			}
		}
	}
}

// validFraming checks the fields of a name alone.
func validFraming(name string, values []string) bool {
	switch name {
	case "Content-Length": // RFC 9110, section 8.6: equal lengths may be taken for one. Section 8.6, too: no overflow
		_, err := strconv.ParseInt(values[0], 10, 64)
		return lengthSyntax.MatchString(values[0]) && err == nil && values[len(values)-1] == values[0]
	case "Transfer-Encoding": // RFC 9112, section 7.4: no other coding was named in TE; section 7.1: chunked once only
		return len(values) == 1 && strings.EqualFold(values[0], "chunked")
	}
	return true
}

// frame finds how the body ends (RFC 9112, section 6.3), and returns whether the head is valid in that.
func (h *referenceHead) frame() bool {
	lengths, chunked := h.fields["Content-Length"], len(h.fields["Transfer-Encoding"]) > 0
	if chunked && (len(lengths) > 0 || h.minor == 0) { // RFC 9112, sections 6.3 and 6.1
		return false
	}
	switch {
	case h.status < 200 || h.status == 204 || h.status == 304: // whatever its fields say
		h.framing = "none"
	case chunked:
		h.framing = "chunks"
	case len(lengths) == 0:
		h.framing = "connection"
	default:
		h.framing = "length"
		h.length, _ = strconv.ParseInt(lengths[0], 10, 64)
	}
	return true
}

// expectedFields returns the fields that net/http passes on.
func (h *referenceHead) expectedFields() http.Header {
	fields := h.fields.Clone()
	if len(fields["Content-Length"]) > 1 {
		fields["Content-Length"] = fields["Content-Length"][:1]
	}
	if len(fields["Transfer-Encoding"]) > 0 {
		delete(fields, "Transfer-Encoding")
		delete(fields, "Trailer")
	}
	if pragma := fields["Pragma"]; len(pragma) > 0 && pragma[0] == "no-cache" && len(fields["Cache-Control"]) == 0 {
		fields["Cache-Control"] = []string{"no-cache"}
	}
	for _, value := range fields["Connection"] {
		for option := range strings.SplitSeq(value, ",") {
			if h.minor > 0 && strings.EqualFold(strings.Trim(option, " \t"), "close") {
				delete(fields, "Connection")
			}
		}
	}
	return fields
}

// hasForbiddenTrailer reports whether net/http refuses the head since its Trailer field names one that must not be in trailers.
func (h *referenceHead) hasForbiddenTrailer() bool {
	forbidden := []string{"Content-Length", "Transfer-Encoding", "Trailer"}
	for _, value := range h.fields["Trailer"] {
		for name := range strings.SplitSeq(value, ",") {
			if slices.Contains(forbidden, textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name))) {
				return len(h.fields["Transfer-Encoding"]) > 0
			}
		}
	}
	return false
}

// checkAgainstReference fails the test if HeadChecker, the RFC and net/http don't agree on the head at the start of the data.
func checkAgainstReference(t testing.TB, data []byte) (valid bool) {
	t.Helper()
	var c HeadChecker
	n, complete, err := c.Check(slices.Clone(data))
	want, wantComplete, wantValid := readReference(data)
	require.Equal(t, wantValid, err == nil, "%q: %v", data, err)
	for _, partBytes := range []int{1, 5} {
		rest, completeInParts, errInParts := check(string(data), partBytes)
		require.Equal(t, err == nil, errInParts == nil, "%q in parts of %d: %v", data, partBytes, errInParts)
		if err == nil && complete {
			require.True(t, completeInParts, "%q in parts of %d", data, partBytes)
			require.Equal(t, string(data[n:]), rest, "%q in parts of %d", data, partBytes)
		}
	}
	if err != nil {
		return false
	}
	require.Equal(t, wantComplete, complete, "%q", data)
	reader := bufio.NewReader(bytes.NewReader(data))
	response, err := http.ReadResponse(reader, &http.Request{Method: http.MethodGet})
	if !complete {
		require.Error(t, err, "%q is not complete", data)
		return false
	}
	require.Equal(t, string(want.rest), string(data[n:]), "%q", data)
	require.Equal(t, want.status, c.Status(), "%q", data)
	if want.hasForbiddenTrailer() {
		return true
	}
	require.NoError(t, err, "%q", data)
	rest, err := io.ReadAll(reader)
	require.NoError(t, err)
	require.Equal(t, string(want.rest), string(rest), "%q", data)
	require.Equal(t, want.status, response.StatusCode, "%q", data)
	require.Equal(t, want.expectedFields(), response.Header, "%q", data)
	switch {
	case want.framing == "none" || want.framing == "length" && want.length == 0:
		require.Equal(t, http.NoBody, response.Body, "%q", data)
	case want.framing == "length":
		require.Equal(t, want.length, response.ContentLength, "%q", data)
		require.Empty(t, response.TransferEncoding, "%q", data)
	case want.framing == "chunks":
		require.EqualValues(t, -1, response.ContentLength, "%q", data)
		require.Equal(t, []string{"chunked"}, response.TransferEncoding, "%q", data)
	default:
		require.EqualValues(t, -1, response.ContentLength, "%q", data)
		require.Empty(t, response.TransferEncoding, "%q", data)
		require.True(t, response.Close, "%q", data)
	}
	return true
}

var headSeeds = []string{
	"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nX-A: b\r\n\r\nhello",
	"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
	"HTTP/1.1 200 OK\r\nConnection: close\r\nPragma: no-cache\r\n\r\nhello",
	"HTTP/1.0 404 Not Found\r\nContent-Length: 5\r\nContent-Length: 5\r\n\r\nhello",
	"HTTP/1.1 204 No Content\r\n\r\n",
	"HTTP/1.0 200 OK\r\nConnection: keep-alive\r\n\r\nhello",
	"HTTP/1.1 304 Not Modified\r\nContent-Length: 5\r\n\r\n",
	"HTTP/1.1 103 Early Hints\r\nLink: <a>; rel=preload\r\n\r\nHTTP/1.1 200 OK\r\n\r\n",
	"HTTP/1.1 503\nA:\n\nhello",
	"HTTP/1.7 599 \t h\xe9\r\nA: \xff \t\r\nB:b b\r\n\r\n",
}

// headTokens are inserted into heads, or take the place of a part.
var headTokens = []string{
	" ", "\t", "\r", "\n", "\r\n", "\r\n\r\n", "\r\n ", "\x00", "\x0b", "\x7f", "\x80", "\xff", ":", ",", ";", "(", "0", "1", "00", "-", "+", "9223372036854775807", "9223372036854775808",
	"Content-Length: 5\r\n", "Content-Length: 6\r\n", "content-length:05\r\n", "Content-Length: 9223372036854775807\r\n", "Content-Length: 9223372036854775808\r\n", "Content-Length : 5\r\n", "Content-Length\t: 5\r\n", "Content-Length: 5, 5\r\n", "Content-Length:\r\n 5\r\n",
	"Transfer-Encoding: chunked\r\n", "transfer-encoding: CHUNKED\r\n", "Transfer-Encoding : chunked\r\n", "Transfer-Encoding: gzip, chunked\r\n", "Transfer-Encoding: identity\r\n", "Transfer-Encoding:\r\n",
	"X Odd: 1\r\n", ": 1\r\n", "X\r\n", "Connection: close\r\n", "HTTP/1.0 ", "HTTP/1.1 ", "HTTP/2.0 ", "200", "000", "600", "101", "204", "304", "100",
}

// mutatedHead returns a valid head with a few changes, or, in one of ten cases, random bytes.
func mutatedHead(r *rand.Rand) []byte {
	if r.IntN(10) == 0 {
		data := make([]byte, r.IntN(60))
		for i := range data {
			data[i] = byte(r.IntN(256))
		}
		return append([]byte([]string{"", "HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\nA"}[r.IntN(3)]), data...)
	}
	data := []byte(headSeeds[r.IntN(len(headSeeds))])
	for range r.IntN(4) {
		at := r.IntN(len(data) + 1)
		switch token := headTokens[r.IntN(len(headTokens))]; r.IntN(5) {
		case 0: // within a line
			data = slices.Insert(data, at, []byte(token)...)
		case 1: // at the start of a line
			data = slices.Insert(data, at+1+bytes.IndexByte(data[at:], '\n'), []byte(token)...)
		case 2:
			data = append(data[:at:at], data[min(len(data), at+1+r.IntN(4)):]...)
		case 3:
			if at < len(data) {
				data[at] = byte(r.IntN(256))
			}
		case 4:
			data = slices.Concat(data[:at], []byte(token), data[min(len(data), at+len(token)):])
		}
	}
	return data
}

func TestMutatedHeadsAreReadAsTheRFCDefinesThem(t *testing.T) {
	const cases, seed = 20_000, 54
	r := rand.New(rand.NewPCG(seed, 0))
	valid := 0
	for range cases {
		if checkAgainstReference(t, mutatedHead(r)) {
			valid++
		}
	}
	assert.Greater(t, valid, cases/10, "too few valid heads for the comparison with net/http")
	assert.Less(t, valid, cases*9/10, "too few invalid heads")
	t.Logf("%d of %d heads are valid", valid, cases)
}

func FuzzHeads(f *testing.F) {
	for _, seed := range headSeeds {
		f.Add([]byte(seed))
	}
	for _, token := range headTokens {
		f.Add([]byte("HTTP/1.1 200 OK\r\n" + token + "\r\n"))
	}
	f.Fuzz(func(t *testing.T, data []byte) { checkAgainstReference(t, data) })
}
