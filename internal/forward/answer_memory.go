package forward

import (
	"io"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

const (
	// answerBufferBytes is the size of the buffer with which an answer begins. It is doubled for longer ones.
	answerBufferBytes = 4 << 10
	// maxAnswerMemory bounds the buffers of all answers beyond their first size. The process may need four times as
	// much: a buffer is copied when it is doubled, and the garbage collector lets the heap double.
	maxAnswerMemory = 8 << 20
)

// errAnswerMemory ends attempts for which no memory is left.
var errAnswerMemory = errors.New("buffered answers have reached their limit of memory")

// answerMemory is the memory that is in use for answers of servers.
type answerMemory struct{ used atomic.Int64 }

// reserve takes n bytes. It returns errAnswerMemory if they are not available; nothing is taken then.
func (m *answerMemory) reserve(n int) error {
	if m.used.Add(int64(n)) > maxAnswerMemory {
		m.release(n)
		return errAnswerMemory
	}
	return nil
}

func (m *answerMemory) release(n int) { m.used.Add(-int64(n)) }

// grow returns a copy of the full buffer with twice its capacity. The buffer begins with answerBufferBytes; what it has
// beyond is released with releaseBuffer.
func (m *answerMemory) grow(buffer []byte) ([]byte, error) {
	if err := m.reserve(cap(buffer)); err != nil {
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
