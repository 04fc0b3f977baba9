package topology

import (
	"context"
	"log/slog"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/filbertrill/filbertrill/internal/routing"
)

// recoveringStore is a store with a log of server records that can be down.
type recoveringStore struct {
	mu      sync.Mutex
	down    bool
	records []Record
}

func (s *recoveringStore) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// write appends a record of the server. Sequence 0 removes it.
func (s *recoveringStore) write(id string, sequence int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var value []byte
	if sequence > 0 {
		value = strconv.AppendInt(nil, int64(sequence), 10)
	}
	s.records = append(s.records, Record{Key: id, Value: value})
}

func (s *recoveringStore) Newest(_ context.Context, t Topic) ([]Record, int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return nil, 0, errors.New("store is down")
	}
	newest := map[string][]byte{}
	for _, r := range s.records {
		newest[r.Key] = r.Value
	}
	var list []Record
	for key, value := range newest {
		if value != nil && t == Servers {
			list = append(list, Record{Key: key, Value: value})
		}
	}
	return list, int64(len(s.records)), nil
}

func (s *recoveringStore) Read(_ context.Context, t Topic, from int64, _ time.Duration) ([]Record, int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return nil, 0, errors.New("store is down")
	}
	if t == Configs {
		return nil, from, nil
	}
	return append([]Record(nil), s.records[from:]...), int64(len(s.records)), nil
}

func (s *recoveringStore) Era() uint64                                  { return 0 }
func (s *recoveringStore) DecodeConfig(Record) (*routing.Config, error) { return nil, nil }

// DecodeEvacuation implements Store.
func (s *recoveringStore) DecodeEvacuation(Record) (string, bool) { return "", false }

func (s *recoveringStore) DecodeServer(r Record) (routing.Server, error) {
	sequence, err := strconv.ParseInt(string(r.Value), 10, 64)
	return routing.Server{ID: r.Key, Sequence: sequence, State: routing.Ready}, err
}

// Guards against servers that leave soon after an outage of the store and stay in use until the next regular listing.
func TestServersThatLeaveAfterAnOutageAreRemoved(t *testing.T) {
	const (
		// maxDetection is the time from the return of the store to the first successful call of a daemon: the longest
		// call and the longest backoff.
		maxDetection = callTimeout + maxBackoff
		// contactWindow and drainTimeout are ContactWindowMs and DrainTimeoutMs of the platform: a server that leaves later than
		// the first after the return of the store must be out of use within the second.
		contactWindow = 3050 * time.Millisecond
		drainTimeout  = 2 * time.Second
	)
	store := &recoveringStore{}
	for _, id := range []string{"stays", "lapses", "left in the outage", "leaves"} {
		store.write(id, 1)
	}
	state := NewState(func() {})
	reader := NewReader(ReaderOptions{
		Store: store, State: state, ReadsStore: func() bool { return true }, ReaderCount: func() int { return 1 },
		StateInterval: func() time.Duration { return usualStateInterval }, Logger: slog.New(slog.DiscardHandler),
	})
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	running.Go(func() { reader.follow(ctx, Servers) })
	defer running.Wait()
	defer cancel()
	require.Eventually(t, func() bool { return len(state.Servers()) == 4 }, 5*time.Second, time.Millisecond)
	store.setDown(true)
	require.Eventually(t, reader.lastCallFailed.Load, 5*time.Second, time.Millisecond)
	store.write("left in the outage", 0)
	store.setDown(false)
	require.Eventually(t, func() bool { return !reader.lastCallFailed.Load() }, 5*time.Second, time.Millisecond)
	recovered := time.Now()
	store.write("lapses", 0)
	time.Sleep(contactWindow - maxDetection)
	store.write("leaves", 0)
	assert.True(t, state.Knows("lapses"), "its lease may have expired in the outage")
	store.write("lapses", 2)
	for time.Since(recovered) < contactWindow+drainTimeout-maxDetection {
		assert.True(t, state.Knows("lapses"))
		time.Sleep(10 * time.Millisecond)
	}
	assert.False(t, state.Knows("leaves"))
	assert.False(t, state.Knows("left in the outage"))
	assert.True(t, state.Knows("stays"))
}

// Servers that the list of a peer lacks are kept only for as long as they may register again behind a restore.
func TestListOfPeerRemovesServersBehindRestoreLater(t *testing.T) {
	state := NewState(func() {})
	reader := NewReader(ReaderOptions{Store: &recoveringStore{}, State: state, Logger: slog.New(slog.DiscardHandler)})
	start := time.Now()
	list := func(at time.Time, ids ...string) {
		var records []Record
		for _, id := range ids {
			records = append(records, Record{Key: id, Value: []byte("1")})
		}
		reader.ApplyServerList(records, nil, false, at, at)
	}
	reader.SeeEra(1, start)
	list(start, "a", "b", "c")
	list(start.Add(time.Second), "a", "b")
	assert.False(t, state.Knows("c"), "the first era that is seen is no restore")
	restored := start.Add(2 * time.Second)
	reader.SeeEra(2, restored)
	reader.SeeEra(1, restored.Add(time.Second))
	list(restored.Add(time.Millisecond), "a")
	assert.True(t, state.Knows("b"))
	list(restored.Add(recoveryGracePeriod/2), "a") // without it the time between two lists would count as an outage
	assert.True(t, state.Knows("b"))
	list(restored.Add(recoveryGracePeriod-time.Millisecond), "a")
	assert.True(t, state.Knows("b"))
	list(restored.Add(recoveryGracePeriod), "a")
	assert.False(t, state.Knows("b"))
	assert.True(t, state.Knows("a"))
}

