package ticket

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func encodeTicket(t require.TestingT, value Ticket) []byte {
	data, err := Encode(value)
	require.NoError(t, err)
	return data
}

// ticketGenerator draws from few numbers and IDs, so that tickets often conflict.
func ticketGenerator() *rapid.Generator[Ticket] {
	return rapid.Custom(func(t *rapid.T) Ticket {
		drawn := Ticket{
			Number: rapid.Uint64Range(1, 24).Draw(t, "number"),
			Author: "a",
			Reason: rapid.StringMatching(`[a-z"é😀\n\t#:]{0,3}x`).Draw(t, "reason"),
		}
		for _, id := range drawIDs(t, "accounts") {
			// Key 9 is drawn rarely, so that two accounts sometimes have the same key.
			key := rapid.SampledFrom([]int{id, id, id, 9}).Draw(t, "key")
			drawn.Accounts = append(drawn.Accounts, newAccount(id, key, drawPresence(t)))
		}
		if len(drawn.Accounts) > 1 {
			drawn.Accounts = drawn.Accounts[:1]
		}
		for _, id := range drawIDs(t, "services") {
			drawn.Services = append(drawn.Services, newService(id, drawPresence(t)))
		}
		states := rapid.SampledFrom([]ServerState{ServerJoined, ServerLeaving, ServerRemoved})
		for _, id := range append(drawIDs(t, "servers"), 7) {
			drawn.Servers = append(drawn.Servers, newServer(id, rapid.IntRange(0, 2).Draw(t, "of"), states.Draw(t, "state")))
		}
		return drawn
	})
}

func drawIDs(t *rapid.T, label string) []int {
	return rapid.SliceOfNDistinct(rapid.IntRange(0, 2), 0, 2, rapid.ID[int]).Draw(t, label)
}

func drawPresence(t *rapid.T) Presence {
	return rapid.SampledFrom([]Presence{PresenceActive, PresenceActive, PresenceRemoved}).Draw(t, "presence")
}

func newAccount(id, key int, presence Presence) Account {
	return Account{
		ID: fmt.Sprintf("a%d", id), Weight: 1.5, KeyHashes: []string{fmt.Sprintf("%064d", key)},
		MaxQueued: 1, MaxQueuedBytes: 1, Presence: presence,
	}
}

func newService(id int, presence Presence) Service {
	return Service{
		ID: fmt.Sprintf("m%d", id), Kind: ServiceModel, Deadline: 1, IdleLimit: 1, CutOff: CutOffServe, Scope: ScopeZone, Presence: presence,
	}
}

func newServer(id, serviceID int, state ServerState) Server {
	return Server{
		ID: fmt.Sprintf("s%d", id), Service: fmt.Sprintf("m%d", serviceID), Address: "127.0.0.1:1", Zone: "z",
		Slots: 1, State: state,
	}
}

func ticketWithNumber(number uint64, change Ticket) Ticket {
	change.Number, change.Author, change.Reason = number, "a", "r"
	return change
}

func TestApplyTicket(t *testing.T) {
	active, removed := PresenceActive, PresenceRemoved
	withAccount := func(number uint64, a Account) Ticket { return ticketWithNumber(number, Ticket{Accounts: []Account{a}}) }
	base := ticketWithNumber(10, Ticket{
		Accounts: []Account{newAccount(0, 0, active)},
		Services: []Service{newService(0, active), newService(1, removed)},
		Servers:  []Server{newServer(0, 0, ServerJoined)},
	})
	partlyValid := ticketWithNumber(11, Ticket{Accounts: []Account{newAccount(0, 0, removed)}, Servers: []Server{newServer(5, 9, ServerJoined)}})
	keyHandover := ticketWithNumber(11, Ticket{Accounts: []Account{newAccount(0, 5, active), newAccount(1, 0, active)}})
	tests := map[string]struct {
		next    Ticket
		outcome Outcome
		reason  Reason
	}{
		"newer":                      {withAccount(11, newAccount(0, 3, active)), OutcomeApplied, ReasonNone},
		"older on other objects":     {withAccount(9, newAccount(1, 1, active)), OutcomeApplied, ReasonNone},
		"same again":                 {base, OutcomeRepeated, ReasonNone},
		"same number":                {withAccount(10, newAccount(1, 1, active)), OutcomeRejected, ReasonConflict},
		"older account":              {withAccount(9, newAccount(0, 0, active)), OutcomeRejected, ReasonStale},
		"older service":              {ticketWithNumber(9, Ticket{Services: []Service{newService(0, active)}}), OutcomeRejected, ReasonStale},
		"older server":               {ticketWithNumber(9, Ticket{Servers: []Server{newServer(0, 0, ServerJoined)}}), OutcomeRejected, ReasonStale},
		"all or nothing":             {partlyValid, OutcomeRejected, ReasonUnknownService},
		"service removed":            {ticketWithNumber(11, Ticket{Servers: []Server{newServer(1, 1, ServerJoined)}}), OutcomeRejected, ReasonUnknownService},
		"removed server":             {ticketWithNumber(11, Ticket{Servers: []Server{newServer(1, 9, ServerRemoved)}}), OutcomeApplied, ReasonNone},
		"key of another account":     {withAccount(11, newAccount(1, 0, active)), OutcomeRejected, ReasonKeyInUse},
		"own key":                    {withAccount(11, newAccount(0, 0, active)), OutcomeApplied, ReasonNone},
		"key handed over":            {keyHandover, OutcomeApplied, ReasonNone},
		"key of no account":          {withAccount(11, newAccount(1, 1, active)), OutcomeApplied, ReasonNone},
		"service in the same ticket": {ticketWithNumber(11, Ticket{Services: []Service{newService(4, active)}, Servers: []Server{newServer(1, 4, ServerJoined)}}), OutcomeApplied, ReasonNone},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := NewState()
			require.Equal(t, OutcomeApplied, s.Apply(0, encodeTicket(t, base)).Outcome)
			config := s.Config()
			v := s.Apply(1, encodeTicket(t, test.next))
			require.Equal(t, test.outcome, v.Outcome, v.Detail)
			require.Equal(t, test.reason, v.Reason, v.Detail)
			require.Equal(t, int64(1), s.AppliedOffset())
			if test.outcome == OutcomeApplied {
				require.Equal(t, s.newConfig(), s.Config())
			} else {
				require.Same(t, config, s.Config())
			}
			repeated := s.Apply(2, encodeTicket(t, test.next))
			if test.reason != ReasonConflict {
				require.Equal(t, OutcomeRepeated, repeated.Outcome)
				require.Equal(t, test.reason, repeated.Reason)
			}
		})
	}
}

