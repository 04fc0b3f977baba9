package origin

import (
	"cmp"
	"slices"
	"time"

	"github.com/filbertrill/filbertrill/internal/routing"
)

const (
	// MaxListAge is the age of the list of servers up to which the only version in it is known to be the only one, and the longest
	// time between two lists in which a version may come and leave unseen.
	MaxListAge = 2500 * time.Millisecond
	// BeginDelay is the time after the first sight of a second version of a service for which no stream begins at it. A daemon
	// that draws conclusions then has a list with this version. A list may be older than it seems by as much as MaxListAge: a
	// daemon that stood still reads messages of before.
	BeginDelay = 2 * MaxListAge
	// savedTTL is the time for which a version stays in the store after its last server was listed. It is longer than TTL, after
	// which daemons don't count it as saved any more.
	savedTTL = TTL + time.Minute
)

// Versions tracks the software versions of each service at which streams may have begun within TTL: those of the servers that
// are listed, and those that are saved in the store. A version is saved before streams begin at it while there is
// another one, and soon after its first sight otherwise. A daemon that knows what is saved, and has followed the list since,
// knows all of them. So does one that has followed the list for longer than TTL.
type Versions struct {
	services map[string]map[string]*Use // by service and version
	listed   map[string]map[string]bool // by service: versions of ready servers
	complete bool                       // all of them are known
	listAsOf time.Time                  // of the newest list
	since    time.Time                  // of the first list since which there was no gap longer than MaxListAge
}

// Use tells how a version of a service is used.
type Use struct {
	Service, Version string
	FirstSeen        time.Time // since it was last missing in the list
	LastSeen         time.Time
	Saved            bool // in the store

	missing bool // in the last list
	initial bool // first seen while this daemon didn't know what is saved: peers may have seen it before
}

// NewVersions returns Versions without services.
func NewVersions() *Versions {
	return &Versions{services: make(map[string]map[string]*Use), listed: make(map[string]map[string]bool)}
}

// SetListAge records as of when the list of servers was complete. If there was no complete list for longer than MaxListAge before,
// streams may have begun at versions that came and left meanwhile: what is saved must be read again.
func (v *Versions) SetListAge(asOf time.Time) {
	if asOf.Sub(v.listAsOf) > MaxListAge {
		v.complete, v.since = false, asOf
	}
	if asOf.After(v.listAsOf) {
		v.listAsOf = asOf
	}
	if asOf.Sub(v.since) > TTL+BeginDelay {
		v.complete = true
	}
}

// Update records the servers that are known now. It returns the services that have several versions since this update.
func (v *Versions) Update(servers []routing.Server, now time.Time) (mixed []string) {
	before := make(map[string]bool)
	for service := range v.services {
		uses := v.inUse(service, now)
		before[service] = len(uses) > 1
		if len(uses) == 1 && v.complete { // streams have begun at it
			uses[0].FirstSeen = now.Add(-BeginDelay)
		}
	}
	wasMissing := v.setMissing()
	clear(v.listed)
	for _, server := range servers {
		use := v.use(server.Service, server.Version, now)
		if wasMissing[use] {
			use.FirstSeen = now
		}
		use.LastSeen, use.missing = now, false
		if server.Usable() {
			if v.listed[server.Service] == nil {
				v.listed[server.Service] = make(map[string]bool)
			}
			v.listed[server.Service][server.Version] = true
		}
	}
	for service := range v.services {
		if v.Mixed(service, now) && !before[service] {
			mixed = append(mixed, service)
		}
	}
	return mixed
}

// setMissing marks all versions as missing in the list, and returns those that were before.
func (v *Versions) setMissing() map[*Use]bool {
	before := make(map[*Use]bool)
	for _, uses := range v.services {
		for _, use := range uses {
			if use.missing {
				before[use] = true
			}
			use.missing = true
		}
	}
	return before
}

// use returns the entry of a version. One that was not in use within TTL counts as seen for the first time.
func (v *Versions) use(service, version string, now time.Time) *Use {
	uses, ok := v.services[service]
	if !ok {
		uses = make(map[string]*Use)
		v.services[service] = uses
	}
	use, ok := uses[version]
	if !ok || now.Sub(use.LastSeen) > TTL {
		use = &Use{Service: service, Version: version, FirstSeen: now, LastSeen: now, initial: !v.complete}
		uses[version] = use
	}
	return use
}

// inUse returns the versions of the service that were in use within TTL.
func (v *Versions) inUse(service string, now time.Time) []*Use {
	uses := make([]*Use, 0, len(v.services[service]))
	for version, use := range v.services[service] {
		if now.Sub(use.LastSeen) > TTL {
			delete(v.services[service], version)
			continue
		}
		uses = append(uses, use)
	}
	return uses
}