// Guards against servers that are removed because a peer lists a store that has just returned, and lacks those that have yet to
// register again. This daemon may not have called the store at all.
func TestListOfPeerAfterAnOutageRemovesServersLater(t *testing.T) {
	for name, confirmed := range map[string]bool{"first list": false, "list behind one that is equal": true} {
		state := NewState(func() {})
		reader := NewReader(ReaderOptions{Store: &recoveringStore{}, State: state, Logger: slog.New(slog.DiscardHandler)})
		start := time.Now()
		list := func(at time.Time, ids ...string) {
			var records []Record
			for _, id := range ids {
				records = append(records, Record{Key: id, Value: []byte("1")})
			}
			reader.ApplyServerList(records, nil, false, at, at)
		}
		list(start, "a", "b", "c")
		list(start.Add(unreachableAfter), "a", "b")
		assert.False(t, state.Knows("c"), "%s: there was no outage", name)
		returned := start.Add(2*unreachableAfter + time.Millisecond)
		if confirmed {
			reader.Confirm(Servers, returned)
		}
		for at := returned; at.Before(returned.Add(recoveryGracePeriod)); at = at.Add(100 * time.Millisecond) {
			list(at.Add(time.Millisecond), "a")
			assert.True(t, state.Knows("b"), "%s: %v after the return", name, at.Sub(returned))
		}
		list(returned.Add(recoveryGracePeriod+10*time.Millisecond), "a")
		assert.False(t, state.Knows("b"), name)
		assert.True(t, state.Knows("a"), name)
	}
}

// Guards against a daemon that stood still during an outage of the store, and then takes entries that have expired for removed.
func TestDaemonThatStoodStillKeepsServersAfterAnOutage(t *testing.T) {
	store := &recoveringStore{}
	store.write("lapses", 1)
	state := NewState(func() {})
	reader := NewReader(ReaderOptions{
		Store: store, State: state, ReadsStore: func() bool { return true }, ReaderCount: func() int { return 1 },
		StateInterval: func() time.Duration { return usualStateInterval }, Logger: slog.New(slog.DiscardHandler),
	})
	reader.ApplyServerList([]Record{{Key: "lapses", Value: []byte("1")}}, nil, false, time.Now().Add(-5*time.Second), time.Now())
	store.write("lapses", 0)
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	running.Go(func() { reader.follow(ctx, Servers) })
	defer running.Wait()
	defer cancel()
	require.Eventually(t, func() bool { return reader.Age(Servers, time.Now()) < time.Second }, 5*time.Second, time.Millisecond)
	assert.True(t, state.Knows("lapses"))
	require.Eventually(t, func() bool { return !state.Knows("lapses") }, 5*time.Second, 10*time.Millisecond, "it does not register again")
}

// Guards against the withdrawal of a running process by the end of the one before it at its ID, which is read after a peer has told
// of both.
func TestDeletionBeforeKnownEntryWithdrawsNothing(t *testing.T) {
	state := NewState(func() {})
	r := NewReader(ReaderOptions{Store: bornStore{}, State: state, Logger: slog.New(slog.DiscardHandler)})
	former, next := Record{Key: "s", Value: []byte{1, 50}}, Record{Key: "s", Value: []byte{2, 1}}
	r.ApplyServer(former, now)
	r.ApplyServer(next, now) // from a peer
	r.apply(Servers, []Record{former, {Key: "s"}, next}, now, false)
	got, ok := serverState(state, "s")
	assert.True(t, ok)
	assert.Equal(t, routing.Ready, got)
	assert.Empty(t, state.Withdrawals(now))
	r.apply(Servers, []Record{next, {Key: "s"}}, now, false)
	_, ok = serverState(state, "s")
	assert.False(t, ok)
	r.ApplyServer(Record{Key: "s", Value: []byte{3, 1}}, now)
	r.apply(Servers, []Record{{Key: "s"}, {Key: "s", Value: []byte{}}}, now, false) // of another writer
	_, ok = serverState(state, "s")
	assert.False(t, ok)
}

// bornStore decodes server records whose value is the start time and the sequence number.
type bornStore struct{ Store }

func (bornStore) DecodeServer(r Record) (routing.Server, error) {
	if len(r.Value) < 2 {
		return routing.Server{}, errors.New("no server")
	}
	return routing.Server{ID: r.Key, Incarnation: int64(r.Value[0]), Sequence: int64(r.Value[1])}, nil
}
