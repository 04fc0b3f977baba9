package configsync

import (
	"strings"

	"github.com/filbertrill/filbertrill/internal/logservice"
)

// Limits of a Ring.
const (
	maxCachedRecords = 512
	maxCachedBytes   = 4 << 20
)

// Ring keeps the newest records, without gaps.
type RecordCache struct {
	records []logservice.Record
	bytes   int
}

// Add keeps a record. One that does not follow the last starts the ring anew.
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

// From returns records from the offset on, up to maxBytes but at least one. It reports
// false when the offset is no longer kept.
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

// digestsKept is how many offsets a Digests remembers.
const maxDigests = 1024

// Digests remembers the digest of the state at recent offsets.
type DigestHistory struct {
	byOffset map[int64]string
	offsets  []int64
}

// NewDigests returns an empty memory.
func NewDigestHistory() *DigestHistory { return &DigestHistory{byOffset: map[int64]string{}} }

// Add remembers the digest of the state at an offset.
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

// Differs reports whether a digest, or a leading part of one, is known to be wrong at the offset.
func (d *DigestHistory) Differs(offset int64, digest string) bool {
	own, ok := d.byOffset[offset]
	return ok && !strings.HasPrefix(own, digest)
}
