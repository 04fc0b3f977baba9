package fairness_test

import (
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/filbertrill/filbertrill/internal/fairness"
)

// fill adds the same second of the account n times from the given one on.
func fill(l fairness.Log, account string, from int64, n int, s fairness.Second) {
	for second := from; second < from+int64(n); second++ {
		l.Add(account, second, s)
	}
}

func TestGapCountsTheLesserOfAskedAndBestServedInEachSecond(t *testing.T) {
	l := fairness.Log{}
	fill(l, "behind", 100, 3, fairness.Second{Asked: 10, Received: 10, Largest: 1, Unmet: true})
	fill(l, "behind", 103, 3, fairness.Second{Asked: 1000, Received: 20, Largest: 1, Unmet: true})
	fill(l, "best", 100, 6, fairness.Second{Asked: 200, Received: 100})
	fill(l, "other", 100, 6, fairness.Second{Asked: 200, Received: 90})
	gap, ok := l.Nearest()
	require.True(t, ok)
	assert.Equal(t, fairness.Gap{
		Account: "behind", BestServed: "best", From: 100, Asked: 3030, Received: 90, BestReceived: 600, Owed: 330, Tolerance: 3,
	}, gap)
	assert.InDelta(t, 90.0/330, gap.Share(), 1e-9)
	assert.InDelta(t, 93.0/165, gap.Distance(), 1e-9)
}

// The record of the users.
func TestDistanceOfRecordedGapIsBelowOne(t *testing.T) {
	l := fairness.Log{}
	fill(l, "kada292", 11, 6, fairness.Second{Asked: 22145758 / 6, Received: 4549631 / 6, Largest: 30_000, Unmet: true})
	fill(l, "gobo930", 11, 6, fairness.Second{Asked: 22145758 / 6, Received: 10231124 / 6})
	gap, ok := l.Nearest()
	require.True(t, ok)
	assert.InDelta(t, 0.44, gap.Share(), 0.01)
	assert.Less(t, gap.Distance(), 1.0)
}

func TestAccountServedInFullForOneSecondHasNoGap(t *testing.T) {
	l := fairness.Log{}
	fill(l, "behind", 100, 5, fairness.Second{Asked: 100, Received: 1, Unmet: true})
	fill(l, "behind", 105, 1, fairness.Second{Asked: 100, Received: 100})
	fill(l, "best", 100, 6, fairness.Second{Asked: 200, Received: 100})
	_, ok := l.Nearest()
	assert.False(t, ok)
}

func TestMeterKeepsWholeSecondsAndCorrectsThem(t *testing.T) {
	var m fairness.Meter
	at := func(seconds float64) time.Time {
		return time.Unix(1000, 0).Add(time.Duration(seconds * float64(time.Second)))
	}
	m.RecordAsked("a", 30, at(0.1))
	m.RecordAsked("a", 50, at(0.2))
	m.RecordSent("a", 30, at(0.1))
	m.RecordSent("a", 50, at(0.2))
	m.RecordNotRun("a", 30, at(0.1))
	m.RecordAsked("a", 7, at(2.5))
	m.RecordUnmet("a", at(0.9), at(1.2))
	m.RecordAsked("a", 9, at(3.5)) // the second has not ended
	want := fairness.Log{"a": {1000: {Asked: 80, Received: 50, Largest: 50, Unmet: true}, 1001: {Unmet: true}, 1002: {Asked: 7, Largest: 7}}}
	assert.Equal(t, want, m.Seconds(at(3.6)))

	m.RecordSent("a", 5, at(0.1)) // too late to be kept
	m.RecordUnmet("a", at(0), at(20))
	assert.Equal(t, fairness.Log{"a": {1017: {Unmet: true}, 1018: {Unmet: true}, 1019: {Unmet: true}}}, m.Seconds(at(20.1)))
	assert.Empty(t, m.Seconds(at(30)))
}

func TestLogsOfDaemonsAddUp(t *testing.T) {
	line := func(daemon string, l fairness.Log) string {
		return `16.02 node-1 time=2026-05-09T22:04:44.975Z level=INFO msg="entry: ` + fairness.LogMessage + `" daemon=` + daemon +
			` seconds=` + strconv.Quote(l.String()) + "\n"
	}
	first := fairness.Log{"an account": {100: {Asked: 10, Received: 4, Largest: 10}}}
	corrected := fairness.Log{"an account": {100: {Asked: 10, Received: 0, Largest: 10, Unmet: true}, 101: {Asked: 1}}}
	later := fairness.Log{"b": {103: {Asked: 5}}}
	other := fairness.Log{"an account": {100: {Asked: 3, Received: 3, Largest: 3}}}
	read, err := fairness.ReadLogs(
		strings.NewReader("unrelated\n"+line("d1", first)+line("d1", corrected)+"time=2026 broken off msg=\"entry: "+line("d1", later)+line("d1", later)[:120]+"\n"),
		strings.NewReader(line("d2", other)))
	require.NoError(t, err)
	assert.Equal(t, fairness.Read{
		Log: fairness.Log{
			"an account": {100: {Asked: 13, Received: 3, Largest: 10, Unmet: true}, 101: {Asked: 1}},
			"b":          {103: {Asked: 5}},
		},
		Daemons: 2, Missing: 1, Broken: 1,
	}, read)
}
