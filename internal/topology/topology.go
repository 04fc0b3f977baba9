// Package topology holds the configuration and the backend servers that a daemon uses, as read
// from a store and received from peers. An older version never replaces a newer one.
package topology

import (
	"bytes"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/filbertrill/filbertrill/internal/routing"
)

// KnownServer is a backend server with its record.
type KnownServer struct {
	Server       routing.Server
	Record       []byte    // as read from the store; sent to peers
	source       string    // ID of the peer that the record came from; empty for the store
	recordedAt   time.Time // when this daemon first received the record
	missingSince time.Time // when a listing first lacked the server; zero while it is listed
}

// State holds the configuration in force and the backend servers. Its methods are safe for
// concurrent use.
type State struct {
	config      atomic.Pointer[storedConfig]
	evacuations atomic.Pointer[Evacuations] // nil while none are known
	onChange    func()                      // called after each change, without the lock

	mu          sync.Mutex
	servers     map[string]*KnownServer
	digest      uint64              // see Digest; kept current, since it is compared with each state of a peer
	buckets     [BucketCount]uint64 // see BucketDigests
	withdrawals map[string]Withdrawal
	lastListed  map[string]time.Time // by server: time of the latest listing of the store that contained it
	batches     int                  // calls of Batch in progress
	changed     bool                 // during a batch
}

type storedConfig struct {
	*routing.Config
	record Record
}

// Withdrawal states that an incarnation of a backend server takes no new requests. It covers the
// records of the incarnation up to the sequence number, and those of earlier incarnations, which have ended.
type Withdrawal struct {
	ID          string
	Incarnation int64
	Sequence    int64
	FirstSeen   time.Time // when the first daemon received it; peers pass it on unchanged
}

// covers reports whether the withdrawal covers the record of the incarnation with the sequence number.
func (w Withdrawal) covers(incarnation, sequence int64) bool {
	return incarnation < w.Incarnation || (incarnation == w.Incarnation && sequence <= w.Sequence)
}

const (
	// withdrawalTTL is the time after which a withdrawal expires. By then a draining server has
	// stopped, and no older record of it is still read.
	withdrawalTTL = 60 * time.Second
	// withdrawalAdvertiseTTL is how long a withdrawal is sent to peers: longer than daemons are
	// expected to be paused or partitioned. It has to be less than withdrawalTTL: otherwise
	// daemons would return withdrawals to peers where they have already expired.
	withdrawalAdvertiseTTL = 10 * time.Second
	// listingOverrideDelay is the age from which a withdrawal is overridden by a listing of the
	// store: more than the 3 s by which reads from the store may be stale.
	listingOverrideDelay = 5 * time.Second
)

// BucketCount is the number of buckets in which two daemons compare their lists of servers. With 3,000 servers a difference
// in one of them costs a request of 2 KB and an answer of 12 records, instead of the whole list.
const BucketCount = 256

// bucketOf returns the number of the bucket of the server.
func bucketOf(id string) uint32 { return uint32(xxhash.Sum64String(id) % BucketCount) }

// NewState returns an empty state. onChange is called after each change.
func NewState(onChange func()) *State {
	return &State{
		onChange:    onChange,
		servers:     make(map[string]*KnownServer),
		withdrawals: make(map[string]Withdrawal),
		lastListed:  make(map[string]time.Time),
	}
}

// Config returns the configuration in force, or nil if there is none yet.
func (s *State) Config() *routing.Config {
	if stored := s.config.Load(); stored != nil {
		return stored.Config
	}
	return nil
}

// ConfigRecord returns the store's record of the configuration in force; empty if there is none.
func (s *State) ConfigRecord() (key string, value []byte) {
	if stored := s.config.Load(); stored != nil {
		return stored.record.Key, stored.record.Value
	}
	return "", nil
}

// HasConfig reports whether the record is that of the configuration in force.
func (s *State) HasConfig(record Record) bool {
	stored := s.config.Load()
	return stored != nil && stored.record.Key == record.Key && bytes.Equal(stored.record.Value, record.Value)
}

// HasServer reports whether the record is the one that a ready server was decoded from, so that
// applying it again would change nothing.
func (s *State) HasServer(record Record) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	known, ok := s.servers[record.Key]
	_, withdrawn := s.withdrawals[record.Key]
	return ok && !withdrawn && known.Server.State == routing.Ready && known.Record != nil && bytes.Equal(known.Record, record.Value)
}

