package topology

import (
	"log/slog"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// Guards against a fleet whose daemons all wait at the same time behind an outage that they have noticed together.
func TestFleetCallsStoreThatIsDownAtAnEvenRate(t *testing.T) {
	const perZone, maxGap = 27, time.Second
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 1))
		var calls []time.Duration
		start := time.Now()
		for rank := range perZone {
			var schedule probeSchedule
			due := [2]time.Time{start, start}
			for i := 0; due[Configs].Sub(start) < time.Minute || due[Servers].Sub(start) < time.Minute; i++ {
				topic := Configs
				if due[Servers].Before(due[Configs]) {
					topic = Servers
				}
				calls = append(calls, due[topic].Sub(start))
				due[topic] = schedule.failed(topic, due[topic], rank, perZone, random.Float64)
			}
		}
		slices.Sort(calls)
		for i := 1; i < len(calls) && calls[i] < time.Minute; i++ {
			assert.Less(t, calls[i]-calls[i-1], maxGap, "seed %d, %v after the start", seed, calls[i-1])
		}
	}
}

// Guards against grace periods without end: the age of a return grows less than the time that views of it take.
func TestRepeatedReportsOfReturnDoNotExtendTheGracePeriod(t *testing.T) {
	reader := NewReader(ReaderOptions{Store: &recoveringStore{}, State: NewState(func() {}), Logger: slog.New(slog.DiscardHandler)})
	start := time.Now()
	reader.ApplyServerList(nil, nil, false, start, start)
	returned := start.Add(3 * time.Second)
	reader.HearReturn(returned, returned)
	assert.WithinDuration(t, returned, reader.Returned(), 0)
	for age := time.Duration(0); age < 5*time.Second; age += 50 * time.Millisecond {
		now := returned.Add(age)
		reader.Confirm(Servers, now)
		reader.HearReturn(returned.Add(age/10), now)
	}
	assert.WithinDuration(t, returned, reader.Returned(), 0)
	reader.HearReturn(returned.Add(5*time.Second), returned.Add(5*time.Second))
	assert.WithinDuration(t, returned, reader.Returned(), 0, "a peer that was cut off alone: this daemon's list was current")
}

// Guards against a daemon that has started behind an outage, and removes servers that have yet to register again.
func TestDaemonThatStartsBehindAnOutageKeepsServers(t *testing.T) {
	state := NewState(func() {})
	reader := NewReader(ReaderOptions{Store: &recoveringStore{}, State: state, Logger: slog.New(slog.DiscardHandler)})
	returned := time.Now()
	listed := returned.Add(time.Second)
	reader.ApplyServerList([]Record{{Key: "lapsed", Value: []byte("1")}}, nil, false, listed, listed)
	reader.HearReturn(returned, listed)
	reader.ApplyServerList(nil, nil, false, listed.Add(500*time.Millisecond), listed.Add(500*time.Millisecond))
	assert.True(t, state.Knows("lapsed"))
	end := returned.Add(recoveryGracePeriod)
	reader.ApplyServerList(nil, nil, false, end, end)
	assert.False(t, state.Knows("lapsed"))
}
