package topology

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
)

// Guards against removing running servers whose entries lapsed in an outage that a short one followed.
func TestServersThatLapsedAreKeptThroughASecondOutage(t *testing.T) {
	for _, daemons := range []int{9, 30, 100} {
		for _, gap := range []time.Duration{300 * time.Millisecond, 800 * time.Millisecond} {
			for _, second := range []time.Duration{600 * time.Millisecond, 900 * time.Millisecond, 1200 * time.Millisecond, 3 * time.Second} {
				t.Run(fmt.Sprintf("%d daemons, gap %v, second %v", daemons, gap, second), func(t *testing.T) {
					for seed := range uint64(5) {
						synctest.Test(t, func(t *testing.T) {
							late, lost := simulateTwoOutages(t, daemons, gap, second, seed)
							t.Logf("seed %d: out of use after %v, %d of %d daemons lost the running server", seed, late, lost, daemons)
							assert.Zero(t, lost)
							assert.LessOrEqual(t, late, 3*time.Second)
						})
					}
				})
			}
		}
	}
}

// simulateTwoOutages returns the time from the end of the second outage until no daemon uses a server that had left before the first,
// and the most daemons that do not use one that registers again 2 s behind that end.
func simulateTwoOutages(t *testing.T, daemons int, gap, second time.Duration, seed uint64) (late time.Duration, lost int) {
	store := &simulatedStore{}
	fleet := &simulatedFleet{store: store, zones: 3, loss: 0.02, random: rand.New(rand.NewPCG(seed, uint64(daemons)))}
	for _, id := range []string{"stays", "lapses", "leaves"} {
		store.write(id, 1)
	}
	ctx, cancel := context.WithCancel(t.Context())
	running := fleet.run(ctx, daemons)
	time.Sleep(3*time.Second + time.Duration(fleet.chance()*float64(time.Second)))
	store.write("leaves", 0)
	store.setDown(true)
	time.Sleep(4500 * time.Millisecond)
	store.write("lapses", 0)
	store.setDown(false)
	time.Sleep(gap)
	store.setDown(true)
	time.Sleep(second)
	store.setDown(false)
	end := time.Now()
	for time.Since(end) < 5*time.Second {
		if fleet.holds("leaves") > 0 {
			late = time.Since(end)
		}
		if at := time.Since(end); at >= 2*time.Second && at < 2*time.Second+10*time.Millisecond {
			store.write("lapses", 2)
		}
		lost = max(lost, daemons-fleet.holds("lapses"))
		time.Sleep(10 * time.Millisecond)
	}
	cancel()
	running.Wait()
	time.Sleep(time.Second) // for datagrams
	return late, lost
}

// Guards against removals by a daemon that takes over behind a second outage, in which it made no call.
func TestDaemonThatTakesOverBehindASecondOutageKeepsServers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, state := &simulatedStore{}, NewState(func() {})
		store.write("stays", 1)
		reader := NewReader(ReaderOptions{
			Store: simulatedCalls{store, 0}, State: state, ReadsStore: func() bool { return false }, ReaderCount: func() int { return 9 },
			StateInterval: func() time.Duration { return usualStateInterval }, Logger: slog.New(slog.DiscardHandler),
		})
		known := []Record{{Key: "stays", Value: []byte("1")}, {Key: "lapses", Value: []byte("1")}}
		reader.ApplyServerList(known, nil, false, time.Now(), time.Now())
		time.Sleep(4 * time.Second)
		reader.HearReturn(time.Now(), time.Now())
		time.Sleep(300 * time.Millisecond)
		reader.ApplyServerList(known, nil, false, time.Now(), time.Now())
		time.Sleep(900 * time.Millisecond)
		again := time.Now()
		reader.HearReturn(again, again)
		reader.ApplyServerList(known, nil, false, again, again)
		time.Sleep(time.Second) // the grace period behind the first outage ends
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go reader.follow(ctx, Servers)
		time.Sleep(time.Until(again.Add(recoveryGracePeriod - 10*time.Millisecond)))
		assert.True(t, state.Knows("lapses"))
		time.Sleep(time.Second)
		assert.False(t, state.Knows("lapses"))
	})
}

// Guards against a reader that waits for seconds behind a short outage while others read the store for it.
func TestReaderOfZoneReadsAgainOnceAPeerHasAList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &simulatedStore{}
		store.write("stays", 1)
		reader := NewReader(ReaderOptions{
			Store: simulatedCalls{store, 0}, State: NewState(func() {}), ReadsStore: func() bool { return true }, ReaderCount: func() int { return 33 },
			StateInterval: func() time.Duration { return usualStateInterval }, Logger: slog.New(slog.DiscardHandler),
		})
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go reader.follow(ctx, Servers)
		time.Sleep(3 * time.Second)
		store.setDown(true)
		time.Sleep(1400 * time.Millisecond)
		store.setDown(false)
		time.Sleep(10 * time.Millisecond)
		reader.Confirm(Servers, time.Now())
		before := store.calls.Load()
		time.Sleep(100 * time.Millisecond)
		assert.Greater(t, store.calls.Load(), before)
	})
}
