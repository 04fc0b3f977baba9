package platform

import "github.com/cockroachdb/errors"

var (
	// ErrForgotten says that the offset is below the topic's first kept record.
	ErrForgotten = errors.New("offset is below the first kept record")

	// ErrNotAppended says that the append surely had no effect.
	ErrNotAppended = errors.New("append had no effect")
)
