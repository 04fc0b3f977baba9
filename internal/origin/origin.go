// Package origin remembers which software version of a service began a stream, and which versions streams may have begun at.
// What two versions write doesn't fit together, so a stream may go on only at the version that began it. The package has no
// clock, socket or lock of its own.
package origin

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// TTL is the time for which the version of a stream, and versions that are no longer in use, are remembered. It is
	// longer than a stream lasts with all attempts of its caller.
	TTL = 5 * time.Minute
	// maxStreams bounds the streams that are remembered.
	maxStreams = 1 << 15
)

// Table holds the versions of streams, the least recent of which it forgets first. A stream is identified by a hash of the
// ID of the attempt that brought its first event.
type Table struct {
	streams *simplelru.LRU[uint64, stream]
}

// Key identifies a version of a service.
type Key struct{ Service, Version string }

type stream struct {
	Key
	own         bool // this daemon recorded it first
	conflicting bool // two versions were recorded
	recordedAt  time.Time
}

// NewTable returns a table without streams.
func NewTable() *Table {
	// NewLRU fails only for a size below 1.
	streams, _ := simplelru.NewLRU[uint64, stream](maxStreams, nil)
	return &Table{streams}
}

// Record stores the version of a stream that a peer has reported.
func (t *Table) Record(id uint64, key Key, now time.Time) {
	t.add(id, stream{Key: key, recordedAt: now})
}

// RecordOwn stores the version of a stream of this daemon.
func (t *Table) RecordOwn(id uint64, key Key, now time.Time) {
	t.add(id, stream{Key: key, own: true, recordedAt: now})
}

// RecordConflict stores that the version of a stream can't be determined.
func (t *Table) RecordConflict(id uint64, now time.Time) {
	t.add(id, stream{conflicting: true, recordedAt: now})
}

func (t *Table) add(id uint64, s stream) {
	if known, ok := t.lookup(id, s.recordedAt); ok {
		s.conflicting = s.conflicting || known.conflicting || known.Key != s.Key
		s.own = s.own || known.own
	}
	t.streams.Add(id, s)
}

func (t *Table) lookup(id uint64, now time.Time) (stream, bool) {
	s, ok := t.streams.Get(id)
	return s, ok && now.Sub(s.recordedAt) <= TTL
}

// Lookup returns the version of a stream. known is false if nothing is recorded. conflicting is true, without a version, if two
// versions were recorded: attempts at several daemons had the same ID.
func (t *Table) Lookup(id uint64, now time.Time) (key Key, known, conflicting bool) {
	s, ok := t.lookup(id, now)
	if !ok || s.conflicting {
		return Key{}, ok, ok
	}
	return s.Key, true, false
}

// Own returns the streams of this daemon that began at the service, by ID. An empty service stands for all.
func (t *Table) Own(service string, now time.Time) map[uint64]Key {
	keys := make(map[uint64]Key)
	for _, id := range t.streams.Keys() {
		s, ok := t.streams.Peek(id)
		if ok && s.own && !s.conflicting && (service == "" || s.Service == service) && now.Sub(s.recordedAt) <= TTL {
			keys[id] = s.Key
		}
	}
	return keys
}
