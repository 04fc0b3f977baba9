package topology

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/filbertrill/filbertrill/internal/monotonic"
	"github.com/filbertrill/filbertrill/internal/routing"
)

// ErrTruncated is returned by Store.Read when the store no longer has the requested records.
var ErrTruncated = errors.New("requested records are no longer in the store")

// Topic identifies a sequence of keyed records in the store.
type Topic int

// Topics of the store.
const (
	Configs Topic = iota
	Servers
)

// Record is a value of a key. A nil value deletes the key.
type Record struct {
	Key    string
	Value  []byte
	Age    time.Duration // since the first daemon received it, 0 if it was just read from the store
	Source string        // ID of the peer that it came from; empty for the store
}

// Store is the platform's store of the configuration and the backend servers.
type Store interface {
	// Newest returns the newest record of each key and the offset after the last one.
	Newest(ctx context.Context, t Topic) (records []Record, end int64, err error)
	// Read returns the records from the offset on, in order, and the offset after them. If
	// there are none it waits up to the given time for one. It returns ErrTruncated when the
	// store no longer has the offset.
	Read(ctx context.Context, t Topic, from int64, wait time.Duration) (records []Record, end int64, err error)
	// Era returns the highest era in the answers so far, 0 for none. It rises when the store was restored from a copy
	// that lacks the last records: their offsets are then given out again.
	Era() uint64
	// DecodeConfig decodes a record of topic Configs. It returns nil for records of other keys
	// than the configuration's.
	DecodeConfig(r Record) (*routing.Config, error)
	// DecodeEvacuation returns the zone of a record of topic Configs that asks for its evacuation. ok is false for other
	// records. Without a value the evacuation has ended.
	DecodeEvacuation(r Record) (zone string, ok bool)
	// DecodeServer decodes a record of topic Servers.
	DecodeServer(r Record) (routing.Server, error)
}

const (
	// callTimeout is the timeout of a call to the store, on top of the time that a read waits
	// for records.
	callTimeout = 500 * time.Millisecond
	// configReadWait is how long a read of the configuration waits for a change. A read that
	// returns nothing confirms that the configuration is current, which peers need to know
	// before minTakeoverAge.
	configReadWait = 500 * time.Millisecond
	// serverReadInterval is the time between two reads of server records. Servers write all the
	// time, so that long polls would return immediately.
	serverReadInterval = 500 * time.Millisecond
	// relistInterval is the time between two full listings of the servers.
	relistInterval = 5 * time.Second
	// minTakeoverAge is the least age of the state received from peers at which a daemon starts to
	// read the store itself. A change has to be received within 2 s even if one call is lost.
	minTakeoverAge = 900 * time.Millisecond
	// usualStateInterval is the interval of the states of peers that minTakeoverAge allows for.
	usualStateInterval = 250 * time.Millisecond
	// unreachableAfter is the time without a successful call after which the store counts as
	// unreachable for this daemon, so that another daemon of its zone reads it instead.
	unreachableAfter = 1500 * time.Millisecond
	// roleCheckInterval is the interval at which a daemon that doesn't read the store checks
	// whether it has to.
	roleCheckInterval = 100 * time.Millisecond
	// maxLoggedChanges bounds the log lines about the servers of one list: a daemon that starts learns of thousands, and each
	// line is a system call.
	maxLoggedChanges = 20
)

// ReaderOptions are the dependencies of a Reader.
type ReaderOptions struct {
	Store Store
	State *State
	// ReadsStore reports whether this daemon reads the store for its peers. A daemon that does
	// not uses the state that peers send, and reads the store itself once that state is stale.
	ReadsStore func() bool
	// ReadsFirst reports whether this daemon reads the store when it returns from an outage, in which no daemon is known to
	// reach it. ReadsStore is used if it is nil.
	ReadsFirst func() bool
	// ReaderCount returns the number of daemons, this one included, that may call the store at
	// the same time and send each other the results.
	ReaderCount func() int
	// ReaderRank returns the number of these daemons that come before this one. It is 0 if it is nil.
	ReaderRank func() int
	// StateInterval returns the time between two states that peers send.
	StateInterval func() time.Duration
	// OnReturn is called with the time at which a call was answered for the first time after an outage of the store, unless
	// a peer has reported that before. OnGone is called with the withdrawals of servers that were missing behind an
	// outage. Both may be nil.
	OnReturn func(at time.Time)
	OnGone   func([]Withdrawal)
	Logger   *slog.Logger
}

