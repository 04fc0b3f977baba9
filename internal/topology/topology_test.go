package topology

import (
	"log/slog"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/filbertrill/filbertrill/internal/routing"
)

var now = time.Unix(1000, 0)

func serverState(state *State, id string) (routing.ServerState, bool) {
	for _, s := range state.Servers() {
		if s.ID == id {
			return s.State, true
		}
	}
	return 0, false
}

func TestConfigurationNeverReverts(t *testing.T) {
	state := NewState(func() {})
	assert.True(t, state.SetConfig(&routing.Config{Version: 5}, Record{}))
	assert.False(t, state.SetConfig(&routing.Config{Version: 5}, Record{}))
	assert.False(t, state.SetConfig(&routing.Config{Version: 4}, Record{}))
	assert.EqualValues(t, 5, state.Config().Version)
}

func TestOlderRecordsOfAServerAreIgnored(t *testing.T) {
	state := NewState(func() {})
	state.SetServer(routing.Server{ID: "s", Incarnation: 2, Sequence: 7, State: routing.Draining}, nil, now)
	state.SetServer(routing.Server{ID: "s", Incarnation: 2, Sequence: 6, State: routing.Ready}, nil, now)
	state.SetServer(routing.Server{ID: "s", Incarnation: 1, Sequence: 9, State: routing.Ready}, nil, now)
	got, ok := serverState(state, "s")
	require.True(t, ok)
	assert.Equal(t, routing.Draining, got)
	state.SetServer(routing.Server{ID: "s", Incarnation: 3, Sequence: 0, State: routing.Ready}, nil, now) // restarted
	got, _ = serverState(state, "s")
	assert.Equal(t, routing.Ready, got)
}

// A daemon that can't reach the store receives a withdrawal from a peer. An older record that it
// reads later doesn't make the server ready again.
func TestWithdrawalFromPeer(t *testing.T) {
	state := NewState(func() {})
	state.SetServer(routing.Server{ID: "s", Incarnation: 2, Sequence: 7}, nil, now)
	assert.True(t, state.Withdraw(Withdrawal{ID: "s", Incarnation: 2, Sequence: 8, FirstSeen: now}))
	got, _ := serverState(state, "s")
	assert.Equal(t, routing.Draining, got)
	state.SetServer(routing.Server{ID: "s", Incarnation: 2, Sequence: 8}, nil, now)
	got, _ = serverState(state, "s")
	assert.Equal(t, routing.Draining, got)
	state.SetServer(routing.Server{ID: "s", Incarnation: 2, Sequence: 9}, nil, now) // registered again
	got, _ = serverState(state, "s")
	assert.Equal(t, routing.Ready, got)
}

func TestMissingServersAreKeptForGracePeriod(t *testing.T) {
	state := NewState(func() {})
	state.SetServer(routing.Server{ID: "s", Incarnation: 1}, nil, now)
	state.RemoveMissing(map[string]bool{}, nil, recoveryGracePeriod, now, now)
	_, ok := serverState(state, "s")
	assert.True(t, ok)
	state.RemoveMissing(map[string]bool{"s": true}, nil, recoveryGracePeriod, now.Add(time.Second), now.Add(time.Second))
	state.RemoveMissing(map[string]bool{}, nil, recoveryGracePeriod, now.Add(2*time.Second), now.Add(2*time.Second))
	_, ok = serverState(state, "s")
	assert.True(t, ok)
	state.RemoveMissing(map[string]bool{}, nil, recoveryGracePeriod, now.Add(2*time.Second+recoveryGracePeriod), now.Add(2*time.Second+recoveryGracePeriod))
	_, ok = serverState(state, "s")
	assert.False(t, ok)
	assert.Len(t, state.Withdrawals(now), 1)
}

// sequenceStore decodes server records whose value is the sequence number.
type sequenceStore struct{ Store }

func (sequenceStore) DecodeServer(r Record) (routing.Server, error) {
	return routing.Server{ID: r.Key, Incarnation: 1, Sequence: int64(r.Value[0])}, nil
}

