// Package logservice holds the clients of the platform's services: the append-only
// log and the instance list.
package logservice

import "context"

// Record is one entry of the log.
type Record struct {
	Offset int64
	Value  []byte
}

// Bounds are the offsets that a topic holds: First is the oldest kept, Next the one of the next append.
type Bounds struct {
	First int64
	Next  int64
}

// Log is an append-only log service with offsets and limited retention.
type Log interface {
	// Append adds values to the topic and returns the offset of each, in order.
	// An error does not tell whether the append took effect unless it is ErrNotAppended.
	Append(ctx context.Context, topic string, values [][]byte) ([]int64, error)
	// Read returns up to limit records from the offset on; none when the offset is the next one.
	// It returns ErrForgotten when the offset is below Bounds.First.
	Read(ctx context.Context, topic string, offset int64, limit int) ([]Record, error)
	// Bounds returns the offsets that the topic holds.
	Bounds(ctx context.Context, topic string) (Bounds, error)
}

// Instance is an entry of the platform's lagging list.
type Instance struct {
	PeerAddress string // ip:port
	Zone        string
	Leaving     bool
}

// InstanceList is the platform's lagging list of live and leaving instances.
type InstanceList interface {
	Instances(ctx context.Context) ([]Instance, error)
}