// Batch calls apply and reports all its changes by one call of onChange at its end. Passing on a list of servers takes
// time in proportion to its length, so that the cost of a list that is applied one by one is quadratic.
func (s *State) Batch(apply func()) {
	s.mu.Lock()
	s.batches++
	s.mu.Unlock()
	apply()
	s.mu.Lock()
	s.batches--
	due := s.batches == 0 && s.changed
	s.changed = s.changed && !due
	s.mu.Unlock()
	if due {
		s.onChange()
	}
}

// notify reports a change, at the end of the batch if there is one. The caller does not hold the lock.
func (s *State) notify() {
	s.mu.Lock()
	deferred := s.batches > 0
	s.changed = s.changed || deferred
	s.mu.Unlock()
	if !deferred {
		s.onChange()
	}
}

// SetConfig replaces the configuration if the new one has a higher version. It reports whether
// it did.
func (s *State) SetConfig(config *routing.Config, record Record) bool {
	next := &storedConfig{config, record}
	for {
		old := s.config.Load()
		if old != nil && old.Version >= config.Version {
			return false
		}
		if s.config.CompareAndSwap(old, next) {
			s.notify()
			return true
		}
	}
}

// SetServer stores a record of a backend server, unless a newer record is known or the server
// was removed and its withdrawal covers the record. A known server whose withdrawal covers the
// record is set to draining. SetServer reports whether something changed that is used, see identity.
func (s *State) SetServer(server routing.Server, record []byte, now time.Time) bool {
	return s.setServer(server, record, "", now)
}

// setServer is SetServer with the ID of the peer that the record came from, empty for the store.
func (s *State) setServer(server routing.Server, record []byte, source string, now time.Time) bool {
	s.mu.Lock()
	old, ok := s.servers[server.ID]
	if ok && isOlder(server, old.Server) {
		s.mu.Unlock()
		return false
	}
	if w, found := s.withdrawals[server.ID]; found && w.covers(server.Incarnation, server.Sequence) {
		if !ok {
			s.mu.Unlock()
			return false // removed: the record is from a stale list
		}
		server.State = routing.Draining
	}
	if server.ColdRemaining > 0 {
		server.ColdUntil = now.Add(server.ColdRemaining)
	}
	changed := !ok || coldChanged(old.Server, server) || identityOf(old.Server) != identityOf(server)
	recordedAt := now
	if ok && old.Server.Incarnation == server.Incarnation && old.Server.Sequence == server.Sequence {
		recordedAt = old.recordedAt
		server.ColdUntil = old.Server.ColdUntil
	}
	if ok {
		s.removeDigest(old.Server)
	}
	s.addDigest(server)
	s.servers[server.ID] = &KnownServer{Server: server, Record: record, source: source, recordedAt: recordedAt}
	if server.State == routing.Draining {
		s.recordWithdrawal(server, now)
	}
	s.mu.Unlock()
	if changed {
		s.notify()
	}
	return changed
}

// identity is what daemons use of the record of a server, other than its cold time.
type identity struct {
	id, service, address, zone, version string
	slots                               int
	state                               routing.ServerState
	incarnation                         int64
}

func identityOf(s routing.Server) identity {
	return identity{s.ID, s.Service, s.Address, s.Zone, s.Version, s.Slots, s.State, s.Incarnation}
}

// maxColdDrift is the change of the end of a cold time below which it counts as the same.
const maxColdDrift = 400 * time.Millisecond

// coldChanged reports whether the new record of a server names another cold time than the old one. A server whose cold time
// has passed without a further record is warm in both.
func coldChanged(old, server routing.Server) bool {
	return (old.ColdRemaining > 0) != (server.ColdRemaining > 0) || server.ColdUntil.Sub(old.ColdUntil).Abs() > maxColdDrift
}

// isOlder reports whether record a of a server was written before its record b.
func isOlder(a, b routing.Server) bool {
	return a.Incarnation < b.Incarnation || (a.Incarnation == b.Incarnation && a.Sequence < b.Sequence)
}

// Knows reports whether the list contains the server.
func (s *State) Knows(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.servers[id]
	return ok
}

// RemoveServer removes and withdraws a backend server. It reports whether the server was known.
func (s *State) RemoveServer(id string, now time.Time) bool {
	s.mu.Lock()
	old, ok := s.servers[id]
	if ok {
		s.recordWithdrawal(old.Server, now)
		s.removeDigest(old.Server)
		delete(s.servers, id)
	}
	s.mu.Unlock()
	if ok {
		s.notify()
	}
	return ok
}

