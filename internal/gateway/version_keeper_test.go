package gateway

import (
	"context"
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/filbertrill/filbertrill/internal/exchange"
	"github.com/filbertrill/filbertrill/internal/exchange/pb"
	"github.com/filbertrill/filbertrill/internal/origin"
	"github.com/filbertrill/filbertrill/internal/routing"
	"github.com/filbertrill/filbertrill/internal/topology"
	"github.com/filbertrill/filbertrill/test/cluster"
)

// lateStore is a VersionStore that can be asked to execute removals later than it answers.
type lateStore struct {
	mu     sync.Mutex
	length int64 // of the log
	saved  map[origin.Key]bool
	late   bool
	later  []func() // removals to execute

	wholeEra uint64 // see VersionsEra
	reads    int    // of VersionsEra
}

func (s *lateStore) SaveVersion(_ context.Context, key origin.Key) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.saved[key] = true
	s.length++
	return nil
}

func (s *lateStore) RemoveVersion(ctx context.Context, key origin.Key, end int64) error {
	remove := func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.length == end {
			delete(s.saved, key)
			s.length++
		}
	}
	s.mu.Lock()
	late := s.late
	if late {
		s.later = append(s.later, remove)
	}
	s.mu.Unlock()
	if !late {
		remove()
		return nil
	}
	<-ctx.Done()
	return errors.Wrap(ctx.Err(), "no answer")
}

func (s *lateStore) SavedVersions(context.Context) (keys []origin.Key, end int64, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key := range s.saved {
		keys = append(keys, key)
	}
	return keys, s.length, nil
}

func (s *lateStore) SaveVersionsEra(_ context.Context, era uint64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.wholeEra = era
	return nil
}

func (s *lateStore) readCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads
}

func (s *lateStore) VersionsEra(context.Context) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	return s.wholeEra, nil
}

func (s *lateStore) has(key origin.Key) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.saved[key]
}

// pendingRemovals returns the removals that are still to be executed.
func (s *lateStore) pendingRemovals() []func() {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.later)
}

func (s *lateStore) setLate(late bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.late = late
}

// copied returns what is saved, for a later call of restore.
func (s *lateStore) copied() map[origin.Key]bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.saved)
}

func (s *lateStore) restore(saved map[origin.Key]bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.saved = saved
}

// keeperRegistry is the registry of a store of the era.
type keeperRegistry struct {
	Registry
	era atomic.Uint64
}

func newKeeperRegistry() *keeperRegistry {
	r := &keeperRegistry{}
	r.era.Store(1)
	return r
}

func (r *keeperRegistry) Era() uint64 { return r.era.Load() }

// newKeepingGateway returns a gateway without peers that keeps versions in the store, and whose list of servers is always of now. It
// must be called outside of a bubble, for its sockets.
func newKeepingGateway(t *testing.T, store VersionStore, registry *keeperRegistry) *Gateway {
	config, err := routing.Build(routing.Config{Version: 1, Routes: []routing.Route{*takeUp("").Route}})
	require.NoError(t, err)
	g := newListeningGateway(t)
	g.platform = Platform{Versions: store, Registry: registry}
	g.topology.SetConfig(config, topology.Record{})
	g.reader.ApplyServerList(nil, nil, false, time.Now(), time.Now())
	g.origins = newStreamOrigins(originOptions{
		members:  func() []*pb.Member { return nil },
		listAsOf: func(now time.Time) time.Time { return now },
		send:     func(*pb.Origins, ...string) {},
		logger:   g.logger,
	})
	return g
}

func newListeningGateway(t *testing.T) *Gateway {
	address := cluster.UniqueAddress()
	g := &Gateway{logger: slog.New(slog.DiscardHandler), settings: Settings{ID: "d", Zone: "z", ControlAddress: address}}
	g.topology = topology.NewState(func() {})
	g.reader = topology.NewReader(topology.ReaderOptions{Store: versionRecords{}, State: g.topology, Logger: g.logger})
	var err error
	g.exchange, err = exchange.New(exchange.Options{
		Self: g.member, ControlAddress: address, View: func(time.Duration) *pb.View { return &pb.View{} }, Logger: g.logger,
	})
	require.NoError(t, err)
	t.Cleanup(func() {
		ended, cancel := context.WithCancel(context.Background())
		cancel()
		assert.NoError(t, g.exchange.Run(ended))
	})
	return g
}

// follow lets the gateway know of servers of the versions for the time, and calls check now and then.
func (g *Gateway) follow(d time.Duration, check func(), versions ...string) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		var servers []routing.Server
		for _, version := range versions {
			servers = append(servers, routing.Server{ID: version, Service: "s", Version: version, State: routing.Ready})
		}
		g.origins.setServers(servers, g.topology.Config(), time.Now())
		synctest.Wait()
		check()
	}
}

// Guards against a version that returns while the store still executes its removal, and that daemons take for saved then.
func TestLateRemovalDoesNotReachVersionThatHasReturned(t *testing.T) {
	for _, other := range []bool{false, true} {
		t.Run(fmt.Sprint("another daemon takes over: ", other), func(t *testing.T) { testLateRemoval(t, other) })
	}
}

