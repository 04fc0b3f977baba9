package ticket

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// testHistory is small, so that numbers are forgotten during a run.
const testHistoryLimit = 6

// logModel is a log and the snapshot after each of its records.
type logModel struct {
	values    [][]byte
	snapshots []Snapshot // by offset
	state     *State
}

func drawLog(t *rapid.T) *logModel {
	m := &logModel{state: newState(testHistoryLimit)}
	for range rapid.IntRange(1, 40).Draw(t, "records") {
		before := m.state.Snapshot()
		value := m.drawRecord(t)
		v := m.state.Apply(int64(len(m.values)), value)
		require.NotEqual(t, OutcomeGap, v.Outcome)
		after := m.state.Snapshot()
		requireNoRevert(t, before.Accounts, after.Accounts, after.LowWater, func(a Account) string { return a.ID })
		requireNoRevert(t, before.Services, after.Services, after.LowWater, func(s Service) string { return s.ID })
		requireNoRevert(t, before.Servers, after.Servers, after.LowWater, func(s Server) string { return s.ID })
		m.values = append(m.values, value)
		m.snapshots = append(m.snapshots, after)
	}
	return m
}

func (m *logModel) drawRecord(t *rapid.T) []byte {
	kind := rapid.IntRange(0, 9).Draw(t, "kind")
	lastOffset := len(m.values) - 1
	switch {
	case kind == 0:
		return []byte("{malformed")
	case kind <= 2 && lastOffset >= 0:
		return m.values[rapid.IntRange(0, lastOffset).Draw(t, "repeat")]
	case kind <= 4 && lastOffset >= 0:
		data, err := EncodeSnapshot(m.snapshots[rapid.IntRange(0, lastOffset).Draw(t, "base")])
		require.NoError(t, err)
		return data
	}
	return encodeTicket(t, ticketGenerator().Draw(t, "ticket"))
}

// checkNumbersGrow finds an object that an older ticket reverted. An object may
// only vanish when its number is forgotten.
func requireNoRevert[T any](t *rapid.T, before, after []Versioned[T], lowWater uint64, id func(T) string) {
	afterByID := map[string]Versioned[T]{}
	for _, object := range after {
		afterByID[id(object.Value)] = object
	}
	for _, old := range before {
		now, found := afterByID[id(old.Value)]
		if !found {
			require.LessOrEqual(t, old.Number, lowWater)
			continue
		}
		require.GreaterOrEqual(t, now.Number, old.Number)
		if now.Number == old.Number {
			require.Equal(t, old.Value, now.Value)
		}
	}
}

// reader follows the log in its own way.
type logReader struct {
	log          *logModel
	state        *State
	oldestOffset int64 // oldest offset that the log still holds
}

func (r *logReader) endOffset() int64 { return int64(len(r.log.values)) }

func (r *logReader) restart(t *rapid.T) {
	data, err := json.Marshal(r.state.Snapshot())
	require.NoError(t, err)
	var snapshot Snapshot
	require.NoError(t, json.Unmarshal(data, &snapshot))
	restored, err := restore(snapshot, testHistoryLimit)
	require.NoError(t, err)
	require.Equal(t, r.state.Digest(), restored.Digest())
	r.state = restored
}

// step applies an offset that the log holds and checks what may have moved.
func (r *logReader) applyAt(t *rapid.T, offset int64) {
	applied, digest := r.state.AppliedOffset(), r.state.Digest()
	v := r.state.Apply(offset, r.log.values[offset])
	require.GreaterOrEqual(t, r.state.AppliedOffset(), applied)
	if v.Outcome == OutcomeGap || offset <= applied {
		require.Equal(t, applied, r.state.AppliedOffset())
		require.Equal(t, digest, r.state.Digest())
	}
}

// next applies the next record, or catches up when the log has forgotten it.
func (r *logReader) applyNext(t *rapid.T) {
	for offset := r.oldestOffset; r.state.NextOffset() < r.oldestOffset && offset < r.endOffset(); offset++ {
		r.applyAt(t, offset)
	}
	if r.state.NextOffset() < r.oldestOffset {
		peerOffset := rapid.Int64Range(r.oldestOffset-1, r.endOffset()-1).Draw(t, "peer")
		restored, err := restore(r.log.snapshots[peerOffset], testHistoryLimit)
		require.NoError(t, err)
		r.state = restored
	}
	if r.state.NextOffset() < r.endOffset() {
		r.applyAt(t, r.state.NextOffset())
	}
}

func TestReadersOfOneLogConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		log := drawLog(t)
		r := &logReader{log: log, state: newState(testHistoryLimit)}
		for r.state.NextOffset() < r.endOffset() {
			switch rapid.IntRange(0, 7).Draw(t, "action") {
			case 0:
				r.restart(t)
			case 1:
				r.applyAt(t, rapid.Int64Range(r.oldestOffset, r.endOffset()-1).Draw(t, "any"))
			case 2:
				r.oldestOffset = rapid.Int64Range(r.oldestOffset, r.endOffset()-1).Draw(t, "cut")
			case 3:
				r.state = newState(testHistoryLimit)
			default:
				r.applyNext(t)
			}
		}
		require.Equal(t, log.state.Digest(), r.state.Digest())
		require.Equal(t, log.state.Snapshot(), r.state.Snapshot())
		require.Equal(t, log.state.Config(), r.state.Config())
	})
}

func TestRepeatedRecordsLeaveStateUnchanged(t *testing.T) {
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
