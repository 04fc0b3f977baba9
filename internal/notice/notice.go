// Package notice holds what backend servers say of themselves in their answers to this daemon: that they leave, or that they
// want no requests for a while. The package has no clock, socket or lock of its own.
package notice

import "time"

const (
	// maxPause bounds the pause that a server can ask for at once.
	maxPause = 24 * time.Hour
	// retention is how long the notices of a process are kept that is no longer listed. It may be listed again.
	retention = maxPause
)

// Server identifies a process of a backend server.
type Server struct {
	Identity uint64 // hash of the ID and the incarnation
	// HasIncarnation is false if the next process at the ID has the same identity.
	HasIncarnation bool
}

// Notice is what one process of a server has said.
type Notice struct {
	LeavingSince time.Time // zero if it doesn't leave
	PausedSince  time.Time
	PausedUntil  time.Time // zero if it has not asked for a pause
}

// Registry holds notices by identity of the server, which a new process at its ID doesn't share. It is not safe for concurrent
// use.
type Registry struct {
	notices map[uint64]*entry
}

type entry struct {
	Notice
	recordedAt time.Time // of the last notice
	listed     bool

	hasIncarnation bool
}

// NewRegistry returns a Registry without notices.
func NewRegistry() *Registry { return &Registry{notices: make(map[uint64]*entry)} }

// SetServers replaces the listed servers. It forgets the notices of servers that are no longer listed and whose next process
// has the same identity.
func (r *Registry) SetServers(listed []Server) {
	for _, n := range r.notices {
		n.listed = false
	}
	for _, server := range listed {
		if n, ok := r.notices[server.Identity]; ok {
			n.listed, n.hasIncarnation = true, server.HasIncarnation
		}
	}
	for server, n := range r.notices {
		if !n.listed && !n.hasIncarnation {
			delete(r.notices, server)
		}
	}
}

// expire forgets the notices of processes that have not been listed for long.
func (r *Registry) expire(now time.Time) {
	for server, n := range r.notices {
		if !n.listed && now.Sub(n.recordedAt) > retention {
			delete(r.notices, server)
		}
	}
}

// RecordLeaving records that the server says that it leaves.
func (r *Registry) RecordLeaving(server uint64, now time.Time) {
	if n := r.notice(server, now); n.LeavingSince.IsZero() {
		n.LeavingSince = now
	}
}

// RecordPause records that the server wants no requests of this daemon for so long.
func (r *Registry) RecordPause(server uint64, pause time.Duration, now time.Time) {
	n := r.notice(server, now)
	if !n.paused(now) {
		n.PausedSince = now
	}
	if until := now.Add(min(pause, maxPause)); until.After(n.PausedUntil) {
		n.PausedUntil = until
	}
}

func (r *Registry) notice(server uint64, now time.Time) *entry {
	n, ok := r.notices[server]
	if !ok {
		r.expire(now)
		n = &entry{listed: true, hasIncarnation: true}
		r.notices[server] = n
	}
	n.recordedAt = now
	return n
}

func (n *Notice) paused(now time.Time) bool { return now.Before(n.PausedUntil) }

// Available reports whether the server takes requests.
func (r *Registry) Available(server uint64, now time.Time) bool {
	n, ok := r.notices[server]
	return !ok || (n.LeavingSince.IsZero() && !n.paused(now))
}

// Current returns what the server has said and still holds. ok is false if it is nothing.
func (r *Registry) Current(server uint64, now time.Time) (current Notice, ok bool) {
	n, ok := r.notices[server]
	if !ok {
		return Notice{}, false
	}
	current = n.Notice
	if !n.paused(now) {
		current.PausedSince, current.PausedUntil = time.Time{}, time.Time{}
	}
	return current, current != Notice{}
}
