// Package logservice implements clients of the platform's services: the append-only
// log and the instance list.
package logservice

import "context"

// Record is one entry of the log.
type Record struct {
	Offset int64
	Value  []byte
}

// Bounds is the range of offsets that a topic retains: First is the offset of the oldest
// record, Next the offset of the next append.
type Bounds struct {
	First int64
	Next  int64
}

// Log is an append-only log service with limited retention.
type Log interface {
	// Append adds values to the topic and returns the offset of each, in order.
	// If the error wraps ErrNotAppended, the append had no effect; after any other error
	// the values may be in the log. Values of more than MaxValueBytes are not appended.
	Append(ctx context.Context, topic string, values [][]byte) ([]int64, error)
	// Read returns up to limit records starting at the offset, and none if the offset is
	// Bounds.Next. The error wraps ErrOffsetExpired if the offset is below Bounds.First. With an error that wraps ErrMoreRecords
	// it returns at least one record.
	Read(ctx context.Context, topic string, offset int64, limit int) ([]Record, error)
	// Bounds returns the range of offsets that the topic retains.
	Bounds(ctx context.Context, topic string) (Bounds, error)
}

// Instance is an entry of the platform's instance list.
type Instance struct {
	PeerAddress string // ip:port
	Zone        string
	Leaving     bool
}

// InstanceList is the platform's list of live and leaving instances.
// Changes are visible in it with a delay.
type InstanceList interface {
	// Instances returns the listed instances.
	Instances(ctx context.Context) ([]Instance, error)
}