// Knowledge describes what a daemon knows of a backend server, and since when.
type Knowledge struct {
	Listed   bool          // false if the list does not contain it
	Process  int64         // incarnation of the listed process; 0 if none is known
	Source   string        // ID of the peer that its entry came from; empty for the store
	EntryAge time.Duration // since a daemon first received the entry
	Missing  time.Duration // since a list lacked the server; 0 if none did
	Draining time.Duration // since a daemon first knew that it leaves; 0 if it does not
}

// Knowledge returns what is known of the server.
func (s *State) Knowledge(id string, now time.Time) Knowledge {
	s.mu.Lock()
	defer s.mu.Unlock()
	var k Knowledge
	if known, ok := s.servers[id]; ok {
		k = Knowledge{Listed: true, Process: known.Server.Incarnation, Source: known.source, EntryAge: now.Sub(known.recordedAt)}
		if !known.missingSince.IsZero() {
			k.Missing = now.Sub(known.missingSince)
		}
		if known.Server.State != routing.Draining {
			return k
		}
	}
	if w, ok := s.withdrawals[id]; ok {
		k.Draining = now.Sub(w.FirstSeen)
	}
	return k
}

// Withdraw applies a withdrawal received from a peer. It reports whether a ready server became
// draining.
func (s *State) Withdraw(w Withdrawal) bool {
	s.mu.Lock()
	old, ok := s.servers[w.ID]
	known, isKnown := s.withdrawals[w.ID]
	if (isKnown && known.covers(w.Incarnation, w.Sequence)) || s.overridden(w) {
		s.mu.Unlock()
		return false
	}
	s.withdrawals[w.ID] = w
	applies := ok && old.Server.State == routing.Ready && w.covers(old.Server.Incarnation, old.Server.Sequence)
	if applies {
		s.removeDigest(old.Server)
		old.Server.State = routing.Draining
		s.addDigest(old.Server)
	}
	s.mu.Unlock()
	if applies {
		s.notify()
	}
	return applies
}

// ConfirmListed records that a listing of the store, complete at listedAt, contains the server.
// A withdrawal of the server is dropped, and ignored if received again, unless it is so recent
// that the listing may be stale.
func (s *State) ConfirmListed(id string, listedAt time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if listedAt.After(s.lastListed[id]) {
		s.lastListed[id] = listedAt
	}
	if w, ok := s.withdrawals[id]; ok && s.overridden(w) {
		delete(s.withdrawals, id)
	}
}

// overridden reports whether the store still listed the server more than
// listingOverrideDelay after the withdrawal. The caller holds the lock.
func (s *State) overridden(w Withdrawal) bool {
	return s.lastListed[w.ID].Sub(w.FirstSeen) > listingOverrideDelay
}

// recordWithdrawal stores a withdrawal of the server, unless the same or a later one is known. The caller holds the lock.
func (s *State) recordWithdrawal(server routing.Server, now time.Time) {
	if w, ok := s.withdrawals[server.ID]; ok && w.covers(server.Incarnation, server.Sequence) {
		return
	}
	s.withdrawals[server.ID] = Withdrawal{server.ID, server.Incarnation, server.Sequence, now}
}

// Withdrawals returns the withdrawals to send to peers, and drops expired ones.
func (s *State) Withdrawals(now time.Time) []Withdrawal {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]Withdrawal, 0, len(s.withdrawals))
	for id, w := range s.withdrawals {
		if now.Sub(w.FirstSeen) > withdrawalTTL {
			delete(s.withdrawals, id)
			delete(s.lastListed, id)
		}
		if now.Sub(w.FirstSeen) <= withdrawalAdvertiseTTL {
			out = append(out, w)
		}
	}
	return out
}

// withdrawalsOf returns the withdrawals of the servers with the IDs.
func (s *State) withdrawalsOf(ids map[string]time.Duration) (out []Withdrawal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id := range ids {
		if w, ok := s.withdrawals[id]; ok {
			out = append(out, w)
		}
	}
	return out
}

// Servers returns the backend servers in no particular order.
func (s *State) Servers() []routing.Server {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]routing.Server, 0, len(s.servers))
	for _, server := range s.servers {
		out = append(out, server.Server)
	}
	return out
}

// Lists reports whether the list contains the incarnation of the server at the address.
func (s *State) Lists(id, address string, incarnation int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	known, ok := s.servers[id]
	return ok && known.Server.Address == address && known.Server.Incarnation == incarnation
}