func testLateRemoval(t *testing.T, other bool) {
	const removalDelay = 8 * time.Second
	v2 := origin.Key{Service: "s", Version: "v2"}
	store, registry := &lateStore{saved: map[origin.Key]bool{}}, newKeeperRegistry()
	first, second := newKeepingGateway(t, store, registry), newKeepingGateway(t, store, registry)
	synctest.Test(t, func(t *testing.T) {
		stop := first.keep(t)
		first.follow(time.Minute, func() {}, "v1", "v2")
		require.True(t, store.has(v2))
		store.setLate(true)
		for range 10 * 60 {
			if first.follow(time.Second, func() {}, "v1"); len(store.pendingRemovals()) > 0 {
				break
			}
		}
		removals := store.pendingRemovals()
		require.NotEmpty(t, removals, "the version is not removed")
		store.setLate(false)
		g := first
		if other {
			stop()
			g = second
			stop = g.keep(t)
			g.follow(2*time.Second, func() {}, "v1")
		}
		unsaved := time.Duration(0)
		check := func() {
			if !slices.Contains(g.origins.Excluded("s"), "v2") && !store.has(v2) {
				unsaved += 50 * time.Millisecond
			}
		}
		g.follow(removalDelay, check, "v1", "v2")
		for _, remove := range removals {
			remove()
		}
		g.follow(time.Minute, check, "v1", "v2")
		assert.Zero(t, unsaved, "streams may begin at a version that is not saved")
		assert.Empty(t, g.origins.Excluded("s"))

		g.follow(10*time.Minute, func() {}, "v1")
		assert.False(t, store.has(v2), "it is removed once it is out of use for long")
		stop()
		synctest.Wait()
	})
}

// keep runs the keeper of versions.
func (g *Gateway) keep(t *testing.T) (stop func()) {
	ctx, cancel := context.WithCancel(t.Context())
	go g.runVersionKeeper(ctx)
	return cancel
}

// Guards against a fleet that is started again just after a restore of the store, and takes the copy for all that was in use.
func TestStartedFleetDoesNotTrustRestoredStore(t *testing.T) {
	store, registry := &lateStore{saved: map[origin.Key]bool{}}, newKeeperRegistry()
	before, started, later := newKeepingGateway(t, store, registry), newKeepingGateway(t, store, registry), newKeepingGateway(t, store, registry)
	synctest.Test(t, func(t *testing.T) {
		concluded := func(g *Gateway) bool {
			_, ok := g.origins.only(takeUp(""))
			return ok
		}
		stop := before.keep(t)
		before.follow(time.Second, func() {}, "v1")
		require.True(t, concluded(before), "nothing was saved before")
		copied := store.copied()
		before.follow(20*time.Second, func() {}, "v1", "v2")
		require.True(t, store.has(origin.Key{Service: "s", Version: "v2"}))
		stop()
		synctest.Wait()

		store.restore(copied)
		registry.era.Store(2)
		stop = started.keep(t)
		started.follow(time.Minute, func() { assert.False(t, concluded(started), "v2 may have begun streams") }, "v1")
		assert.Empty(t, started.origins.Excluded("s"), "streams may begin")
		assert.LessOrEqual(t, store.readCount(), 15, "a minute of loads each 5 s, and those before")
		started.follow(origin.TTL, func() {}, "v1")
		assert.True(t, concluded(started), "streams of before have ended")
		stop()
		synctest.Wait()

		stop = later.keep(t)
		later.follow(time.Second, func() {}, "v1")
		assert.True(t, concluded(later), "the store is known to be whole since the restore")
		registry.era.Store(3)
		later.follow(time.Minute, func() { assert.True(t, concluded(later), "it was there before the restore") }, "v1")
		stop()
		synctest.Wait()
	})
}

// Guards against a fleet that loads again what it has saved just after its first start, and does not trust it.
func TestStartedFleetTrustsWhatItHasSavedItself(t *testing.T) {
	g := newKeepingGateway(t, &lateStore{saved: map[origin.Key]bool{}}, newKeeperRegistry())
	synctest.Test(t, func(t *testing.T) {
		started := time.Now()
		g.origins.options.listAsOf = func(now time.Time) time.Time {
			if now.Sub(started) < 300*time.Millisecond {
				return time.Unix(0, 0) // so that the next list follows a gap
			}
			return now
		}
		stop := g.keep(t)
		g.follow(time.Second, func() {}, "v1")
		_, ok := g.origins.only(takeUp(""))
		assert.True(t, ok)
		stop()
		synctest.Wait()
	})
}

// Guards against a fleet that is started again and takes a store without versions for a new one.
func TestFleetThatWasStartedBeforeDoesNotTrustStoreWithoutVersions(t *testing.T) {
	g := newKeepingGateway(t, &lateStore{saved: map[origin.Key]bool{}}, newKeeperRegistry())
	g.settings.StartedBefore = true
	synctest.Test(t, func(t *testing.T) {
		concluded := func() bool {
			_, ok := g.origins.only(takeUp(""))
			return ok
		}
		stop := g.keep(t)
		g.follow(time.Minute, func() { assert.False(t, concluded(), "streams may have begun at other versions") }, "v1")
		assert.Empty(t, g.origins.Excluded("s"), "streams may begin")
		g.follow(origin.TTL, func() {}, "v1")
		assert.True(t, concluded(), "streams of before have ended")
		stop()
		synctest.Wait()
	})
}
