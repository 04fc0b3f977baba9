package configsync

import (
	"strings"

	"github.com/filbertrill/filbertrill/internal/logservice"
)

// Limits of a RecordCache; the oldest records are dropped beyond either of them.
const (
	maxCachedRecords = 512
	maxCachedBytes   = 4 << 20
)

// RecordCache holds the newest records of the log, at consecutive offsets. The zero value
// is an empty cache.
type RecordCache struct {
	records []logservice.Record
	bytes   int
}

// Add appends a record. If its offset does not follow the last one, the cache is cleared first.
func (r *RecordCache) Add(record logservice.Record) {
	if n := len(r.records); n > 0 && record.Offset != r.records[n-1].Offset+1 {
		r.Reset()
	}
	r.records = append(r.records, record)
	r.bytes += len(record.Value)
	for len(r.records) > maxCachedRecords || (r.bytes > maxCachedBytes && len(r.records) > 1) {
		r.bytes -= len(r.records[0].Value)
		r.records = r.records[1:]
	}
}

// Reset drops every record.
func (r *RecordCache) Reset() { r.records, r.bytes = nil, 0 }

// From returns records from the offset on: as many as fit into maxBytes, but at least one.
// It reports false if the record at the offset is not in the cache.
func (r *RecordCache) From(offset int64, maxBytes int) ([]logservice.Record, bool) {
	if len(r.records) == 0 || offset < r.records[0].Offset {
		return nil, false
	}
	first := offset - r.records[0].Offset
	if first >= int64(len(r.records)) {
		return nil, false
	}
	out := r.records[first:]
	size := 0
	for i, record := range out {
		size += len(record.Value)
		if i > 0 && size > maxBytes {
			return out[:i], true
		}
	}
	return out, true
}

// maxDigests is the number of offsets whose digests a DigestHistory holds.
const maxDigests = 1024

// DigestHistory holds the digests of the configuration state at recent offsets.
type DigestHistory struct {
	byOffset map[int64]string
	offsets  []int64
}

// NewDigestHistory returns an empty history.
func NewDigestHistory() *DigestHistory { return &DigestHistory{byOffset: map[int64]string{}} }

// Add stores the digest of the state at an offset, unless there is one for that offset.
func (d *DigestHistory) Add(offset int64, digest string) {
	if _, ok := d.byOffset[offset]; ok {
		return
	}
	d.byOffset[offset] = digest
	d.offsets = append(d.offsets, offset)
	if len(d.offsets) > maxDigests {
		delete(d.byOffset, d.offsets[0])
		d.offsets = d.offsets[1:]
	}
}

// Differs reports whether the digest, or digest prefix, differs from the one stored for the
// offset. It reports false if none is stored.
func (d *DigestHistory) Differs(offset int64, digest string) bool {
	own, ok := d.byOffset[offset]
	return ok && !strings.HasPrefix(own, digest)
}
