package ticket

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func encode(t require.TestingT, value Ticket) []byte {
	data, err := Encode(value)
	require.NoError(t, err)
	return data
}

// tickets draws from few numbers and objects, so that tickets meet.
func tickets() *rapid.Generator[Ticket] {
	return rapid.Custom(func(t *rapid.T) Ticket {
		one := Ticket{
			Number: rapid.Uint64Range(1, 24).Draw(t, "number"),
			Author: "a",
			Reason: rapid.StringMatching(`[a-z"é😀\n\t#:]{0,3}x`).Draw(t, "reason"),
		}
		for _, id := range ids(t, "accounts") {
			// Accounts share a pool of keys only now and then.
			key := rapid.SampledFrom([]int{id, id, id, 9}).Draw(t, "key")
			one.Accounts = append(one.Accounts, account(id, key, presence(t)))
		}
		if len(one.Accounts) > 1 {
			one.Accounts = one.Accounts[:1]
		}
		for _, id := range ids(t, "services") {
			one.Services = append(one.Services, service(id, presence(t)))
		}
		states := rapid.SampledFrom([]ServerState{ServerJoined, ServerLeaving, ServerRemoved})
		for _, id := range append(ids(t, "servers"), 7) {
			one.Servers = append(one.Servers, server(id, rapid.IntRange(0, 2).Draw(t, "of"), states.Draw(t, "state")))
		}
		return one
	})
}

func ids(t *rapid.T, label string) []int {
	return rapid.SliceOfNDistinct(rapid.IntRange(0, 2), 0, 2, rapid.ID[int]).Draw(t, label)
}

func presence(t *rapid.T) Presence {
	return rapid.SampledFrom([]Presence{PresenceActive, PresenceActive, PresenceRemoved}).Draw(t, "presence")
}

func account(id, key int, p Presence) Account {
	return Account{
		ID: fmt.Sprintf("a%d", id), Weight: 1.5, KeyHashes: []string{fmt.Sprintf("%064d", key)},
		MaxQueued: 1, MaxQueuedBytes: 1, Presence: p,
	}
}

func service(id int, p Presence) Service {
	return Service{
		ID: fmt.Sprintf("m%d", id), Kind: ServiceModel, Deadline: 1, IdleLimit: 1, CutOff: CutOffServe, Scope: ScopeZone, Presence: p,
	}
}

func server(id, of int, state ServerState) Server {
	return Server{
		ID: fmt.Sprintf("s%d", id), Service: fmt.Sprintf("m%d", of), Address: "127.0.0.1:1", Zone: "z",
		Slots: 1, State: state,
	}
}

func numbered(number uint64, change Ticket) Ticket {
	change.Number, change.Author, change.Reason = number, "a", "r"
	return change
}

func TestStateRules(t *testing.T) {
	active, removed := PresenceActive, PresenceRemoved
	withAccount := func(number uint64, a Account) Ticket { return numbered(number, Ticket{Accounts: []Account{a}}) }
	base := numbered(10, Ticket{
		Accounts: []Account{account(0, 0, active)},
		Services: []Service{service(0, active), service(1, removed)},
		Servers:  []Server{server(0, 0, ServerJoined)},
	})
	both := numbered(11, Ticket{Accounts: []Account{account(0, 0, removed)}, Servers: []Server{server(5, 9, ServerJoined)}})
	handOver := numbered(11, Ticket{Accounts: []Account{account(0, 5, active), account(1, 0, active)}})
	tests := map[string]struct {
		next    Ticket
		outcome Outcome
		reason  Reason
	}{
		"newer":                      {withAccount(11, account(0, 3, active)), OutcomeApplied, ReasonNone},
		"older on other objects":     {withAccount(9, account(1, 1, active)), OutcomeApplied, ReasonNone},
		"same again":                 {base, OutcomeRepeated, ReasonNone},
		"same number":                {withAccount(10, account(1, 1, active)), OutcomeRejected, ReasonConflict},
		"older account":              {withAccount(9, account(0, 0, active)), OutcomeRejected, ReasonStale},
		"older service":              {numbered(9, Ticket{Services: []Service{service(0, active)}}), OutcomeRejected, ReasonStale},
		"older server":               {numbered(9, Ticket{Servers: []Server{server(0, 0, ServerJoined)}}), OutcomeRejected, ReasonStale},
		"all or nothing":             {both, OutcomeRejected, ReasonUnknownService},
		"service removed":            {numbered(11, Ticket{Servers: []Server{server(1, 1, ServerJoined)}}), OutcomeRejected, ReasonUnknownService},
		"removed server":             {numbered(11, Ticket{Servers: []Server{server(1, 9, ServerRemoved)}}), OutcomeApplied, ReasonNone},
		"key of another account":     {withAccount(11, account(1, 0, active)), OutcomeRejected, ReasonKeyInUse},
		"own key":                    {withAccount(11, account(0, 0, active)), OutcomeApplied, ReasonNone},
		"key handed over":            {handOver, OutcomeApplied, ReasonNone},
		"key of no account":          {withAccount(11, account(1, 1, active)), OutcomeApplied, ReasonNone},
		"service in the same ticket": {numbered(11, Ticket{Services: []Service{service(4, active)}, Servers: []Server{server(1, 4, ServerJoined)}}), OutcomeApplied, ReasonNone},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := NewState()
			require.Equal(t, OutcomeApplied, s.Apply(0, encode(t, base)).Outcome)
			config := s.Config()
			v := s.Apply(1, encode(t, test.next))
			require.Equal(t, test.outcome, v.Outcome, v.Detail)
			require.Equal(t, test.reason, v.Reason, v.Detail)
			require.Equal(t, int64(1), s.AppliedOffset())
			if test.outcome == OutcomeApplied {
				require.Equal(t, s.newConfig(), s.Config())
			} else {
				require.Same(t, config, s.Config())
			}
			again := s.Apply(2, encode(t, test.next))
			if test.reason != ReasonConflict {
				require.Equal(t, OutcomeRepeated, again.Outcome)
				require.Equal(t, test.reason, again.Reason)
			}
		})
	}
}

