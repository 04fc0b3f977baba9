package upstream

import (
	"bytes"
	"io"

	"github.com/filbertrill/filbertrill/internal/http1"
)

const (
	// headFieldBytes is the memory of a header field beside its name and value while an answer is in progress. The decoded
	// head, the head for the caller and the copy that package http makes of it have an entry for each field.
	headFieldBytes = 320
	// freeHeadBytes is the memory of heads on a connection for which nothing is reserved. Heads of usual size take less.
	freeHeadBytes = 12 << 10
)

// headReader reads from a connection. While it reads heads it checks them and reserves their memory. It checks the chunks of bodies behind them.
type headReader struct {
	reader   io.Reader
	reserve  func(bytes int) error // nil for no limit
	method   string                // of the request
	inHead   bool
	checker  http1.HeadChecker
	chunks   *http1.ChunkChecker // of the body; nil if it has none
	bytes    int                 // memory of all heads since ReserveHeads
	err      error               // of a head or of chunks, for all further reads: a bufio.Reader drops an error that it gets within a line, and reads on
	reserved int
}

// ReserveHeads makes Receive call reserve for the memory of heads beyond 12 KiB while it reads them, and fail with its error.
// The caller ends it with ReleaseHeads.
func (c *Conn) ReserveHeads(reserve func(bytes int) error) { c.heads.reserve = reserve }

// ReleaseHeads ends ReserveHeads. It returns the reserved bytes.
func (c *Conn) ReleaseHeads() int {
	reserved := c.heads.reserved
	c.heads.reserve, c.heads.bytes, c.heads.reserved = nil, 0, 0
	return reserved
}

// begin starts the next head, which begins with the buffered bytes.
func (r *headReader) begin(buffered []byte) error {
	r.inHead, r.checker, r.chunks = true, http1.HeadChecker{}, nil
	return r.count(buffered)
}

// Read implements io.Reader.
func (r *headReader) Read(p []byte) (int, error) {
	if r.err != nil {
		return 0, r.err
	}
	n, err := r.reader.Read(p)
	if r.err = r.count(p[:n]); r.err != nil {
		return 0, r.err
	}
	return n, err
}

// count checks the part of data that belongs to the head, and reserves its memory.
func (r *headReader) count(data []byte) error {
	if !r.inHead {
		return r.checkBody(data)
	}
	n, complete, err := r.checker.Check(data)
	if err != nil {
		return err
	}
	if r.inHead = !complete; complete && r.checker.Chunked() && http1.MayHaveBody(r.method, r.checker.Status()) {
		r.chunks = &http1.ChunkChecker{}
		if err := r.checkBody(data[n:]); err != nil {
			return err
		}
	}
	r.bytes += n + headFieldBytes*bytes.Count(data[:n], []byte("\n"))
	missing := r.bytes + r.checker.Buffered() - freeHeadBytes - r.reserved
	if r.reserve == nil || missing <= 0 {
		return nil
	}
	if err := r.reserve(missing); err != nil {
		return err
	}
	r.reserved += missing
	return nil
}

// checkBody checks data behind a head.
func (r *headReader) checkBody(data []byte) error {
	if r.chunks == nil {
		return nil
	}
	return r.chunks.Check(data)
}
