// Package origin remembers which software version of a service began a stream. What two versions write doesn't fit
// together, so a stream may go on only at the version that began it. The package has no clock, socket or lock of its own.
package origin

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/filbertrill/filbertrill/internal/routing"
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

type stream struct {
	version    string
	recordedAt time.Time
}

// NewTable returns a table without streams.
func NewTable() *Table {
	// NewLRU fails only for a size below 1.
	streams, _ := simplelru.NewLRU[uint64, stream](maxStreams, nil)
	return &Table{streams}
}

// Record stores the version of a stream.
func (t *Table) Record(id uint64, version string, now time.Time) {
	t.streams.Add(id, stream{version, now})
}

// Lookup returns the version of a stream. ok is false if it isn't known.
func (t *Table) Lookup(id uint64, now time.Time) (version string, ok bool) {
	s, ok := t.streams.Get(id)
	if !ok || now.Sub(s.recordedAt) > TTL {
		return "", false
	}
	return s.version, true
}

// Versions tracks the software versions of the servers of each service.
type Versions struct {
	services map[string]*serviceVersions
	complete bool // see SetComplete
}

type serviceVersions struct {
	lastSeen map[string]time.Time // by version
	// former is the version that was the only one of a complete list before mixedSince. formerKnown is false if there was none.
	former      string
	formerKnown bool
	mixedSince  time.Time // zero if there is one version
}

// NewVersions returns Versions without services.
func NewVersions() *Versions { return &Versions{services: map[string]*serviceVersions{}} }

// SetComplete states that the servers of the last update, and of all later ones, are all that exist. Before, a single version does
// not count as the only one.
func (v *Versions) SetComplete(now time.Time) {
	v.complete = true
	for _, s := range v.services {
		v.updateService(s, now)
	}
}

// Update records the servers that are known now.
func (v *Versions) Update(servers []routing.Server, now time.Time) {
	for _, server := range servers {
		s, ok := v.services[server.Service]
		if !ok {
			s = &serviceVersions{lastSeen: map[string]time.Time{}}
			v.services[server.Service] = s
		}
		s.lastSeen[server.Version] = now
	}
	for _, s := range v.services {
		v.updateService(s, now)
	}
}

func (v *Versions) updateService(s *serviceVersions, now time.Time) {
	for version, seen := range s.lastSeen {
		if now.Sub(seen) > TTL {
			delete(s.lastSeen, version)
		}
	}
	switch {
	case len(s.lastSeen) > 1 && s.mixedSince.IsZero():
		s.mixedSince = now
	case len(s.lastSeen) == 1:
		s.mixedSince, s.formerKnown = time.Time{}, v.complete
		for version := range s.lastSeen {
			s.former = version
		}
	}
}

// Mixed reports whether servers of several versions of the service are known, or were within TTL.
func (v *Versions) Mixed(service string, now time.Time) bool {
	s, ok := v.services[service]
	if !ok {
		return false
	}
	v.updateService(s, now)
	return len(s.lastSeen) > 1
}

// MixedFor returns for how long the service has been mixed, 0 if it is not.
func (v *Versions) MixedFor(service string, now time.Time) time.Duration {
	s, ok := v.services[service]
	if !ok || s.mixedSince.IsZero() {
		return 0
	}
	return now.Sub(s.mixedSince)
}

// Unrecorded returns the version of a stream that no daemon has recorded. Daemons record streams while a service is mixed,
// so it began before, at the only version. ok is false if that isn't known.
func (v *Versions) Unrecorded(service string, now time.Time) (version string, ok bool) {
	s, known := v.services[service]
	if !known {
		return "", false
	}
	v.updateService(s, now)
	if !s.mixedSince.IsZero() && now.Sub(s.mixedSince) > TTL {
		return "", false
	}
	return s.former, s.formerKnown
}
