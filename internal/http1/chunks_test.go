package http1

import (
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/assert"
)

// checkChunks checks a body that arrives in parts of the given size.
func checkChunks(body string, partBytes int) (err error) {
	var c ChunkChecker
	for len(body) > 0 && err == nil {
		part := body[:min(partBytes, len(body))]
		err = c.Check([]byte(part))
		body = body[len(part):]
	}
	return err
}

func TestValidChunksAreAccepted(t *testing.T) {
	for _, body := range []string{
		"0\r\n\r\n", "000\r\n\r\n",
		"0000000000000005\r\nhello\r\n0000000000000000\r\n\r\n", // printed as 64 bits
		"5\r\nhello\r\n0\r\n\r\n",
		"5\nhello\n0\n\n", // RFC 9112, section 2.2
		"B\r\nhello\r\nhell\r\n00b\r\n0\r\n\r\n0\r\n\r\n\r\n0\r\n\r\n",
		"5;a\r\nhello\r\n1 \t; a=\"b;\tc\" ;d\r\nx\r\n0;\r\n\r\n",
		"5\r\nhello\r\n0\r\nX-Sum: 1\r\na:\r\n\r\n",
		"5\r\nhello\r\n0\r\n\r\nHTTP/1.1 200 OK\r\nX Odd: \x01\r\n\r\n", // behind the body
		"100001\r\n" + strings.Repeat("\n", 0x100001) + "\r\n0\r\n\r\n",
	} {
		for _, partBytes := range []int{1, 7, len(body)} {
			assert.NoError(t, checkChunks(body, partBytes), "%.40q", body)
		}
	}
}

func TestFaultyChunksAndTrailersAreInvalid(t *testing.T) {
	bodies := []string{
		"\r\n", ";\r\n", "x\r\n", "-1\r\n", "+1\r\n", "0x1\r\n", " 1\r\n", "1 \r\n", "1\t\r\n", "1\r\r\n", "1,\r\n", "1 1\r\n", "1\x00\r\n", "\x101\r\n",
		"1;\x01\r\n", "1;a\x7f\r\n", "1;\r;\r\n", "1000000000000000\r\n", "00000000000000001\r\n", "ffffffffffffffffffff\r\n",
		"1\r\nxx\r\n", "1\r\nx0\r\n", "1\r\nx\r\r\n",
		"1;" + strings.Repeat("a", maxChunkLineBytes) + "\r\n", strings.Repeat("0", maxChunkLineBytes+1),
	}
	for _, line := range []string{"X Odd: 1", "X-Odd : 1", "X-Odd\x01: 1", ": 1", "no colon", " folded", "\tfolded", "X-Odd: \x01", "X-Odd: a\rb", "X: " + strings.Repeat("a", maxChunkLineBytes)} {
		bodies = append(bodies, "1\r\nx\r\n0\r\n"+line+"\r\n\r\n", "0\r\nX-Sum: 1\r\n"+line+"\r\n")
	}
	for _, body := range bodies {
		for _, partBytes := range []int{1, 7, len(body)} {
			err := checkChunks(body, partBytes)
			assert.True(t, errors.Is(err, ErrInvalidChunks), "%.40q: %v", body, err)
		}
	}
}
