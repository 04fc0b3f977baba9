package topology

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/filbertrill/filbertrill/internal/monotonic"
	"github.com/filbertrill/filbertrill/internal/routing"
)

// ErrTruncated is returned by Store.Read when the records asked for are no longer kept.
var ErrTruncated = errors.New("the records asked for are no longer kept")

// Topic names a sequence of keyed records in the store.
type Topic int

// The topics that are read.
const (
	Configs Topic = iota
	Servers
)

// Record is the newest value of a key. A nil value removes the key.
type Record struct {
	Key   string
	Value []byte
}

// Store is where the platform keeps the configuration and the list of backend servers.
type Store interface {
	// Newest returns the newest record of each key and the offset after the last one.
	Newest(ctx context.Context, t Topic) (records []Record, end int64, err error)
	// Read returns the records from the offset on, in order, and the offset after them. It
	// waits for up to the given time until there is one. It returns ErrTruncated when the
	// offset is no longer kept.
	Read(ctx context.Context, t Topic, from int64, wait time.Duration) (records []Record, end int64, err error)
	// DecodeConfig returns the configuration of a record of Configs, nil for other keys.
	DecodeConfig(r Record) (*routing.Config, error)
	// DecodeServer returns the backend server of a record of Servers.
	DecodeServer(r Record) (routing.Server, error)
}

const (
	// callTimeout bounds a call to the store beyond the time that it may wait.
	callTimeout = 500 * time.Millisecond
	// configWait is how long a read of the configuration waits for a change. Its end tells
	// that there was none, which other daemons need to know before takeover.
	configReadWait = 500 * time.Millisecond
	// serverPace is the time between two reads of the servers' records. Servers write all
	// the time, so that waiting reads would return at once.
	serverReadInterval = 500 * time.Millisecond
	// relistEvery is the time between two full listings of the servers.
	relistInterval = 5 * time.Second
	// minBackoff and maxBackoff bound the time between calls that fail, in a zone of up to
	// backoffSharers daemons: larger ones share out the calls. 85 daemons made 2,362 calls on
	// a day of 50 s with 7 s of outage.
	minBackoff     = 100 * time.Millisecond
	maxBackoff     = 800 * time.Millisecond
	backoffReaders = 4
	// takeover is the age of what peers know at which a daemon reads the store itself. With
	// one call that is lost a change has to be known within two seconds.
	takeoverAge = 900 * time.Millisecond
	// troubleAfter is the time without an own good call after which a daemon on duty counts
	// as unable to read, so that another one of its zone takes its place.
	unreachableAfter = 1500 * time.Millisecond
	// dutyPause is the time between two looks at whether to read.
	roleCheckInterval = 100 * time.Millisecond
	// settle is how long after an outage of the store missing servers are kept: those
	// alive register again within two seconds.
	recoveryGracePeriod = 2500 * time.Millisecond
)

// ReaderOptions are the parts that a Reader works with.
type ReaderOptions struct {
	Store Store
	State *State
	// Duty reports whether this daemon reads the store for others. One that does not takes
	// what its peers know, and reads the store itself when they have fallen silent.
	ReadsStore func() bool
	// Sharers returns the number of daemons that may try the store at once, this one included,
	// and tell each other of what they get.
	ReaderCount func() int
	Logger      *slog.Logger
}

// Reader keeps a Map in step with the store.
type Reader struct {
	store          Store
	state          *State
	readsStore     func() bool
	readerCount    func() int
	logger         *slog.Logger
	currentAt      [2]atomic.Int64 // by topic: time at which all of it was known, by monotonic.UnixNano
	serversListed  atomic.Bool
	lastSuccess    atomic.Int64 // time of the last own good call, by monotonic.UnixNano
	lastCallFailed atomic.Bool  // the last own call failed
}

// NewReader returns a reader.
func NewReader(o ReaderOptions) *Reader {
	return &Reader{store: o.Store, state: o.State, readsStore: o.ReadsStore, readerCount: o.ReaderCount, logger: o.Logger}
}

