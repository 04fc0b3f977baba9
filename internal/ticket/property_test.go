package ticket

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// testHistory is small, so that numbers are forgotten during a run.
const testHistory = 6

// logModel is a log and the snapshot after each of its records.
type logModel struct {
	values    [][]byte
	snapshots []Snapshot // by offset
	state     *State
}

func drawLog(t *rapid.T) *logModel {
	m := &logModel{state: newState(testHistory)}
	for range rapid.IntRange(1, 40).Draw(t, "records") {
		before := m.state.Snapshot()
		value := m.drawValue(t)
		v := m.state.Apply(int64(len(m.values)), value)
		require.NotEqual(t, OutcomeGap, v.Outcome)
		after := m.state.Snapshot()
		checkNumbersGrow(t, before.Accounts, after.Accounts, after.LowWater, func(a Account) string { return a.ID })
		checkNumbersGrow(t, before.Services, after.Services, after.LowWater, func(s Service) string { return s.ID })
		checkNumbersGrow(t, before.Servers, after.Servers, after.LowWater, func(s Server) string { return s.ID })
		m.values = append(m.values, value)
		m.snapshots = append(m.snapshots, after)
	}
	return m
}

func (m *logModel) drawValue(t *rapid.T) []byte {
	kind := rapid.IntRange(0, 9).Draw(t, "kind")
	earlier := len(m.values) - 1
	switch {
	case kind == 0:
		return []byte("{malformed")
	case kind <= 2 && earlier >= 0:
		return m.values[rapid.IntRange(0, earlier).Draw(t, "repeat")]
	case kind <= 4 && earlier >= 0:
		data, err := EncodeSnapshot(m.snapshots[rapid.IntRange(0, earlier).Draw(t, "base")])
		require.NoError(t, err)
		return data
	}
	return encode(t, tickets().Draw(t, "ticket"))
}

// checkNumbersGrow finds an object that an older ticket reverted. An object may
// only vanish when its number is forgotten.
func checkNumbersGrow[T any](t *rapid.T, before, after []Versioned[T], low uint64, id func(T) string) {
	numbers := map[string]Versioned[T]{}
	for _, object := range after {
		numbers[id(object.Value)] = object
	}
	for _, old := range before {
		now, found := numbers[id(old.Value)]
		if !found {
			require.LessOrEqual(t, old.Number, low)
			continue
		}
		require.GreaterOrEqual(t, now.Number, old.Number)
		if now.Number == old.Number {
			require.Equal(t, old.Value, now.Value)
		}
	}
}

// reader follows the log in its own way.
type reader struct {
	log   *logModel
	state *State
	first int64 // oldest offset that the log still holds
}

func (r *reader) end() int64 { return int64(len(r.log.values)) }

func (r *reader) restart(t *rapid.T) {
	data, err := json.Marshal(r.state.Snapshot())
	require.NoError(t, err)
	var snapshot Snapshot
	require.NoError(t, json.Unmarshal(data, &snapshot))
	restored, err := restore(snapshot, testHistory)
	require.NoError(t, err)
	require.Equal(t, r.state.Digest(), restored.Digest())
	r.state = restored
}

// step applies an offset that the log holds and checks what may have moved.
func (r *reader) step(t *rapid.T, offset int64) {
	applied, digest := r.state.AppliedOffset(), r.state.Digest()
	v := r.state.Apply(offset, r.log.values[offset])
	require.GreaterOrEqual(t, r.state.AppliedOffset(), applied)
	if v.Outcome == OutcomeGap || offset <= applied {
		require.Equal(t, applied, r.state.AppliedOffset())
		require.Equal(t, digest, r.state.Digest())
	}
}

// next applies the next record, or catches up when the log has forgotten it.
func (r *reader) next(t *rapid.T) {
	for offset := r.first; r.state.NextOffset() < r.first && offset < r.end(); offset++ {
		r.step(t, offset)
	}
	if r.state.NextOffset() < r.first {
		known := rapid.Int64Range(r.first-1, r.end()-1).Draw(t, "peer")
		restored, err := restore(r.log.snapshots[known], testHistory)
		require.NoError(t, err)
		r.state = restored
	}
	if r.state.NextOffset() < r.end() {
		r.step(t, r.state.NextOffset())
	}
}

func TestEveryWayThroughTheLogGivesTheSameState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		log := drawLog(t)
		r := &reader{log: log, state: newState(testHistory)}
		for r.state.NextOffset() < r.end() {
			switch rapid.IntRange(0, 7).Draw(t, "action") {
			case 0:
				r.restart(t)
			case 1:
				r.step(t, rapid.Int64Range(r.first, r.end()-1).Draw(t, "any"))
			case 2:
				r.first = rapid.Int64Range(r.first, r.end()-1).Draw(t, "cut")
			case 3:
				r.state = newState(testHistory)
			default:
				r.next(t)
			}
		}
		require.Equal(t, log.state.Digest(), r.state.Digest())
		require.Equal(t, log.state.Snapshot(), r.state.Snapshot())
		require.Equal(t, log.state.Config(), r.state.Config())
	})
}

func TestRepeatsChangeNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		log := drawLog(t)
		digest := log.state.Digest()
		for _, value := range log.values {
			v := log.state.Apply(log.state.NextOffset(), value)
			require.NotEqual(t, OutcomeApplied, v.Outcome)
			require.Equal(t, digest, log.state.Digest())
		}
	})
}

func TestHistoryCodec(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		log := drawLog(t)
		h := log.state.history
		got, err := decodeHistory(h.limit, h.lowWater, h.encode())
		require.NoError(t, err)
		require.Equal(t, len(h.entries), len(got.entries))
		for i, e := range h.entries {
			require.Equal(t, e, got.entries[i])
		}
	})
}