// Size returns the number of backend servers.
func (s *State) Size() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.servers)
}

// Digest returns a hash of the list of backend servers. Equal lists have equal digests.
func (s *State) Digest() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.digest
}

// BucketDigests returns the digest of each bucket of the list of backend servers.
func (s *State) BucketDigests() []uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]uint64(nil), s.buckets[:]...)
}

// addDigest adds a server to the digests, removeDigest removes it. The caller holds the lock.
func (s *State) addDigest(server routing.Server) {
	part := serverDigest(server)
	s.digest += part
	s.buckets[bucketOf(server.ID)] += part
}

func (s *State) removeDigest(server routing.Server) {
	part := serverDigest(server)
	s.digest -= part
	s.buckets[bucketOf(server.ID)] -= part
}

// digestTextBytes is more than the usual length of the text of which serverDigest returns the hash.
const digestTextBytes = 256

// serverDigest returns the part of one server in State.Digest, which is the sum of all parts, so that
// their order doesn't matter. It covers what SetServer reports as changed, except for the drift of cold times.
func serverDigest(server routing.Server) uint64 {
	text := make([]byte, 0, digestTextBytes)
	for _, part := range []string{server.ID, server.Service, server.Address, server.Zone, server.Version} {
		text = strconv.AppendInt(text, int64(len(part)), 10) // so that the boundaries count
		text = append(append(text, ' '), part...)
	}
	for _, number := range []int64{int64(server.Slots), int64(server.State), server.Incarnation} {
		text = append(strconv.AppendInt(text, number, 10), ' ')
	}
	return xxhash.Sum64(strconv.AppendBool(text, server.ColdRemaining > 0))
}

// Records returns the store's records of the backend servers.
func (s *State) Records(now time.Time) []Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]Record, 0, len(s.servers))
	for id, server := range s.servers {
		out = append(out, Record{Key: id, Value: server.Record, Age: now.Sub(server.recordedAt)})
	}
	return out
}

// maxDifferingRecords is the number of records after which an answer to a pull ends. A daemon that starts pulls a long list in
// parts: it makes progress with each, also while many pull from the same daemon over a slow link.
const maxDifferingRecords = 100

// DifferingRecords returns the records of all servers in buckets whose digests differ from those of a peer, and the numbers of
// these buckets. more is set if further buckets differ. The buckets begin at the given one, in turn.
func (s *State) DifferingRecords(peer []uint64, first int, now time.Time) (records []Record, buckets []uint32, more bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	differing := make(map[uint32][]Record)
	for i, digest := range s.buckets {
		if i >= len(peer) || peer[i] != digest {
			differing[uint32(i)] = nil
		}
	}
	if len(differing) == 0 {
		return nil, nil, false
	}
	for id, server := range s.servers {
		if list, differs := differing[bucketOf(id)]; differs {
			differing[bucketOf(id)] = append(list, Record{Key: id, Value: server.Record, Age: now.Sub(server.recordedAt)})
		}
	}
	for i := range BucketCount {
		bucket := uint32((first + i) % BucketCount)
		if list, differs := differing[bucket]; differs && len(records) < maxDifferingRecords {
			records, buckets = append(records, list...), append(buckets, bucket)
		}
	}
	return records, buckets, len(buckets) < len(differing)
}

// RemoveMissing compares the servers with a full listing by ID and removes those that have been
// missing for at least the grace period. The listing was complete at listedAt, so records
// received later don't count as missing. If buckets is not nil, the listing holds only the servers of these buckets.
// It returns the servers that are missing for the first time, and those that were removed with the time since when they were missing.
func (s *State) RemoveMissing(listed map[string]bool, buckets []uint32, gracePeriod time.Duration, listedAt, now time.Time) (missing []string, removed map[string]time.Duration) {
	removed = make(map[string]time.Duration)
	s.mu.Lock()
	for id, server := range s.servers {
		if buckets != nil && !slices.Contains(buckets, bucketOf(id)) {
			continue
		}
		switch {
		case listed[id]:
			server.missingSince = time.Time{}
		case server.recordedAt.After(listedAt):
		case server.missingSince.IsZero():
			server.missingSince = now
			missing = append(missing, id)
		}
		if !server.missingSince.IsZero() && now.Sub(server.missingSince) >= gracePeriod {
			removed[id] = now.Sub(server.missingSince)
		}
	}
	s.mu.Unlock()
	for id := range removed {
		s.RemoveServer(id, now)
	}
	return missing, removed
}