// Reader keeps a State synchronized with the store.
type Reader struct {
	store          Store
	state          *State
	readsStore     func() bool
	readsFirst     func() bool
	onReturn       func(time.Time)
	onGone         func([]Withdrawal)
	readerCount    func() int
	readerRank     func() int
	stateInterval  func() time.Duration
	logger         *slog.Logger
	asOf           [2]atomic.Int64 // by topic: time as of which the state was complete, as monotonic.UnixNano
	serversListed  atomic.Bool
	lastSuccess    atomic.Int64 // time of the last successful call, as monotonic.UnixNano
	lastCallFailed atomic.Bool
	era            atomic.Uint64    // highest one that this daemon or a peer has seen
	recoveredAt    atomic.Int64     // time at which the store was last seen to be back or restored, as monotonic.UnixNano
	returnedAt     atomic.Int64     // see Returned, as monotonic.UnixNano
	reportedAt     atomic.Int64     // last return that a peer has reported in or right behind a grace period, as monotonic.UnixNano
	currentSince   atomic.Int64     // start of the time since when lists were current without a gap, as monotonic.UnixNano
	heard          atomic.Int64     // last return of the store that a peer has reported, as monotonic.UnixNano
	failedAt       [2]atomic.Int64  // by topic: time of the last failed call, as monotonic.UnixNano
	answeredAt     atomic.Int64     // see noteAnswered, as monotonic.UnixNano
	wake           [2]chan struct{} // by topic, see wakeAll
	probes         probeSchedule
	loggedChanges  atomic.Int64 // changed servers in the list that is being applied
}

// NewReader returns a reader. Run starts it.
func NewReader(o ReaderOptions) *Reader {
	if o.ReaderRank == nil {
		o.ReaderRank = func() int { return 0 }
	}
	if o.ReadsFirst == nil {
		o.ReadsFirst = o.ReadsStore
	}
	r := &Reader{
		store: o.Store, state: o.State, readsStore: o.ReadsStore, readsFirst: o.ReadsFirst, onReturn: o.OnReturn, onGone: o.OnGone,
		readerCount: o.ReaderCount, readerRank: o.ReaderRank, stateInterval: o.StateInterval, logger: o.Logger,
	}
	for t := range r.wake {
		r.wake[t] = make(chan struct{}, 1)
	}
	return r
}

// takeoverAge returns the age of the state received from peers at which a daemon reads the store itself.
// Where peers send less often, state is older without a fault; one lost datagram makes it older by
// another interval.
func takeoverAge(stateInterval time.Duration) time.Duration {
	return minTakeoverAge + 2*max(0, stateInterval-usualStateInterval)
}

// ServersListed reports whether a full list of the servers was received, from the store or from
// a peer.
func (r *Reader) ServersListed() bool { return r.serversListed.Load() }

// StoreUnreachable reports whether the last call to the store failed and the last success is
// older than unreachableAfter.
func (r *Reader) StoreUnreachable(now time.Time) bool {
	return r.lastCallFailed.Load() && now.Sub(monotonic.Time(r.lastSuccess.Load())) > unreachableAfter
}

// setListed records the first full list of servers.
func (r *Reader) setListed(at time.Time) {
	if !r.serversListed.Load() {
		r.currentSince.Store(monotonic.UnixNano(at))
		r.serversListed.Store(true)
	}
}

// Age returns the time since the state of the topic was last known to be current.
func (r *Reader) Age(t Topic, now time.Time) time.Duration {
	return now.Sub(monotonic.Time(r.asOf[t].Load()))
}