// Merge adds what a peer or the store reports. complete states that the reported versions include all that are saved.
func (v *Versions) Merge(reported []Use, complete bool, now time.Time) {
	for _, r := range reported {
		if now.Sub(r.LastSeen) > TTL {
			continue
		}
		use := v.use(r.Service, r.Version, now)
		if use.initial && r.FirstSeen.Before(use.FirstSeen) {
			use.FirstSeen = r.FirstSeen
		}
		if r.LastSeen.After(use.LastSeen) {
			use.LastSeen = r.LastSeen
		}
		use.Saved = use.Saved || r.Saved
	}
	v.complete = v.complete || complete
}

// All returns the versions in use, ordered by service and version, and whether they are all at which streams have begun.
func (v *Versions) All(now time.Time) (uses []Use, complete bool) {
	for service := range v.services {
		for _, use := range v.inUse(service, now) {
			uses = append(uses, *use)
		}
	}
	slices.SortFunc(uses, func(a, b Use) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Version, b.Version))
	})
	return uses, v.complete && now.Sub(v.listAsOf) <= MaxListAge
}

// SetSaved records that the version is in the store, or is no longer.
func (v *Versions) SetSaved(service, version string, saved bool) {
	if use, ok := v.services[service][version]; ok {
		use.Saved = saved
	}
}

// SetAllSaved records that the versions in saved are in the store, and no others.
func (v *Versions) SetAllSaved(saved Saved) {
	for _, uses := range v.services {
		for _, use := range uses {
			_, use.Saved = saved[Key{use.Service, use.Version}]
		}
	}
}

// Mixed reports whether several versions of the service are in use.
func (v *Versions) Mixed(service string, now time.Time) bool { return len(v.inUse(service, now)) > 1 }

// Only returns the version at which all streams of the service have begun. ok is false if there are several, or if there may be
// others that this daemon doesn't know.
func (v *Versions) Only(service string, now time.Time) (version string, ok bool) {
	uses := v.inUse(service, now)
	if len(uses) != 1 || !v.complete || now.Sub(v.listAsOf) > MaxListAge {
		return "", false
	}
	return uses[0].Version, true
}

// Excluded returns the versions of the service at which no stream may begin yet, because daemons may not know them. The only one
// may be used if it is known to be that. Versions that are not saved are excluded while another one may be used. If servers are ready of
// unsaved ones only, the one that was seen first may be used.
func (v *Versions) Excluded(service string, now time.Time) (versions []string) {
	if v.complete && len(v.services[service]) < 2 {
		return nil
	}
	uses := v.inUse(service, now)
	if v.complete && len(uses) < 2 {
		return nil
	}
	var unsaved []*Use
	usable := false
	for _, use := range uses {
		switch {
		case now.Sub(use.FirstSeen) < BeginDelay:
			versions = append(versions, use.Version)
		case !use.Saved:
			unsaved = append(unsaved, use)
		default:
			usable = usable || v.listed[service][use.Version]
		}
	}
	slices.SortFunc(unsaved, func(a, b *Use) int {
		return cmp.Or(a.FirstSeen.Compare(b.FirstSeen), cmp.Compare(a.Version, b.Version))
	})
	for _, use := range unsaved {
		if !usable && v.listed[service][use.Version] {
			usable = true
			continue
		}
		versions = append(versions, use.Version)
	}
	return versions
}

// AllExcluded reports whether the service has ready servers, all of excluded versions.
func (v *Versions) AllExcluded(service string, now time.Time) bool {
	excluded := v.Excluded(service, now)
	if len(excluded) == 0 || len(v.listed[service]) == 0 {
		return false
	}
	for version := range v.listed[service] {
		if !slices.Contains(excluded, version) {
			return false
		}
	}
	return true
}

// Unsaved returns the versions of the services that should be saved, and reports whether a stream waits for it.
func (v *Versions) Unsaved(services map[string]bool, now time.Time) (uses []Use, waiting bool) {
	for service := range services {
		all := v.inUse(service, now)
		for _, use := range all {
			if !use.Saved {
				uses = append(uses, *use)
				waiting = waiting || len(all) > 1 && v.listed[service][use.Version]
			}
		}
	}
	return uses, waiting
}

// Saved is what a daemon that writes to the store knows of the versions in it: when they were last in use.
type Saved map[Key]time.Time

// Expired returns the saved versions that are to be removed from the store. It updates when versions were last in use.
func (s Saved) Expired(uses []Use, now time.Time) []Key {
	for _, use := range uses {
		key := Key{use.Service, use.Version}
		if last, ok := s[key]; ok && use.LastSeen.After(last) {
			s[key] = use.LastSeen
		}
	}
	var expired []Key
	for key, last := range s {
		if now.Sub(last) > savedTTL {
			expired = append(expired, key)
		}
	}
	return expired
}