// While many servers register, a peer's list may lack a server that was registered after the list
// was read. Such a list must not withdraw the server: the withdrawal would spread to all daemons.
func TestPeerListDoesNotWithdrawNewerServers(t *testing.T) {
	state := NewState(func() {})
	r := NewReader(ReaderOptions{Store: sequenceStore{}, State: state, Logger: slog.New(slog.DiscardHandler)})
	record := func(id string, sequence byte) Record { return Record{Key: id, Value: []byte{sequence}} }
	at := func(ms int) time.Time { return now.Add(time.Duration(ms) * time.Millisecond) }
	r.ApplyServerList([]Record{record("old", 1)}, nil, false, at(0), at(0))
	r.ApplyServer(record("new", 1), at(100))
	r.ApplyServerList([]Record{record("old", 1)}, nil, false, at(50), at(120))
	got, ok := serverState(state, "new")
	assert.True(t, ok)
	assert.Equal(t, routing.Ready, got)
	assert.Empty(t, state.Withdrawals(at(120)))
	// Receiving the same record again in a stale list doesn't renew its time.
	r.ApplyServerList([]Record{record("old", 1), record("new", 1)}, nil, false, at(60), at(190))
	r.ApplyServerList([]Record{record("old", 1)}, nil, false, at(150), at(200))
	_, ok = serverState(state, "new")
	assert.False(t, ok, "the list is newer than the server's record")
}

// Daemons that advertised a withdrawal until it expires would keep renewing it on each other, so that
// it would never expire on all of them.
func TestWithdrawalsExpireOnAllDaemons(t *testing.T) {
	a, b := NewState(func() {}), NewState(func() {})
	a.SetServer(routing.Server{ID: "s", Incarnation: 1, Sequence: 1, State: routing.Draining}, nil, now)
	end := now.Add(3 * withdrawalTTL)
	var inFlightFromA, inFlightFromB []Withdrawal // delivered after 50 ms
	for at := now; at.Before(end); at = at.Add(50 * time.Millisecond) {
		nextA, nextB := a.Withdrawals(at), b.Withdrawals(at)
		for _, w := range inFlightFromA {
			b.Withdraw(Withdrawal{w.ID, w.Incarnation, w.Sequence, at})
		}
		for _, w := range inFlightFromB {
			a.Withdraw(Withdrawal{w.ID, w.Incarnation, w.Sequence, at})
		}
		inFlightFromA, inFlightFromB = nextA, nextB
	}
	assert.Empty(t, a.Withdrawals(end))
	assert.Empty(t, b.Withdrawals(end))
	assert.Empty(t, a.withdrawals)
	assert.Empty(t, b.withdrawals)
}

// During an outage a zone of any size makes about five calls per second to the store.
func TestRetryRateIsIndependentOfZoneSize(t *testing.T) {
	assert.Equal(t, maxBackoff, maxBackoffFor(1))
	assert.Equal(t, maxBackoff, maxBackoffFor(4))
	for _, daemons := range []int{4, 28, 130} {
		assert.InDelta(t, 5, float64(daemons)/maxBackoffFor(daemons).Seconds(), 0.01)
	}
}

// A stale list of a peer must not restore removed servers. If it did, the next list would remove
// them again: 85 daemons once pulled lists of 79 and of 93 servers in turn, ten times per second.
func TestStalePeerListDoesNotRestoreRemovedServer(t *testing.T) {
	state := NewState(func() {})
	r := NewReader(ReaderOptions{Store: sequenceStore{}, State: state, Logger: slog.New(slog.DiscardHandler)})
	record := func(id string, sequence byte) Record { return Record{Key: id, Value: []byte{sequence}} }
	at := func(ms int) time.Time { return now.Add(time.Duration(ms) * time.Millisecond) }
	r.ApplyServerList([]Record{record("a", 1), record("b", 1)}, nil, false, at(0), at(0))
	r.ApplyServerList([]Record{record("a", 1)}, nil, false, at(100), at(110))
	digest := state.Digest()
	r.ApplyServerList([]Record{record("a", 1), record("b", 1)}, nil, false, at(50), at(120)) // stale
	_, ok := serverState(state, "b")
	assert.False(t, ok)
	assert.Equal(t, digest, state.Digest())
	r.ApplyServer(record("b", 2), at(200)) // registered again
	got, ok := serverState(state, "b")
	assert.True(t, ok)
	assert.Equal(t, routing.Ready, got)
}