// Freshness states which configuration and servers a daemon has and how old they are.
type Freshness struct {
	ConfigVersion uint64        // 0 for no configuration
	ConfigAge     time.Duration // since ConfigVersion was known to be current
	ServerDigest  uint64        // see State.Digest
	ServerAge     time.Duration // since the list of servers was known to be complete
}

// Freshness returns the freshness of this daemon's state.
func (r *Reader) Freshness(now time.Time) Freshness {
	version := func() uint64 {
		if c := r.state.Config(); c != nil {
			return c.Version
		}
		return 0
	}
	return readFreshness(func(t Topic) time.Duration { return r.Age(t, now) }, version, r.state.Digest)
}

// readFreshness reads the ages before the state that they refer to, so that an update in
// between makes the state look older than it is, never newer. If it looked newer, peers would
// treat a list that lacks a recent server as complete and remove the server.
func readFreshness(age func(Topic) time.Duration, version, digest func() uint64) (freshness Freshness) {
	freshness.ConfigAge, freshness.ServerAge = age(Configs), age(Servers)
	freshness.ConfigVersion, freshness.ServerDigest = version(), digest()
	return freshness
}

// Newer reports whether state of the topic that was current at the given time is newer than this
// daemon's.
func (r *Reader) Newer(t Topic, at time.Time) bool { return monotonic.UnixNano(at) > r.asOf[t].Load() }

// SeeEra records an era of the store that this daemon or a peer has seen. A store that is seen for the first time does not count
// as restored.
func (r *Reader) SeeEra(era uint64, now time.Time) {
	for known := r.era.Load(); era > known; known = r.era.Load() {
		if r.era.CompareAndSwap(known, era) && known != 0 {
			r.recoveredAt.Store(monotonic.UnixNano(now))
		}
	}
}

// Confirm records that this daemon's state of the topic was current at the given time.
func (r *Reader) Confirm(t Topic, at time.Time) {
	if t == Servers {
		r.seeList(at)
		r.noteAnswered(at)
	}
	for {
		old := r.asOf[t].Load()
		if next := monotonic.UnixNano(at); next <= old || r.asOf[t].CompareAndSwap(old, next) {
			return
		}
	}
}

// ApplyServerList applies a full list of servers from a peer that was complete at listedAt. Servers
// that it lacks are removed if the list is newer than this daemon's, with the delay of reconcile. Otherwise servers that this
// daemon doesn't know have left since, and are ignored: a daemon that has started after that knows
// nothing of their withdrawal. If buckets is not nil, records holds the servers of these buckets alone. Those of the
// others are known to be the same, unless more is set.
func (r *Reader) ApplyServerList(records []Record, buckets []uint32, more bool, listedAt, now time.Time) {
	newer := r.Newer(Servers, listedAt)
	if newer {
		r.seeList(listedAt)
	}
	recoveredAt := monotonic.Time(r.recoveredAt.Load())
	r.loggedChanges.Store(0)
	r.state.Batch(func() {
		for _, record := range records {
			if !newer && !r.state.Knows(record.Key) {
				continue
			}
			r.state.ConfirmListed(record.Key, listedAt)
			r.ApplyServer(record, now)
		}
		if newer {
			r.reconcile(records, buckets, listedAt, now, recoveredAt)
		}
	})
	if newer && !more {
		r.Confirm(Servers, listedAt)
		r.setListed(listedAt)
	}
}

// Run reads the store until the context ends.
func (r *Reader) Run(ctx context.Context) {
	go r.follow(ctx, Configs)
	r.follow(ctx, Servers)
}

