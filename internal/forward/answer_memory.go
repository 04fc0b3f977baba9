package forward

import (
	"cmp"
	"io"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

const (
	// answerBufferBytes is the size of the buffer with which an answer begins. It is doubled for longer ones.
	answerBufferBytes = 4 << 10
	// defaultAnswerMemory bounds the buffers of all answers beyond their first size, and their heads, of a daemon without a
	// memory limit. The process may need four times as much: a buffer is copied when it is doubled, and the garbage collector
	// lets the heap double.
	defaultAnswerMemory = 8 << 20
	// smallAnswerBytes is the size up to which a buffer may use all of the memory.
	smallAnswerBytes = 64 << 10
	// largeAnswerShare is the share of the memory up to which larger buffers and heads are given some.
	largeAnswerShare = 0.75
)

// errAnswerMemory ends attempts for which no memory is left.
var errAnswerMemory = errors.New("buffered answers have reached their limit of memory")

// answerMemory is the memory that is in use for answers of servers. Its methods are safe for concurrent use.
type answerMemory struct {
	limit int64 // 0 for defaultAnswerMemory
	used  atomic.Int64
}

// reserve takes n bytes for an answer of up to so many bytes in all. It returns errAnswerMemory if they are not available; nothing
// is taken then.
func (m *answerMemory) reserve(n, all int) error {
	limit := cmp.Or(m.limit, defaultAnswerMemory)
	if all > smallAnswerBytes {
		limit = int64(largeAnswerShare * float64(limit))
	}
	if m.used.Add(int64(n)) > limit {
		m.release(n)
		return errAnswerMemory
	}
	return nil
}

// reserveHead takes n bytes for the head of an answer like reserve does for a large answer.
func (m *answerMemory) reserveHead(n int) error { return m.reserve(n, smallAnswerBytes+1) }

func (m *answerMemory) release(n int) { m.used.Add(-int64(n)) }

// grow returns a copy of the full buffer with twice its capacity. The buffer begins with answerBufferBytes; what it has
// beyond is released with releaseBuffer.
func (m *answerMemory) grow(buffer []byte) ([]byte, error) {
	if err := m.reserve(cap(buffer), 2*cap(buffer)); err != nil {
		return buffer, err
	}
	grown := make([]byte, len(buffer), 2*cap(buffer))
	copy(grown, buffer)
	return grown, nil
}

func (m *answerMemory) releaseBuffer(buffer []byte) { m.release(cap(buffer) - answerBufferBytes) }

// readAll reads to the end like io.ReadAll, but no more than limit bytes. The caller calls releaseBuffer with the result,
// also after an error. It returns an error if there are more bytes than limit.
func (m *answerMemory) readAll(r io.Reader, limit int) ([]byte, error) {
	data := make([]byte, 0, answerBufferBytes)
	for {
		if len(data) == cap(data) {
			var err error
			if data, err = m.grow(data); err != nil {
				return data, err
			}
		}
		n, err := r.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		switch {
		case len(data) > limit:
			return data, errors.Newf("answer is longer than %d bytes", limit)
		case errors.Is(err, io.EOF):
			return data, nil
		case err != nil:
			return data, err
		}
	}
}