// A daemon that has started after a server has left knows nothing of its withdrawal. A peer that was cut off from the store
// must not bring the server back.
func TestOlderPeerListBringsNoServerBackAfterRestart(t *testing.T) {
	state := NewState(func() {})
	r := NewReader(ReaderOptions{Store: sequenceStore{}, State: state, Logger: slog.New(slog.DiscardHandler)})
	record := func(id string, sequence byte) Record { return Record{Key: id, Value: []byte{sequence}} }
	at := func(ms int) time.Time { return now.Add(time.Duration(ms) * time.Millisecond) }
	r.ApplyServerList([]Record{record("a", 1)}, nil, false, at(20_000), at(20_010)) // the daemon's first list
	r.ApplyServerList([]Record{record("a", 2), record("left", 1)}, nil, false, at(5_000), at(20_100))
	_, ok := serverState(state, "left")
	assert.False(t, ok, "a server that has left 15 s ago")
	r.ApplyServerList([]Record{record("a", 2), record("new", 1)}, nil, false, at(21_000), at(21_010))
	_, ok = serverState(state, "new")
	assert.True(t, ok)
}

// A server that the store still lists well after its withdrawal was withdrawn by mistake: its
// lease had expired, or a peer was wrong.
func TestStoreListingOverridesOldWithdrawal(t *testing.T) {
	state := NewState(func() {})
	s := routing.Server{ID: "s", Incarnation: 1, Sequence: 1}
	state.SetServer(s, nil, now)
	state.RemoveServer("s", now)
	state.ConfirmListed("s", now.Add(time.Second))
	state.SetServer(s, nil, now.Add(time.Second))
	_, ok := serverState(state, "s")
	assert.False(t, ok, "the listing may be stale")
	later := now.Add(listingOverrideDelay + time.Second)
	state.ConfirmListed("s", later)
	state.SetServer(s, nil, later)
	got, ok := serverState(state, "s")
	assert.True(t, ok)
	assert.Equal(t, routing.Ready, got)
}

// A running server is removed by mistake on one daemon. If daemons passed the withdrawal on with a
// new time, it would return to daemons that had already dropped it after a listing, and never
// expire.
func TestFalseWithdrawalIsOverriddenOnAllDaemons(t *testing.T) {
	const daemons, step = 4, 100 * time.Millisecond
	s := routing.Server{ID: "s", Incarnation: 1, Sequence: 1}
	var states []*State
	var readers []*Reader
	for range daemons {
		state := NewState(func() {})
		state.SetServer(s, nil, now)
		states = append(states, state)
		readers = append(readers, NewReader(ReaderOptions{Store: sequenceStore{}, State: state, Logger: slog.New(slog.DiscardHandler)}))
	}
	states[0].RemoveServer("s", now)
	record := Record{Key: "s", Value: []byte{1}}
	end := now.Add(2*relistInterval + listingOverrideDelay)
	for at := now; at.Before(end); at = at.Add(step) {
		var advertised [][]Withdrawal
		for _, state := range states {
			advertised = append(advertised, state.Withdrawals(at))
		}
		for i, state := range states {
			for _, w := range advertised[(i+1)%daemons] { // each receives those of one other daemon
				state.Withdraw(w)
			}
		}
		if at.Sub(now)%relistInterval == 0 && at.After(now) {
			// The first two read the store, the others receive the lists one step later.
			for i, r := range readers {
				listedAt := at.Add(-time.Duration(i/2) * step)
				r.ApplyServerList([]Record{record}, nil, false, listedAt, at)
			}
		}
	}
	for i, state := range states {
		got, ok := serverState(state, "s")
		assert.True(t, ok, "daemon %d", i)
		assert.Equal(t, routing.Ready, got, "daemon %d", i)
	}
}