// follow reads one topic: first the newest record of each key, then changes.
func (r *Reader) follow(ctx context.Context, t Topic) {
	storeDown := false
	backoff := minBackoff // while the newest configuration can't be decoded
	var failingSince time.Time
	peersRead := false         // since the last failed call
	var readingSince time.Time // zero while peers read
	var listedAt time.Time
	relist := false // at the end of the grace period
	next := int64(-1)
	var era uint64 // at the last listing
	for ctx.Err() == nil {
		started := time.Now()
		graceEnd := r.recoveredFor(readingSince).Add(recoveryGracePeriod)
		if r.peersRead(t, started) {
			// Only those that have read all the time know of a further outage, and so whether a server that is missing has left.
			next, relist, peersRead, readingSince = -1, false, true, time.Time{}
			r.probes.reset(t)
			r.sleep(ctx, roleCheckInterval)
			continue
		}
		relistDue := relist && !started.Before(graceEnd)
		full := next < 0 || t == Servers && started.Sub(listedAt) > relistInterval || relistDue
		records, end, err := r.call(ctx, t, next, full)
		if errors.Is(err, ErrTruncated) {
			r.logger.Info("Requested records are no longer in the store, listing the newest records.", "topic", t, "from", next)
			next = -1
			continue
		}
		if err != nil {
			if !storeDown {
				r.logger.Warn("Store is unreachable.", "topic", t, "error", err)
			}
			if !storeDown || peersRead {
				failingSince = started // not in a former outage
			}
			storeDown, peersRead = true, false
			r.lastCallFailed.Store(true)
			r.failedAt[t].Store(monotonic.UnixNano(started))
			next = -1 // reads may have been stale or truncated: list again
			r.awaitProbe(ctx, t, r.probes.failed(t, started, r.readerRank(), max(r.readerCount(), 1), rand.Float64))
			continue
		}
		now := time.Now()
		r.SeeEra(r.store.Era(), now)
		if newEra := r.store.Era(); newEra != era {
			if era != 0 {
				// Changes at reused offsets would be missed, and the copy may lack servers that register again.
				r.logger.Info("Store was restored from a copy, listing the newest records.", "topic", t, "era", newEra)
				r.raiseRecovered(now)
			}
			era = newEra
			if !full {
				next = -1
				continue
			}
		}
		if storeDown {
			r.logger.Info("Store is reachable again.", "topic", t, "end", end)
			storeDown = false
			r.returned(t, failingSince, monotonic.Time(r.failedAt[t].Load()), now)
		}
		if t == Servers {
			r.seeList(started)
		}
		if readingSince.IsZero() {
			readingSince = started
		}
		recoveredAt := r.recoveredFor(readingSince)
		if t == Servers && now.Sub(recoveredAt) < recoveryGracePeriod {
			relist = true // servers that leave now are kept
		}
		r.probes.reset(t)
		r.lastCallFailed.Store(false)
		r.lastSuccess.Store(monotonic.UnixNano(now))
		if full && t == Servers {
			for _, record := range records {
				r.state.ConfirmListed(record.Key, started)
			}
		}
		if t == Configs {
			r.applyEvacuations(records, full, Position{era, end})
		}
		r.loggedChanges.Store(0)
		applied := true
		r.state.Batch(func() {
			applied = r.apply(t, records, now, now.Sub(recoveredAt) < recoveryGracePeriod)
			if full && t == Servers {
				removed := r.reconcile(records, nil, started, now, recoveredAt)
				if relistDue && len(removed) > 0 && r.onGone != nil {
					r.onGone(removed)
				}
			}
		})
		if !applied {
			next = -1 // the configuration in force is not current: list again
			r.sleep(ctx, backoff)
			backoff = min(2*backoff, maxBackoffFor(r.readerCount()))
			continue
		}
		backoff = minBackoff
		if full && t == Servers {
			listedAt = now
			relist = relist && started.Before(recoveredAt.Add(recoveryGracePeriod))
		}
		next = max(end, next)
		if full {
			next = end
		}
		r.Confirm(t, currentAsOf(t, started, len(records), full))
		if full && t == Servers {
			r.setListed(started) // with a time as of which the list was complete
		}
		if t == Servers {
			pause := serverReadInterval - time.Since(started)
			if relist {
				pause = min(pause, time.Until(recoveredAt.Add(recoveryGracePeriod)))
			}
			r.sleep(ctx, pause)
		}
	}
}

// currentAsOf returns the time as of which the result of a call was complete: the start of the
// call, or the end of the wait of a read that returned nothing.
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

func (r *Reader) sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
