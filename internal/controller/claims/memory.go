package claims

import (
	"context"
	"sync"

	"github.com/filbertrill/filbertrill/internal/logservice"
)

// maxMemoryRecords is the number of records that a MemoryLog retains.
const maxMemoryRecords = 1024

// MemoryLog is an in-memory log of one daemon, for keys that the daemon issued itself. It is lost
// when the process ends. It retains only the most recent records, because its only reader keeps
// up with the appends.
type MemoryLog struct {
	mu      sync.Mutex
	first   int64
	records [][]byte
}

var _ logservice.Log = (*MemoryLog)(nil)

// Append appends the values and returns their offsets. It never fails.
func (l *MemoryLog) Append(_ context.Context, _ string, values [][]byte) ([]int64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	offsets := make([]int64, len(values))
	for i, value := range values {
		offsets[i] = l.first + int64(len(l.records))
		l.records = append(l.records, value)
	}
	if surplus := len(l.records) - maxMemoryRecords; surplus > 0 {
		l.records = append([][]byte(nil), l.records[surplus:]...)
		l.first += int64(surplus)
	}
	return offsets, nil
}

// Read returns up to limit records from the offset on. It returns an error if the record at the
// offset is no longer retained.
func (l *MemoryLog) Read(_ context.Context, _ string, offset int64, limit int) ([]logservice.Record, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if offset < l.first {
		return nil, logservice.ErrOffsetExpired
	}
	var out []logservice.Record
	for i := offset - l.first; i < int64(len(l.records)) && len(out) < limit; i++ {
		out = append(out, logservice.Record{Offset: l.first + i, Value: l.records[i]})
	}
	return out, nil
}

// Bounds returns the offsets of the first retained record and of the next append.
func (l *MemoryLog) Bounds(context.Context, string) (logservice.Bounds, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return logservice.Bounds{First: l.first, Next: l.first + int64(len(l.records))}, nil
}