// A list that lacks a server must not look newer than the server's record, or peers that have the
// same list remove the server.
func TestFreshnessIsNeverOverstated(t *testing.T) {
	clock := time.Duration(0) // an update arrives before each read
	advance := func() time.Duration { clock += time.Second; return clock }
	const finalTime = time.Hour
	age := func(Topic) time.Duration { return finalTime - advance() }
	value := func() uint64 { return uint64(advance()) }
	freshness := readFreshness(age, value, value)
	assert.GreaterOrEqual(t, time.Duration(freshness.ConfigVersion), finalTime-freshness.ConfigAge)
	assert.GreaterOrEqual(t, time.Duration(freshness.ServerDigest), finalTime-freshness.ServerAge)
}

// The digest is kept current by each change. It must equal that of a daemon that has learned the same list in another way.
func TestDigestDependsOnListOnly(t *testing.T) {
	server := func(id string, incarnation int64) routing.Server {
		return routing.Server{ID: id, Service: "llm", Address: id + ":1", Incarnation: incarnation, Sequence: 1}
	}
	empty, changed := NewState(func() {}), NewState(func() {})
	for i := range 20 {
		changed.SetServer(server(strconv.Itoa(i), 1), nil, now)
	}
	for i := range 10 {
		changed.SetServer(server(strconv.Itoa(i), 2), nil, now) // started again
	}
	changed.Withdraw(Withdrawal{ID: "3", Incarnation: 2, Sequence: 1, FirstSeen: now})
	for i := 10; i < 20; i++ {
		changed.RemoveServer(strconv.Itoa(i), now)
	}
	direct := NewState(func() {})
	for i := range 10 {
		s := server(strconv.Itoa(9-i), 2)
		if s.ID == "3" {
			s.State = routing.Draining
		}
		direct.SetServer(s, nil, now)
	}
	assert.Equal(t, direct.Digest(), changed.Digest())
	assert.NotEqual(t, empty.Digest(), changed.Digest())
	for i := range 10 {
		changed.RemoveServer(strconv.Itoa(i), now)
	}
	assert.Equal(t, empty.Digest(), changed.Digest())
}

func BenchmarkDigest(b *testing.B) {
	state := NewState(func() {})
	for i := range 104 {
		state.SetServer(routing.Server{ID: strconv.Itoa(i), Service: "llm", Address: "10.1.2.3:8080"}, nil, now)
	}
	for range b.N {
		state.Digest()
	}
}

// Where peers send their states each 400 ms, what they know is 0.9 s old without a fault: all 195 daemons called the store.
func TestTakeoverAgeAllowsForIntervalOfStates(t *testing.T) {
	assert.Equal(t, minTakeoverAge, takeoverAge(50*time.Millisecond))
	assert.Equal(t, minTakeoverAge, takeoverAge(250*time.Millisecond))
	const readAge = 500 * time.Millisecond // see configReadWait and serverReadInterval
	for _, interval := range []time.Duration{300 * time.Millisecond, 400 * time.Millisecond} {
		assert.GreaterOrEqual(t, takeoverAge(interval), readAge+interval+200*time.Millisecond)
		assert.Less(t, takeoverAge(interval), 1500*time.Millisecond, "a change is known within 2 s if a reader fails")
	}
}

// Guards against daemons that keep different entries of a server, because what they compare does not tell them apart.
func TestChangedEntryOfSameStartTimeIsPassedOn(t *testing.T) {
	entry := routing.Server{
		ID: "a", Service: "s", Address: "10.0.0.1:1", Zone: "z", Version: "v1", Slots: 4, State: routing.Ready, Incarnation: 1, Sequence: 1,
	}
	changes := map[string]func(*routing.Server){
		"version": func(s *routing.Server) { s.Version = "v2" },
		"service": func(s *routing.Server) { s.Service = "other" },
		"slots":   func(s *routing.Server) { s.Slots = 5 },
		"zone":    func(s *routing.Server) { s.Zone = "other" },
	}
	for name, change := range changes {
		calls := 0
		former, current := NewState(func() {}), NewState(func() { calls++ })
		former.SetServer(entry, nil, now)
		current.SetServer(entry, nil, now)
		require.Equal(t, former.Digest(), current.Digest())
		next := entry
		next.Sequence++
		current.SetServer(next, nil, now)
		assert.Equal(t, former.Digest(), current.Digest(), "a renewal is no change")
		assert.Equal(t, 1, calls)

		next.Sequence++
		change(&next)
		assert.True(t, current.SetServer(next, []byte("new"), now), name)
		assert.Equal(t, 2, calls, "%s: those who use the list are not told", name)
		assert.NotEqual(t, former.Digest(), current.Digest(), name)
		records, _, _ := current.DifferingRecords(former.BucketDigests(), 0, now)
		assert.Len(t, records, 1, name)
	}
}