func TestMalformedRecordsAreCounted(t *testing.T) {
	values := []string{
		``, `{`, `{"kind":"other"}`, `{"kind":"ticket"}`, `{"kind":"state"}`, `{"kind":"ticket","ticket":{"number":1}}`,
		`{"kind":"state","snapshot":{"version":1,"appliedOffset":99}}`,
	}
	s := NewState()
	for i, value := range values {
		v := s.Apply(int64(i), []byte(value))
		require.Equal(t, ReasonMalformed, v.Reason, value)
		require.Equal(t, int64(i), s.AppliedOffset())
	}
}

func TestGapLeavesTheState(t *testing.T) {
	s := NewState()
	value := encode(t, numbered(1, Ticket{Accounts: []Account{account(0, 0, PresenceActive)}}))
	before := s.Snapshot()
	v := s.Apply(3, value)
	require.Equal(t, OutcomeGap, v.Outcome)
	require.ErrorIs(t, v.Err, ErrGap)
	require.Equal(t, &GapError{Want: 0, Got: 3}, v.Err)
	require.Equal(t, before, s.Snapshot())
}

func TestStateRecordFromTheFutureIsNotAdopted(t *testing.T) {
	for _, base := range []int64{5, 6} {
		value, err := EncodeSnapshot(Snapshot{Version: SnapshotVersion, AppliedOffset: base})
		require.NoError(t, err)
		s := NewState()
		require.Equal(t, OutcomeGap, s.Apply(5, value).Outcome)
		require.Equal(t, int64(0), s.NextOffset())
	}
}

func TestConfigLookups(t *testing.T) {
	s := NewState()
	s.Apply(0, encode(t, numbered(1, Ticket{
		Accounts: []Account{account(0, 0, PresenceActive), account(1, 1, PresenceRemoved)},
		Services: []Service{service(0, PresenceActive), service(1, PresenceRemoved)},
		Servers:  []Server{server(1, 0, ServerLeaving), server(0, 0, ServerJoined), server(2, 0, ServerRemoved)},
	})))
	c := s.Config()
	a, found := c.AccountByKeyHash(fmt.Sprintf("%064d", 0))
	require.True(t, found)
	require.Equal(t, "a0", a.ID)
	_, found = c.AccountByKeyHash(fmt.Sprintf("%064d", 1))
	require.False(t, found)
	_, found = c.Service("m1")
	require.False(t, found)
	_, found = c.Server("s2")
	require.False(t, found)
	require.Equal(t, []Server{server(0, 0, ServerJoined), server(1, 0, ServerLeaving)}, c.ServersOf("m0"))
	require.Len(t, c.Accounts(), 1)
	require.Len(t, c.Services(), 1)
	require.Len(t, c.Servers(), 2)
}

func TestHistoryIsBounded(t *testing.T) {
	s := NewState()
	for i := range HistoryLimit + 10 {
		p := PresenceActive
		if i < 5 {
			p = PresenceRemoved
		}
		v := s.Apply(int64(i), encode(t, numbered(uint64(i+1), Ticket{Accounts: []Account{account(i, i, p)}})))
		require.Equal(t, OutcomeApplied, v.Outcome)
		if i >= 30 {
			s.accounts = map[string]Versioned[Account]{} // keeps the test short
		}
	}
	require.Len(t, s.history.entries, HistoryLimit)
	v := s.Apply(s.NextOffset(), encode(t, numbered(10, Ticket{Accounts: []Account{account(0, 0, PresenceActive)}})))
	require.Equal(t, ReasonForgotten, v.Reason)
	data, err := json.Marshal(s.Snapshot())
	require.NoError(t, err)
	require.Less(t, len(data), 1<<20)
}

func TestRemovedObjectsAreDroppedWithTheirNumbers(t *testing.T) {
	s := newState(2)
	for i := range 4 {
		s.Apply(int64(i), encode(t, numbered(uint64(i+1), Ticket{Accounts: []Account{account(i, i, PresenceRemoved)}})))
	}
	require.Equal(t, uint64(2), s.history.lowWater)
	require.Len(t, s.accounts, 2)
	require.Contains(t, s.accounts, "a2")
}

func TestRestoreRefusesMalformedSnapshots(t *testing.T) {
	s := NewState()
	s.Apply(0, encode(t, numbered(5, Ticket{Accounts: []Account{account(0, 0, PresenceActive)}})))
	changes := map[string]func(*Snapshot){
		"version":  func(p *Snapshot) { p.Version = 2 },
		"offset":   func(p *Snapshot) { p.AppliedOffset = -2 },
		"history":  func(p *Snapshot) { p.History = p.History[:len(p.History)-1] },
		"lowWater": func(p *Snapshot) { p.LowWater = 5 },
		"twice":    func(p *Snapshot) { p.Accounts = append(p.Accounts, p.Accounts[0]) },
	}
	for name, change := range changes {
		snapshot := s.Snapshot()
		change(&snapshot)
		_, err := Restore(snapshot)
		require.Error(t, err, name)
	}
}
