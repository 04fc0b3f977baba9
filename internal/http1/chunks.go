package http1

import (
	"bytes"

	"github.com/cockroachdb/errors"
)

// ErrInvalidChunks marks errors for bodies whose chunks or trailer are not valid.
var ErrInvalidChunks = errors.New("chunks of the answer are not valid")

const (
	// maxChunkLineBytes limits the size line of a chunk, and a line of a trailer. net/http reads no longer size lines.
	maxChunkLineBytes = 4 << 10
	// maxPaddedDigits is what a chunk's size has, with leading zeros. net/http reads no more.
	maxPaddedDigits = 16
	// maxSizeDigits is what it has without them. Sizes fit into an int64.
	maxSizeDigits = 15
)

type chunkPart int

const (
	sizeLine chunkPart = iota
	chunkData
	chunkEnd // empty line behind the data
	trailerLine
	behindChunks
)

// ChunkChecker checks the chunks and the trailer of a body as they arrive (RFC 9112, section 7.1). net/http tolerates control characters in
// the extensions of a chunk, and names in a trailer that are no tokens. The zero value is at the start of a body. It keeps an incomplete line only.
type ChunkChecker struct {
	part    chunkPart
	partial []byte // line without its end
	left    int64  // bytes of the chunk's data
}

// Check reads the next bytes of a body. It ignores what follows the body. Errors are marked ErrInvalidChunks.
func (c *ChunkChecker) Check(p []byte) error {
	for len(p) > 0 && c.part != behindChunks {
		if c.part == chunkData {
			n := min(c.left, int64(len(p)))
			p, c.left = p[n:], c.left-n
			if c.left == 0 {
				c.part = chunkEnd
			}
			continue
		}
		end := bytes.IndexByte(p, '\n')
		line := p
		if end >= 0 {
			line = p[:end]
		}
		if len(c.partial)+len(line) > maxChunkLineBytes {
			return errors.Mark(errors.New("line of a chunk or a trailer is too long"), ErrInvalidChunks)
		}
		if end < 0 {
			c.partial = append(c.partial, line...)
			return nil
		}
		p = p[end+1:]
		if len(c.partial) > 0 {
			line = append(c.partial, line...)
			c.partial = nil
		}
		if err := c.checkLine(bytes.TrimSuffix(line, []byte("\r"))); err != nil {
			return errors.Mark(err, ErrInvalidChunks)
		}
	}
	return nil
}

// checkLine checks a line without its end.
func (c *ChunkChecker) checkLine(line []byte) error {
	switch {
	case c.part == sizeLine:
		return c.checkSize(line)
	case c.part == chunkEnd && len(line) > 0:
		return errors.Newf("%.64q is behind the data of a chunk", line)
	case c.part == chunkEnd:
		c.part = sizeLine
	case len(line) == 0:
		c.part = behindChunks
	default:
		_, _, err := parseField(line)
		return err
	}
	return nil
}

// checkSize checks "size *( ; extension )". Blanks before an extension are accepted, as the RFC obliges.
func (c *ChunkChecker) checkSize(line []byte) error {
	digits, extension, extended := bytes.Cut(line, []byte(";"))
	if extended {
		digits = bytes.TrimRight(digits, " \t")
	}
	if len(digits) == 0 || len(digits) > maxPaddedDigits || len(bytes.TrimLeft(digits, "0")) > maxSizeDigits || !isFieldText(extension) {
		return errors.Newf("line %.64q has no valid size of a chunk", line)
	}
	size := int64(0)
	for _, b := range digits {
		digit := bytes.IndexByte([]byte("0123456789abcdef"), b|0x20)
		if digit < 0 || b < '0' {
			return errors.Newf("line %.64q has no valid size of a chunk", line)
		}
		size = size<<4 | int64(digit)
	}
	c.part, c.left = chunkData, size
	if size == 0 {
		c.part = trailerLine
	}
	return nil
}