// Listed reports whether the servers have been listed once.
func (r *Reader) ServersListed() bool { return r.serversListed.Load() }

// Troubled reports whether the store does not answer this daemon.
func (r *Reader) StoreUnreachable(now time.Time) bool {
	return r.lastCallFailed.Load() && now.Sub(monotonic.Time(r.lastSuccess.Load())) > unreachableAfter
}

// Age returns the time since the topic was last known to hold nothing newer.
func (r *Reader) Age(t Topic, now time.Time) time.Duration {
	return now.Sub(monotonic.Time(r.currentAt[t].Load()))
}

// Known is what a daemon tells others of its knowledge.
type Freshness struct {
	ConfigVersion uint64        // of the configuration; 0 for none
	ConfigAge     time.Duration // since nothing newer than Version was there
	ServerDigest  uint64        // of the list of servers
	ServerAge     time.Duration // since the list was complete
}

// Known returns what this daemon knows.
func (r *Reader) Freshness(now time.Time) Freshness {
	version := func() uint64 {
		if c := r.state.Config(); c != nil {
			return c.Version
		}
		return 0
	}
	return measureFreshness(func(t Topic) time.Duration { return r.Age(t, now) }, version, r.state.Digest)
}

// knownOf reads the ages before what they are of: what is learnt in between may make knowledge
// look older than it is, never younger. Peers that have the same would take it for complete,
// and what it lacks for gone.
func measureFreshness(age func(Topic) time.Duration, version, digest func() uint64) (freshness Freshness) {
	freshness.ConfigAge, freshness.ServerAge = age(Configs), age(Servers)
	freshness.ConfigVersion, freshness.ServerDigest = version(), digest()
	return freshness
}

// Newer reports whether a peer's knowledge of the topic is more recent.
func (r *Reader) Newer(t Topic, currentAt time.Time) bool {
	return monotonic.UnixNano(currentAt) > r.currentAt[t].Load()
}

// Confirm takes that a peer knew the same at the given time, and that nothing was newer.
func (r *Reader) Confirm(t Topic, currentAt time.Time) {
	for {
		old := r.currentAt[t].Load()
		if next := monotonic.UnixNano(currentAt); next <= old || r.currentAt[t].CompareAndSwap(old, next) {
			return
		}
	}
}

// ApplyList takes the list of servers that a peer knew at the given time.
func (r *Reader) ApplyServerList(records []Record, listedAt, now time.Time) {
	for _, record := range records {
		r.state.ConfirmListed(record.Key, listedAt)
		r.ApplyServer(record, now)
	}
	if r.Newer(Servers, listedAt) {
		r.reconcile(records, listedAt, now, time.Time{})
		r.Confirm(Servers, listedAt)
		r.serversListed.Store(true)
	}
}

// Run reads until the context ends.
func (r *Reader) Run(ctx context.Context) {
	go r.follow(ctx, Configs)
	r.follow(ctx, Servers)
}

