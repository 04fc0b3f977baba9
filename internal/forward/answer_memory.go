package forward

import (
	"io"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// maxAnswerMemory bounds the answers that are buffered at a time, and the events that haven't ended, of all requests. It
// is a quarter of the least memory that a daemon has.
const maxAnswerMemory = 16 << 20

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

// readAll reads to the end like io.ReadAll, but no more than limit bytes, and reserves what it reads. The caller releases
// the length of the result, also after an error. It returns an error if there are more bytes than limit.
func (m *answerMemory) readAll(r io.Reader, limit int) ([]byte, error) {
	var data []byte
	chunk := make([]byte, 4<<10)
	for {
		n, err := r.Read(chunk)
		if len(data)+n > limit {
			return data, errors.Newf("answer is longer than %d bytes", limit)
		}
		if reserveErr := m.reserve(n); reserveErr != nil {
			return data, reserveErr
		}
		data = append(data, chunk[:n]...)
		if errors.Is(err, io.EOF) {
			return data, nil
		}
		if err != nil {
			return data, err
		}
	}
}
