package logservice

import (
	"fmt"

	"github.com/cockroachdb/errors"
)

var (
	// ErrOffsetExpired means that the record at the offset is no longer retained:
	// the offset is below the topic's first offset.
	ErrOffsetExpired = errors.New("offset is below the first retained record")

	// ErrMoreRecords means that the records of a read are valid, but it may have ended before the limit and before the end of the
	// log, since they are too large.
	ErrMoreRecords = errors.New("more records follow")

	// ErrNotAppended means that the append definitely had no effect, so that it is safe to retry.
	ErrNotAppended = errors.New("append had no effect")
)

// wrapSentinel returns an error that wraps both the sentinel and its cause. Unlike
// errors.Mark of cockroachdb/errors, it works with the standard library's errors.Is.
func wrapSentinel(sentinel, cause error) error {
	return fmt.Errorf("%w: %w", sentinel, cause)
}