func TestKnowledgeTellsSourceAndAgesOfAnEntry(t *testing.T) {
	state := NewState(func() {})
	at := func(seconds int) time.Time { return now.Add(time.Duration(seconds) * time.Second) }
	state.setServer(routing.Server{ID: "s", Incarnation: 2, Sequence: 7}, nil, "peer", at(0))
	assert.Equal(t, Knowledge{Listed: true, Process: 2, Source: "peer", EntryAge: 3 * time.Second}, state.Knowledge("s", at(3)))

	missing, removed := state.RemoveMissing(nil, nil, time.Minute, at(4), at(4))
	assert.Equal(t, []string{"s"}, missing)
	assert.Empty(t, removed)
	assert.Equal(t, 2*time.Second, state.Knowledge("s", at(6)).Missing)

	state.Withdraw(Withdrawal{ID: "s", Incarnation: 2, Sequence: 8, FirstSeen: at(7)})
	assert.Equal(t, time.Second, state.Knowledge("s", at(8)).Draining)

	_, removed = state.RemoveMissing(nil, nil, time.Second, at(9), at(9))
	assert.Equal(t, map[string]time.Duration{"s": 5 * time.Second}, removed)
	assert.Equal(t, Knowledge{Draining: 3 * time.Second}, state.Knowledge("s", at(10)))
}

// Guards against requests to a process that leaves, by what is known of the process before it at the same ID.
func TestWithdrawalCoversFormerProcess(t *testing.T) {
	former := routing.Server{ID: "s", Incarnation: 1, Sequence: 50}
	next := routing.Server{ID: "s", Incarnation: 2, Sequence: 3}
	leaving := Withdrawal{ID: "s", Incarnation: 2, Sequence: 4, FirstSeen: now}
	t.Run("only the former one is known", func(t *testing.T) {
		state := NewState(func() {})
		state.SetServer(former, nil, now)
		assert.True(t, state.Withdraw(leaving))
		got, _ := serverState(state, "s")
		assert.Equal(t, routing.Draining, got)
	})
	t.Run("record of the former one arrives later", func(t *testing.T) {
		state := NewState(func() {})
		state.SetServer(next, nil, now)
		state.RemoveServer("s", now)
		state.SetServer(former, nil, now)
		_, ok := serverState(state, "s")
		assert.False(t, ok)
	})
	t.Run("withdrawal of the former one arrives later", func(t *testing.T) {
		state := NewState(func() {})
		state.SetServer(next, nil, now)
		state.RemoveServer("s", now)
		state.Withdraw(Withdrawal{ID: "s", Incarnation: 1, Sequence: 51, FirstSeen: now})
		state.SetServer(next, nil, now) // from a stale list
		_, ok := serverState(state, "s")
		assert.False(t, ok)
		assert.Equal(t, []Withdrawal{{"s", 2, 3, now}}, state.Withdrawals(now))
	})
	t.Run("former one left", func(t *testing.T) {
		state := NewState(func() {})
		state.SetServer(former, nil, now)
		state.RemoveServer("s", now)
		state.SetServer(next, nil, now)
		got, _ := serverState(state, "s")
		assert.Equal(t, routing.Ready, got)
		assert.False(t, state.Withdraw(Withdrawal{ID: "s", Incarnation: 1, Sequence: 51, FirstSeen: now}))
		got, _ = serverState(state, "s")
		assert.Equal(t, routing.Ready, got)
	})
}
