package upstream

import "io"

const (
	// headFieldBytes is the memory of a header field beside its name and value while an answer is in progress. The decoded
	// head, the head for the caller and the copy that package http makes of it have an entry for each field.
	headFieldBytes = 320
	// freeHeadBytes is the memory of heads on a connection for which nothing is reserved. Heads of usual size take less.
	freeHeadBytes = 12 << 10
)

// headReader reads from a connection and reserves the memory of heads while they are read.
type headReader struct {
	reader    io.Reader
	reserve   func(bytes int) error // nil for no limit
	inHead    bool
	lineBytes int // of the current line, without its end
	bytes     int // memory of all heads since ReserveHeads
	reserved  int
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
	r.inHead, r.lineBytes = true, 0
	return r.count(buffered)
}

// Read implements io.Reader.
func (r *headReader) Read(p []byte) (int, error) {
	n, err := r.reader.Read(p)
	if countErr := r.count(p[:n]); countErr != nil {
		return 0, countErr
	}
	return n, err
}

// count reserves the memory of the part of data that belongs to the head.
func (r *headReader) count(data []byte) error {
	for _, b := range data {
		if !r.inHead {
			break
		}
		r.bytes++
		switch b {
		case '\n':
			r.bytes += headFieldBytes
			r.inHead = r.lineBytes > 0
			r.lineBytes = 0
		case '\r':
		default:
			r.lineBytes++
		}
	}
	missing := r.bytes - freeHeadBytes - r.reserved
	if r.reserve == nil || missing <= 0 {
		return nil
	}
	if err := r.reserve(missing); err != nil {
		return err
	}
	r.reserved += missing
	return nil
}
