package forward

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestBodiesReserveTheirMemoryBeforeTheyAreRead(t *testing.T) {
	m := &bodyMemory{limit: 4 << 20}
	var reservations []*bodyReservation
	reserve := func(bytes int64) error {
		r := &bodyReservation{memory: m}
		reservations = append(reservations, r)
		return r.grow(bytes)
	}
	for range 3 {
		require.NoError(t, reserve(1<<20))
	}
	require.ErrorIs(t, reserve(1<<20), errBodyMemory, "the share of large bodies")
	for range 4 {
		require.NoError(t, reserve(smallBodyBytes))
	}
	require.ErrorIs(t, reserve(1), errBodyMemory)
	assert.EqualValues(t, m.limit, m.used)
	for _, r := range reservations {
		r.release()
	}
	assert.Zero(t, m.used)
	assert.Zero(t, m.large)
}

func TestSingleLargeBodyMayUseAllMemory(t *testing.T) {
	m := &bodyMemory{limit: 4 << 20}
	r := &bodyReservation{memory: m}
	require.NoError(t, r.grow(4<<20))
	r.release()
	require.ErrorIs(t, r.grow(4<<20+1), errBodyMemory)
}

func TestBodyOfUnknownLengthReservesAsItGrows(t *testing.T) {
	m := &bodyMemory{limit: 4 << 20}
	r := &bodyReservation{memory: m}
	want := bytes.Repeat([]byte("x"), 600_000)
	data, err := r.readAll(bytes.NewReader(want))
	require.NoError(t, err)
	assert.Equal(t, want, data)
	assert.EqualValues(t, 1<<20, m.used)
	assert.EqualValues(t, 1<<20, m.large)
	r.release()
	_, err = r.readAll(bytes.NewReader(make([]byte, 4<<20+1)))
	require.ErrorIs(t, err, errBodyMemory)
	r.release()
	assert.Zero(t, m.used)
	assert.Zero(t, m.large)
}