// follow reads one topic: all newest records first, then what comes after.
func (r *Reader) follow(ctx context.Context, t Topic) {
	backoff, storeDown := minBackoff, false
	var listedAt, recoveredAt time.Time
	next := int64(-1)
	for ctx.Err() == nil {
		started := time.Now()
		if !r.readsStore() && r.Age(t, started) < takeoverAge {
			next = -1
			r.sleep(ctx, roleCheckInterval)
			continue
		}
		full := next < 0 || (t == Servers && started.Sub(listedAt) > relistInterval)
		records, end, err := r.call(ctx, t, next, full)
		if errors.Is(err, ErrTruncated) {
			r.logger.Info("Store has dropped records, reading the newest ones.", "topic", t, "from", next)
			next = -1
			continue
		}
		if err != nil {
			if !storeDown {
				r.logger.Warn("Store lost.", "topic", t, "error", err)
			}
			storeDown = true
			r.lastCallFailed.Store(true)
			next = -1 // reads may have been stale or cut; list anew
			r.sleep(ctx, backoff)
			backoff = min(2*backoff, maxBackoffFor(r.readerCount()))
			continue
		}
		now := time.Now()
		if storeDown {
			r.logger.Info("Store regained.", "topic", t, "end", end)
			storeDown, recoveredAt = false, now
		}
		backoff = minBackoff
		r.lastCallFailed.Store(false)
		r.lastSuccess.Store(monotonic.UnixNano(now))
		if full && t == Servers {
			for _, record := range records {
				r.state.ConfirmListed(record.Key, started)
			}
		}
		r.apply(t, records, now, now.Sub(recoveredAt) < recoveryGracePeriod)
		if full && t == Servers {
			r.reconcile(records, started, now, recoveredAt)
			listedAt = now
			r.serversListed.Store(true)
		}
		next = max(end, next)
		if full {
			next = end
		}
		r.Confirm(t, currentAsOf(t, started, len(records), full))
		if t == Servers {
			r.sleep(ctx, serverReadInterval-time.Since(started))
		}
	}
}

// longestBackoff returns the bound of the time between two calls that fail.
func maxBackoffFor(readers int) time.Duration {
	return maxBackoff * time.Duration(max(readers, backoffReaders)) / backoffReaders
}

// knownAt returns the time at which what a call returned was all that there was. A read that
// waited in vain says so of the end of its wait.
func currentAsOf(t Topic, started time.Time, records int, full bool) time.Time {
	if t == Configs && !full && records == 0 {
		return started.Add(configReadWait)
	}
	return started
}

func (r *Reader) call(ctx context.Context, t Topic, from int64, full bool) ([]Record, int64, error) {
	if full {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		return r.store.Newest(ctx, t)
	}
	wait := time.Duration(0)
	if t == Configs {
		wait = configReadWait
	}
	ctx, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	return r.store.Read(ctx, t, from, wait)
}

// apply takes records into the map. While the store settles after an outage, removals wait
// for the next full listing: leases may have run out though their holders live.
func (r *Reader) apply(t Topic, records []Record, now time.Time, recovering bool) {
	for _, record := range records {
		switch {
		case t == Configs:
			r.ApplyConfig(record)
		case record.Value != nil:
			r.ApplyServer(record, now)
		case !recovering:
			if r.state.RemoveServer(record.Key, now) {
				r.logger.Info("Server removed.", "server", record.Key)
			}
		}
	}
}

// ApplyConfig takes a record of the configuration.
func (r *Reader) ApplyConfig(record Record) {
	if record.Value == nil {
		return
	}
	config, err := r.store.DecodeConfig(record)
	if err != nil {
		r.logger.Warn("Configuration not understood.", "key", record.Key, "error", err)
		return
	}
	if config != nil && r.state.SetConfig(config, record) {
		r.logger.Info("Configuration in force.", "version", config.Version, "routes", len(config.Routes),
			"accounts", len(config.Accounts))
	}
}

// ApplyServer takes a record of a backend server.
func (r *Reader) ApplyServer(record Record, now time.Time) {
	server, err := r.store.DecodeServer(record)
	if err != nil {
		r.logger.Debug("Server record ignored.", "key", record.Key, "error", err)
		return
	}
	if r.state.SetServer(server, record.Value, now) {
		r.logger.Info("Server changed.", "server", server.ID, "service", server.Service, "address", server.Address,
			"state", server.State, "born", server.Incarnation)
	}
}

// reconcile removes the servers that a listing, complete at asOf, lacks.
func (r *Reader) reconcile(records []Record, listedAt, now, recoveredAt time.Time) {
	listed := make(map[string]bool, len(records))
	for _, record := range records {
		listed[record.Key] = true
	}
	gracePeriod := time.Duration(0)
	if now.Sub(recoveredAt) < recoveryGracePeriod {
		gracePeriod = recoveryGracePeriod
	}
	r.state.RemoveMissing(listed, gracePeriod, listedAt, now)
}

func (r *Reader) sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
