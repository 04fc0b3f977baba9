package ticket

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// testHistoryLimit is small, so that numbers are evicted during a run.
const testHistoryLimit = 6

// logModel is a generated log with the snapshot after each of its records.
type logModel struct {
	values    [][]byte
	snapshots []Snapshot // indexed by offset
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

// requireNoRevert fails if a record lowered the ticket number of an object or
// changed its value without raising the number. An object may be deleted only if
// its number is evicted from the history.
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

// logReader applies the records of a log to its own state.
type logReader struct {
	model        *logModel
	state        *State
	oldestOffset int64 // of the records that the log still has
}

func (r *logReader) endOffset() int64 { return int64(len(r.model.values)) }

// restart replaces the state by one restored from its encoded snapshot.
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

// applyAt applies the record at the offset. It checks that the applied offset does
// not decrease, and that a gap or an already applied record changes nothing.
func (r *logReader) applyAt(t *rapid.T, offset int64) {
	applied, digest := r.state.AppliedOffset(), r.state.Digest()
	v := r.state.Apply(offset, r.model.values[offset])
	require.GreaterOrEqual(t, r.state.AppliedOffset(), applied)
	if v.Outcome == OutcomeGap || offset <= applied {
		require.Equal(t, applied, r.state.AppliedOffset())
		require.Equal(t, digest, r.state.Digest())
	}
}

// applyNext applies the next record. If the log no longer has it, it first looks for
// a state record among the available ones, and restores a peer's snapshot otherwise.
func (r *logReader) applyNext(t *rapid.T) {
	for offset := r.oldestOffset; r.state.NextOffset() < r.oldestOffset && offset < r.endOffset(); offset++ {
		r.applyAt(t, offset)
	}
	if r.state.NextOffset() < r.oldestOffset {
		peerOffset := rapid.Int64Range(r.oldestOffset-1, r.endOffset()-1).Draw(t, "peer")
		restored, err := restore(r.model.snapshots[peerOffset], testHistoryLimit)
		require.NoError(t, err)
		r.state = restored
	}
	if r.state.NextOffset() < r.endOffset() {
		r.applyAt(t, r.state.NextOffset())
	}
}

// Restarts, records out of order, truncation of the log and loss of the state must
// not change the state that a reader has at the end of the log.
func TestReadersOfOneLogConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		model := drawLog(t)
		r := &logReader{model: model, state: newState(testHistoryLimit)}
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
		require.Equal(t, model.state.Digest(), r.state.Digest())
		require.Equal(t, model.state.Snapshot(), r.state.Snapshot())
		require.Equal(t, model.state.Config(), r.state.Config())
	})
}

func TestRepeatedRecordsLeaveStateUnchanged(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		model := drawLog(t)
		digest := model.state.Digest()
		for _, value := range model.values {
			v := model.state.Apply(model.state.NextOffset(), value)
			require.NotEqual(t, OutcomeApplied, v.Outcome)
			require.Equal(t, digest, model.state.Digest())
		}
	})
}

func TestHistoryCodec(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		model := drawLog(t)
		h := model.state.history
		got, err := decodeHistory(h.limit, h.lowWater, h.encode())
		require.NoError(t, err)
		require.Equal(t, len(h.entries), len(got.entries))
		for i, e := range h.entries {
			require.Equal(t, e, got.entries[i])
		}
	})
}
