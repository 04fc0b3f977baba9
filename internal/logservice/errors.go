package logservice

import (
	"fmt"

	"github.com/cockroachdb/errors"
)

var (
	// ErrForgotten says that the offset is below the topic's first kept record.
	ErrOffsetExpired = errors.New("offset is below the first kept record")

	// ErrNotAppended says that the append surely had no effect.
	ErrNotAppended = errors.New("append had no effect")
)

// as returns an error that is both the sentinel and its cause, also for the
// standard library's errors.Is, which does not see marks.
func wrapSentinel(sentinel, cause error) error {
	return fmt.Errorf("%w: %w", sentinel, cause)
}