func TestMalformedRecordsAdvanceAppliedOffset(t *testing.T) {
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

func TestGapLeavesStateUnchanged(t *testing.T) {
	s := NewState()
	value := encodeTicket(t, ticketWithNumber(1, Ticket{Accounts: []Account{newAccount(0, 0, PresenceActive)}}))
	before := s.Snapshot()
	v := s.Apply(3, value)
	require.Equal(t, OutcomeGap, v.Outcome)
	require.ErrorIs(t, v.Err, ErrGap)
	require.Equal(t, &GapError{Want: 0, Got: 3}, v.Err)
	require.Equal(t, before, s.Snapshot())
}

// The base of a state record must be below the record's own offset. Adopting
// another one would skip records.
func TestStateRecordWithInvalidBaseIsNotAdopted(t *testing.T) {
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
	s.Apply(0, encodeTicket(t, ticketWithNumber(1, Ticket{
		Accounts: []Account{newAccount(0, 0, PresenceActive), newAccount(1, 1, PresenceRemoved)},
		Services: []Service{newService(0, PresenceActive), newService(1, PresenceRemoved)},
		Servers:  []Server{newServer(1, 0, ServerLeaving), newServer(0, 0, ServerJoined), newServer(2, 0, ServerRemoved)},
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
	require.Equal(t, []Server{newServer(0, 0, ServerJoined), newServer(1, 0, ServerLeaving)}, c.ServersOf("m0"))
	require.Len(t, c.Accounts(), 1)
	require.Len(t, c.Services(), 1)
	require.Len(t, c.Servers(), 2)
}

func TestHistorySizeIsBounded(t *testing.T) {
	s := NewState()
	for i := range HistoryLimit + 10 {
		p := PresenceActive
		if i < 5 {
			p = PresenceRemoved
		}
		v := s.Apply(int64(i), encodeTicket(t, ticketWithNumber(uint64(i+1), Ticket{Accounts: []Account{newAccount(i, i, p)}})))
		require.Equal(t, OutcomeApplied, v.Outcome)
		if i >= 30 {
			s.accounts = map[string]Versioned[Account]{} // checkKeyHashes visits all accounts, which is slow with 20,000
		}
	}
	require.Len(t, s.history.entries, HistoryLimit)
	v := s.Apply(s.NextOffset(), encodeTicket(t, ticketWithNumber(10, Ticket{Accounts: []Account{newAccount(0, 0, PresenceActive)}})))
	require.Equal(t, ReasonForgotten, v.Reason)
	data, err := json.Marshal(s.Snapshot())
	require.NoError(t, err)
	require.Less(t, len(data), 1<<20)
}

func TestRemovedObjectsAreEvictedWithTheirNumbers(t *testing.T) {
	s := newState(2)
	for i := range 4 {
		s.Apply(int64(i), encodeTicket(t, ticketWithNumber(uint64(i+1), Ticket{Accounts: []Account{newAccount(i, i, PresenceRemoved)}})))
	}
	require.Equal(t, uint64(2), s.history.lowWater)
	require.Len(t, s.accounts, 2)
	require.Contains(t, s.accounts, "a2")
}

func TestRestoreRejectsMalformedSnapshots(t *testing.T) {
	s := NewState()
	s.Apply(0, encodeTicket(t, ticketWithNumber(5, Ticket{Accounts: []Account{newAccount(0, 0, PresenceActive)}})))
	corruptions := map[string]func(*Snapshot){
		"version":  func(p *Snapshot) { p.Version = 2 },
		"offset":   func(p *Snapshot) { p.AppliedOffset = -2 },
		"history":  func(p *Snapshot) { p.History = p.History[:len(p.History)-1] },
		"lowWater": func(p *Snapshot) { p.LowWater = 5 },
		"twice":    func(p *Snapshot) { p.Accounts = append(p.Accounts, p.Accounts[0]) },
	}
	for name, corrupt := range corruptions {
		snapshot := s.Snapshot()
		corrupt(&snapshot)
		_, err := Restore(snapshot)
		require.Error(t, err, name)
	}
}
